"""Fit a line through what was measured at several sizes."""

from __future__ import annotations

import typing

import attrs
from scipy import stats

LEAST_SIZES = 3
PLACES = 4

Point = tuple[float, float]


class TooFewSizes(Exception):
    """Slope was measured at fewer than three sizes."""


@attrs.frozen
class Slope:
    """One fitted line; ``error`` is the slope's standard error.

    ``value`` is in ``unit`` for each one more of what the name says, and
    ``base`` in the same unit is the line's height at size 0.
    """

    name: str
    value: float
    unit: str
    error: float
    base: float
    sizes: tuple[float, ...]
    runs: int

    def as_json(self) -> dict[str, typing.Any]:
        """Give the figures without the name."""
        fields = attrs.asdict(self)
        fields.pop('name')
        return {key: _rounded(value) for key, value in fields.items()}


def fit(
    name: str,
    unit: str,
    points: typing.Sequence[Point],
    scale: float = 1,
) -> Slope:
    """Fit points of (size, cost) by least squares.

    ``scale`` turns the cost's unit into ``unit``.  Raises ``TooFewSizes``:
    a line through two sizes always fits and so says nothing.
    """
    sizes = tuple(sorted({size for size, _ in points}))
    if len(sizes) < LEAST_SIZES:
        raise TooFewSizes(f'{name}: {sizes}')
    line = stats.linregress(
        [size for size, _ in points],
        [cost * scale for _, cost in points],
    )
    return Slope(
        name=name,
        value=float(line.slope),
        unit=unit,
        error=float(line.stderr),
        base=float(line.intercept),
        sizes=sizes,
        runs=len(points),
    )


def show(slope: Slope) -> None:
    """Print one slope as a line of the table."""
    sizes = ', '.join(f'{size:g}' for size in slope.sizes)
    print(
        f'{slope.name:34} {slope.value:11.4g} +- {slope.error:<9.2g} '
        f'{slope.unit:24} at {sizes}',
        flush=True,
    )


def _rounded(value: typing.Any) -> typing.Any:
    if isinstance(value, float):
        return float(f'{value:.{PLACES}g}')
    return value
