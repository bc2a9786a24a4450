"""Draw skew, moves and pauses over time as one picture."""

from __future__ import annotations

import pathlib
import types
import typing

import matplotlib
import numpy

matplotlib.use('Agg')

from matplotlib import pyplot  # noqa: E402

_COLOURS = types.MappingProxyType(
    {
        'static': 'tab:gray',
        'replan': 'tab:orange',
        'ours_even': 'tab:blue',
        'ours_few_moves': 'tab:green',
    }
)


def draw(variants: dict[str, typing.Any], span: float, path: str) -> None:
    """Write the picture; ``span`` is the length of a window in seconds."""
    figure, axes = pyplot.subplots(3, 1, figsize=(11, 9), sharex=True)
    for name, variant in variants.items():
        skews = numpy.array(variant.skews).mean(axis=(1, 2))
        hours = numpy.arange(len(skews)) * span / 3600
        colour = _COLOURS[name]
        axes[0].plot(hours, skews, label=name, color=colour, linewidth=1)
        total = numpy.cumsum(variant.moved)
        axes[1].plot(hours, total, label=name, color=colour)
        axes[2].plot(hours, variant.interrupted, color=colour, linewidth=1)
    axes[0].set_ylabel('skew: (slowest - fastest)\n/ mean step time')
    axes[0].set_ylim(bottom=0)
    axes[0].legend(loc='lower left', bbox_to_anchor=(0, 1), ncols=4)
    axes[1].set_ylabel('weights moved, in all')
    axes[1].set_yscale('symlog', linthresh=100)
    axes[1].set_ylim(bottom=0)
    axes[2].set_ylabel('pieces held back\nfor urgent notices')
    axes[2].set_xlabel('hours')
    for axis in axes:
        axis.grid(alpha=0.3)
    pathlib.Path(path).parent.mkdir(parents=True, exist_ok=True)
    figure.tight_layout()
    figure.savefig(path, dpi=110)
    pyplot.close(figure)
