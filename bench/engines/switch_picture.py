"""Draw each switch with its outcome and how long ranks held."""

from __future__ import annotations

import pathlib

import matplotlib

from bench.engines import switch_checker

matplotlib.use('Agg')

from matplotlib import pyplot  # noqa: E402


def draw(
    disturbed: list[switch_checker.Findings],
    calm: switch_checker.Findings,
    path: str,
) -> None:
    """Write the picture; each disturbed run has a row of its own below."""
    figure, axes = pyplot.subplots(2, 1, figsize=(11, 7), sharex=True)
    for row, found in enumerate(disturbed):
        _scatter(axes[0], found, row=None)
        _scatter(axes[1], found, row)
    _scatter(axes[1], calm, len(disturbed))
    axes[0].set_ylabel('hold in ms')
    axes[0].set_title(
        'held at the switch step (green: committed, red: aborted)'
    )
    axes[1].set_ylabel('run (topmost: undisturbed)')
    axes[1].set_xlabel('seconds')
    for axis in axes:
        axis.grid(alpha=0.3)
    pathlib.Path(path).parent.mkdir(parents=True, exist_ok=True)
    figure.tight_layout()
    figure.savefig(path, dpi=110)
    pyplot.close(figure)


def _scatter(
    axis: pyplot.Axes,
    found: switch_checker.Findings,
    row: int | None,
) -> None:
    """Mark the switches by their holds, or in a row."""
    for committed, colour, marker in (
        (True, 'tab:green', 'o'),
        (False, 'tab:red', 'x'),
    ):
        chosen = [one for one in found.decided if one.committed == committed]
        heights = [one.held_ms if row is None else row for one in chosen]
        times = [one.seconds for one in chosen]
        axis.scatter(times, heights, c=colour, marker=marker, s=18)
