"""Build generated classes from JSON bodies.

Unknown keys are passed over, so that a node of an older version can read what
a newer one has accepted; ``validation`` is the place that refuses them.
"""

from __future__ import annotations

import collections.abc
import typing

import attrs

_Built = typing.TypeVar('_Built')


def build(kind: type[_Built], body: dict[str, typing.Any]) -> _Built:
    """Build a generated class; raise ``TypeError`` if a needed key lacks."""
    if not isinstance(body, dict):
        raise TypeError(f'{kind.__name__} is made from an object')
    arguments = {}
    for field in attrs.fields(typing.cast(type, kind)):
        if field.name not in body:
            continue
        arguments[field.name] = _value(field, body[field.name])
    return kind(**arguments)


def _value(field: attrs.Attribute, value: typing.Any) -> typing.Any:
    child = field.metadata.get('child')
    if child is None or value is None:
        return value
    if isinstance(value, list):
        return tuple(build(child, item) for item in value)
    return build(child, value)


def to_body(thing: typing.Any) -> dict[str, typing.Any]:
    """Turn a generated object back into plain JSON values."""
    return attrs.asdict(thing, value_serializer=_serialise)


def _serialise(
    _owner: typing.Any,
    _field: attrs.Attribute | None,
    value: typing.Any,
) -> typing.Any:
    if isinstance(value, collections.abc.Set | tuple):
        return list(value)
    return value
