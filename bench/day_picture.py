"""Draw a day: lost calls, length of steps, skew, and owners of the maps.

``python -m bench.day_picture DAY.png LOG...``.  It stands here and not in the
command line because the library for pictures is not shipped.
"""

from __future__ import annotations

import collections
import pathlib
import sys

import matplotlib

from tamarackthread.cli import log_lines, losses
from tamarackthread.shared import log_events

matplotlib.use('Agg')

from matplotlib import pyplot  # noqa: E402

_Event = log_events.Event
_SIZE_INCHES = (11, 8)


def draw(
    parsed: log_lines.ParsedLogs,
    found: losses.Report,
    path: str,
) -> None:
    """Write the picture as PNG to ``path``."""
    zero = parsed.lines[0].seconds
    figure, axes = pyplot.subplots(3, 1, figsize=_SIZE_INCHES, sharex=True)
    _draw_losses(axes[0], found)
    for event, field, axis in (
        (_Event.MAP, 'step_ms', axes[1]),
        (_Event.PLAN, 'skew', axes[2]),
    ):
        rows = [line for line in parsed.lines if line.event == event]
        axis.plot(
            [line.seconds - zero for line in rows],
            [line.number(field) for line in rows],
            marker='.',
        )
        axis.set_ylabel(f'{event.value}: {field}')
        axis.set_ylim(bottom=0)
    for line in parsed.lines:
        if line.event in {_Event.LEADER, _Event.HELD}:
            colour = 'tab:green' if line.event == _Event.LEADER else 'tab:red'
            for axis in axes:
                axis.axvline(line.seconds - zero, color=colour, linewidth=0.8)
    axes[2].set_xlabel(
        'seconds from the first line; green: a leader, red: a group found held'
    )
    figure.savefig(path, dpi=100, bbox_inches='tight')
    pyplot.close(figure)


def _draw_losses(axis: pyplot.Axes, found: losses.Report) -> None:
    by_cause: dict[str, collections.Counter[int]] = {}
    for loss in found.losses:
        counts = by_cause.setdefault(loss.cause.value, collections.Counter())
        counts[loss.second] += 1
    below: collections.Counter[int] = collections.Counter()
    for cause, counts in sorted(by_cause.items()):
        seconds = sorted(counts)
        axis.bar(
            seconds,
            [counts[second] for second in seconds],
            bottom=[below[second] for second in seconds],
            width=1,
            label=cause,
        )
        below.update(counts)
    axis.set_ylabel('calls lost in a second')
    if by_cause:
        axis.legend(fontsize='small', loc='lower left', bbox_to_anchor=(0, 1))


def main(words: list[str]) -> int:
    """Draw the logs named after the picture; return the exit code."""
    if len(words) < 2:
        sys.stderr.write('say DAY.png and the logs of its processes\n')
        return 2
    texts = {
        name: pathlib.Path(name).read_text(errors='replace').splitlines()
        for name in words[1:]
    }
    parsed = log_lines.read(texts, require_time=True)
    if not parsed.lines:
        sys.stderr.write('no line of any file is a log line\n')
        return 1
    draw(parsed, losses.report(parsed), words[0])
    return 0


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
