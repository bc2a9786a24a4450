"""Validate typed fields of JSON objects from untrusted writers; integers are
bounded to what fits into messages between processes.
"""

from __future__ import annotations

import collections.abc
import math
import re
import typing

from tamarackthread.shared import addresses, bounded_json

JsonObject = dict[str, typing.Any]
_Choice = typing.TypeVar('_Choice')

MAX_TEXT_LENGTH = 255
# Limits of the integer types of messages between processes.
MAX_INT32 = (1 << 31) - 1
MAX_INT64 = (1 << 63) - 1


# Raised by code that reads JSON of another shape than it expects.
MISREAD_ERRORS = (
    ArithmeticError,
    AttributeError,
    LookupError,
    RecursionError,
    TypeError,
    ValueError,
)
# Control characters, which no header carries, and halves of surrogate pairs,
# which JSON can hold but no message.
_UNSENDABLE = re.compile('[\x00-\x1f\x7f\ud800-\udfff]')
_HALF_PAIR = re.compile('[\ud800-\udfff]')


class FieldInvalid(ValueError):
    """A field, named in the text, is missing or invalid."""


def parse(body: bytes) -> JsonObject:
    """Parse a JSON object; raise ``FieldInvalid`` for anything else."""
    try:
        value = bounded_json.loads(body)
    except (ValueError, RecursionError) as exc:
        raise FieldInvalid(f'$: not JSON, {type(exc).__name__}') from exc
    return _require_object(value, '$')


def json_object(record: JsonObject, name: str) -> JsonObject:
    """Return a field that is an object."""
    return _require_object(_require(record, name), f'$.{name}')


def text(record: JsonObject, name: str) -> str:
    """Return a field that is a string, not empty and of bounded length."""
    return checked_text(_require(record, name), f'$.{name}')


def checked_text(value: typing.Any, place: str) -> str:
    """Return a value that messages and headers carry unchanged; raise
    ``FieldInvalid`` with its place for any other.
    """
    if not isinstance(value, str) or not 0 < len(value) <= MAX_TEXT_LENGTH:
        raise FieldInvalid(f'{place}: not a string, empty or too long')
    if not is_sendable(value):
        raise FieldInvalid(f'{place}: has characters that can not be sent')
    return value


def is_sendable(value: str) -> bool:
    """Return whether messages and headers carry a text unchanged."""
    return not _UNSENDABLE.search(value) and value == value.strip()


def is_encodable(value: str) -> bool:
    """Return whether a text can be encoded, which JSON's escapes may not."""
    return not _HALF_PAIR.search(value)


def address(record: JsonObject, name: str) -> str:
    """Return a field that is an IP address and a port."""
    value = text(record, name)
    if addresses.parse(value) is None:
        raise FieldInvalid(f'$.{name}: not an IP address and port')
    return value


def choice(
    record: JsonObject,
    name: str,
    choices: collections.abc.Mapping[str, _Choice],
) -> _Choice:
    """Return the value in ``choices`` for the text of a field."""
    value = choices.get(text(record, name))
    if value is None:
        raise FieldInvalid(f'$.{name}: unknown value')
    return value


def integer(
    record: JsonObject,
    name: str,
    maximum: int = MAX_INT64,
    default: int | None = None,
) -> int:
    """Return a field that is an integer from 0 to ``maximum``; ``default``
    replaces a missing or null field.
    """
    if default is not None and record.get(name) is None:
        return default
    value = _require(record, name)
    # bool is a subclass of int.
    if isinstance(value, bool) or not isinstance(value, int):
        raise FieldInvalid(f'$.{name}: not an integer')
    if not 0 <= value <= maximum:
        raise FieldInvalid(f'$.{name}: out of bounds')
    return value


def optional_integer(row: JsonObject, name: str, part: str) -> int | None:
    """Read an integer that is given directly or as ``part`` of an object."""
    found = row.get(name)
    if found is None:
        return None
    return integer(found if isinstance(found, dict) else {part: found}, part)


def number(record: JsonObject, name: str, default: float) -> float:
    """Return a field that is a number from 0 to ``MAX_INT32``."""
    value = record.get(name)
    if value is None:
        return default
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise FieldInvalid(f'$.{name}: not a number')
    if not math.isfinite(value) or not 0 <= value <= MAX_INT32:
        raise FieldInvalid(f'$.{name}: out of bounds')
    return float(value)


def _require(record: JsonObject, name: str) -> typing.Any:
    try:
        return record[name]
    except KeyError:
        raise FieldInvalid(f'$.{name}: missing') from None


def _require_object(value: typing.Any, path: str) -> JsonObject:
    if not isinstance(value, dict):
        raise FieldInvalid(f'{path}: not an object')
    return value
