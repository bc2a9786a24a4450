"""Read typed fields of what others write, and refuse what is none of it.

Anybody can write to an address that targets and operators use.  JSON knows neither whole numbers
nor bounds: ``true`` passes for 1, ``1e400`` for infinity, and a count with
thirty digits is read well and then fits no message between our processes,
which would stop the news of all targets for one writer's sake.
"""

from __future__ import annotations

import collections.abc
import json
import math
import typing

from tamarackthread.shared import addresses

JsonObject = dict[str, typing.Any]
_Choice = typing.TypeVar('_Choice')
# A name of a target, an address or a state is shorter.
MAX_TEXT_LENGTH = 255
# What a message between our processes can carry.
MAX_INT32 = (1 << 31) - 1
MAX_INT64 = (1 << 63) - 1


class FieldInvalid(ValueError):
    """A field is missing or is not what it should be; the text names it."""


def parse(body: bytes) -> JsonObject:
    """Read an object; raise ``FieldInvalid`` for anything else."""
    try:
        found = json.loads(body)
    except (ValueError, RecursionError) as exc:
        raise FieldInvalid(f'$: no JSON, {type(exc).__name__}') from exc
    return _table(found, '$')


def json_object(row: JsonObject, name: str) -> JsonObject:
    """Read a field that is an object."""
    return _table(_present(row, name), f'$.{name}')


def text(row: JsonObject, name: str) -> str:
    """Read a field that is a text, not empty and not long."""
    found = _present(row, name)
    if not isinstance(found, str) or not 0 < len(found) <= MAX_TEXT_LENGTH:
        raise FieldInvalid(f'$.{name}: no short text')
    return found


def address(row: JsonObject, name: str) -> str:
    """Read a field that is an IP number and a port."""
    found = text(row, name)
    if addresses.parse(found) is None:
        raise FieldInvalid(f'$.{name}: no IP number and port')
    return found


def choice(
    row: JsonObject,
    name: str,
    known: collections.abc.Mapping[str, _Choice],
) -> _Choice:
    """Read a field that is one of some texts; return what it stands for."""
    found = known.get(text(row, name))
    if found is None:
        raise FieldInvalid(f'$.{name}: unknown')
    return found


def integer(
    row: JsonObject,
    name: str,
    most: int = MAX_INT64,
    default: int | None = None,
) -> int:
    """Read a field that is a whole number from 0 to ``most``.

    One that is missing or null is ``default``; without a default it must be
    there.
    """
    if default is not None and row.get(name) is None:
        return default
    found = _present(row, name)
    # A truth value is a kind of whole number to this language.
    if isinstance(found, bool) or not isinstance(found, int):
        raise FieldInvalid(f'$.{name}: no whole number')
    if not 0 <= found <= most:
        raise FieldInvalid(f'$.{name}: out of bounds')
    return found


def number(row: JsonObject, name: str, default: float) -> float:
    """Read a field that is a finite number of 0 or more, if it is there."""
    found = row.get(name)
    if found is None:
        return default
    if isinstance(found, bool) or not isinstance(found, int | float):
        raise FieldInvalid(f'$.{name}: no number')
    if not math.isfinite(found) or not 0 <= found <= MAX_INT32:
        raise FieldInvalid(f'$.{name}: out of bounds')
    return float(found)


def _present(row: JsonObject, name: str) -> typing.Any:
    try:
        return row[name]
    except KeyError:
        raise FieldInvalid(f'$.{name}: missing') from None


def _table(found: typing.Any, place: str) -> JsonObject:
    if not isinstance(found, dict):
        raise FieldInvalid(f'{place}: no object')
    return found
