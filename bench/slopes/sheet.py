"""Multiply slopes with sizes, and keep how each product came about."""

from __future__ import annotations

import collections.abc
import enum
import json
import pathlib
import types
import typing

import attrs

FOLDER = pathlib.Path('docs/capacity')
FIGURES = FOLDER / 'slopes.json'


class Resource(enum.Enum):
    """Name what is used, with the unit that a table shows."""

    CPU = '% of a core'
    MEMORY = 'MiB'
    BYTES = 'KB/s'


_SCALES: types.MappingProxyType[str, float] = types.MappingProxyType(
    {
        # Microseconds a second, and shares of a core.
        'us': 1e-4,
        'share': 100,
        'KiB': 1 / 1024,
        'B': 1 / 1024 / 1024,
        'MiB': 1,
        'bytes/s': 1e-3,
    },
)


class Figures:
    """Read what was measured."""

    def __init__(self, data: dict[str, typing.Any]) -> None:
        """Take the content of the file of figures."""
        self.data = data

    @classmethod
    def load(cls, path: pathlib.Path = FIGURES) -> Figures:
        """Read the committed figures."""
        return cls(json.loads(path.read_text()))

    def slope(self, name: str) -> float:
        """Give a slope's value."""
        return float(self.data['slopes'][name]['value'])

    def base(self, name: str) -> float:
        """Give a line's height at size 0."""
        return float(self.data['slopes'][name]['base'])

    def level(self, name: str) -> float:
        """Give what a role uses at rest."""
        return float(self.data['levels'][name])


@attrs.frozen
class Factor:
    """One number of a product with what it counts."""

    amount: float
    counts: str

    def text(self) -> str:
        """Write number and unit."""
        return f'{number(self.amount)} {self.counts}'.strip()


@attrs.frozen
class Line:
    """One cost of a role: a product of factors, and what carries it.

    ``is_control`` tells whether the budget for control counts it,
    or whether it is the work on calls themselves.
    """

    role: str
    resource: Resource
    cost: str
    factors: tuple[Factor, ...]
    scale: str
    mechanism: str
    is_control: bool = True

    @property
    def amount(self) -> float:
        """Give the product in the resource's unit."""
        product = _SCALES[self.scale]
        for factor in self.factors:
            product *= factor.amount
        return product

    def arithmetic(self) -> str:
        """Write the product out."""
        return ' × '.join(factor.text() for factor in self.factors)


def total(
    lines: collections.abc.Iterable[Line],
    role: str,
    resource: Resource,
    is_control: bool | None = None,
) -> float:
    """Sum up what a role uses of a resource, for control only if asked."""
    amounts = []
    for line in lines:
        if (line.role, line.resource) != (role, resource):
            continue
        if is_control is None or line.is_control == is_control:
            amounts.append(line.amount)
    return sum(amounts)


def number(amount: float) -> str:
    """Write a number with three digits that count."""
    if amount == 0:
        return '0'
    if abs(amount) >= 100:
        return f'{amount:,.0f}'
    return f'{amount:.3g}'


def table(
    heads: collections.abc.Sequence[str],
    rows: collections.abc.Iterable[collections.abc.Sequence[str]],
) -> str:
    """Write a table in Markdown."""
    lines = [_row(heads), _row(['---' for _ in heads])]
    lines.extend(_row(row) for row in rows)
    return '\n'.join(lines)


def _row(cells: collections.abc.Sequence[str]) -> str:
    return '| {} |'.format(' | '.join(cells))
