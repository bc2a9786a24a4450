"""Make random messages that are well formed, from the generated classes."""

from __future__ import annotations

import random
import typing

import thrift.Thrift

from tamarackthread.generated.messages import ttypes as messages

_Types = thrift.Thrift.TType
_DEEPEST = 3
_MOST_ITEMS = 3
_WORDS = ('', 'a', 'config', 'claims-1', 'zone-0', 'ünïcode', '$.x', 'x' * 300)
_NUMBERS = (0, 1, -1, 7, 1 << 20, (1 << 31) - 1, -(1 << 31))
_LONG_NUMBERS = (*_NUMBERS, 1 << 40, (1 << 63) - 1, -(1 << 63))
_FRACTIONS = (0, 1.5, -1e300, float('inf'), float('nan'))
_PRESENT = 0.7


def kinds() -> list[type]:
    """List every message class."""
    return [
        value
        for value in vars(messages).values()
        if isinstance(value, type) and hasattr(value, 'thrift_spec')
    ]


def message(rng: random.Random, kind: type, depth: int = 0) -> typing.Any:
    """Make a message with some of its fields set."""
    made = kind()
    for field in kind.thrift_spec:  # type: ignore[attr-defined]
        if field is None or rng.random() > _PRESENT:
            continue
        setattr(made, field[2], _value(rng, field[1], field[3], depth))
    return made


def _value(
    rng: random.Random, type_: int, details: typing.Any, depth: int
) -> typing.Any:
    if type_ == _Types.STRUCT:
        if depth >= _DEEPEST:
            return details[0]()
        return message(rng, details[0], depth + 1)
    if type_ == _Types.LIST:
        count = rng.randint(0, _MOST_ITEMS) if depth < _DEEPEST else 0
        return [
            _value(rng, details[0], details[1], depth + 1) for _ in range(count)
        ]
    return _plain(rng, type_, details)


def _plain(rng: random.Random, type_: int, details: typing.Any) -> typing.Any:
    if type_ == _Types.STRING:
        word = rng.choice(_WORDS)
        return word.encode() if details == 'BINARY' else word
    if type_ == _Types.BOOL:
        return rng.random() < 0.5
    if type_ == _Types.DOUBLE:
        return rng.choice(_FRACTIONS)
    return rng.choice(_LONG_NUMBERS if type_ == _Types.I64 else _NUMBERS)
