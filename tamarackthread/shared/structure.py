"""Convert JSON objects to generated classes and back.  Unknown keys are
ignored, for compatibility with newer nodes; ``validation`` rejects them.
"""

from __future__ import annotations

import collections.abc
import typing

import attrs

_Built = typing.TypeVar('_Built')


def build(class_: type[_Built], body: dict[str, typing.Any]) -> _Built:
    """Build an instance; raise ``TypeError`` if a required key is missing."""
    if not isinstance(body, dict):
        raise TypeError(f'{class_.__name__} requires a JSON object')
    keyword_arguments = {}
    for field in attrs.fields(typing.cast(type, class_)):
        if field.name not in body:
            continue
        keyword_arguments[field.name] = _convert(field, body[field.name])
    return class_(**keyword_arguments)


def _convert(field: attrs.Attribute, value: typing.Any) -> typing.Any:
    nested_class = field.metadata.get('child')
    if nested_class is None or value is None:
        return value
    if isinstance(value, list):
        return tuple(build(nested_class, item) for item in value)
    return build(nested_class, value)


def to_body(instance: typing.Any) -> dict[str, typing.Any]:
    """Convert an instance of a generated class to JSON values."""
    return attrs.asdict(instance, value_serializer=_serialise)


def _serialise(
    _owner: typing.Any,
    _field: attrs.Attribute | None,
    value: typing.Any,
) -> typing.Any:
    if isinstance(value, collections.abc.Set | tuple):
        return list(value)
    return value
