"""Validate a JSON value against a schema, with codes, messages and hints."""

from __future__ import annotations

import collections.abc
import difflib
import json
import re
import types
import typing

import jsonschema

from tamarackthread.shared import findings, schema_errors

_UNITS = ('_seconds', '_bytes', '_share', '_ratio', '_per_second')
_DURATION = re.compile(r'\s*([0-9]+(?:\.[0-9]+)?)\s*(ms|s|m|h)\s*')
_SECONDS = types.MappingProxyType({'ms': 0.001, 's': 1, 'm': 60, 'h': 3600})
_HINT_CUTOFF = 0.7
_MAX_SHOWN_CHARACTERS = 60
_RANGE_TEXTS = types.MappingProxyType(
    {
        'minimum': 'must be at least {0}',
        'maximum': 'must be at most {0}',
        'exclusiveMinimum': 'must be more than {0}',
        'exclusiveMaximum': 'must be less than {0}',
        'minItems': 'needs at least {0} of them',
        'minLength': 'must not be empty',
    },
)


def check(
    schema: dict[str, typing.Any],
    value: typing.Any,
) -> collections.abc.Iterator[schema_errors.Violation]:
    """Yield all violations in the order of the schema library."""
    validator = jsonschema.Draft202012Validator(schema)
    for error in validator.iter_errors(value):
        yield from _violations(error)


def _violations(
    error: jsonschema.ValidationError,
) -> collections.abc.Iterator[schema_errors.Violation]:
    path = tuple(error.absolute_path)
    if error.validator == 'additionalProperties':
        yield from _unknown_keys(error, path)
        return
    if error.validator == 'required':
        missing = str(error.message).split("'")[1]
        yield schema_errors.Violation(
            path,
            findings.KeyMissing.code,
            f'"{missing}" is missing',
        )
        return
    if error.validator == 'type':
        yield _type_violation(error, path)
        return
    yield schema_errors.Violation(
        path, findings.ValueInvalid.code, _value_text(error, path)
    )


def _unknown_keys(
    error: jsonschema.ValidationError,
    path: schema_errors.Path,
) -> collections.abc.Iterator[schema_errors.Violation]:
    known = error.schema['properties']
    for key in error.instance:
        if key in known:
            continue
        text = f'"{key}" is not known here{_hint(key, known)}'
        yield schema_errors.Violation(
            (*path, key), findings.KeyUnknown.code, text
        )


def _hint(key: str, known: collections.abc.Iterable[str]) -> str:
    stems = {_stem(name): name for name in known}
    closest = stems.get(_stem(key))
    if closest is None:
        matches = difflib.get_close_matches(
            key,
            list(known),
            n=1,
            cutoff=_HINT_CUTOFF,
        )
        closest = matches[0] if matches else None
    return f'; did you mean "{closest}"?' if closest else ''


def _stem(key: str) -> str:
    """Remove the unit from a key, so that ``drain_ms`` hints at another unit."""
    for unit in (*_UNITS, '_milliseconds', '_ms', '_s', '_kb', '_mb'):
        if key.endswith(unit):
            return key.removesuffix(unit)
    return key


def _type_violation(
    error: jsonschema.ValidationError,
    path: schema_errors.Path,
) -> schema_errors.Violation:
    expected = error.validator_value
    shown = _shown(error.instance)
    numeric = expected in {'number', 'integer'}
    if numeric and isinstance(error.instance, str):
        return _number_violation(error.instance, path)
    text = f'{_subject(path)}must be {_with_article(expected)}, not {shown}'
    return schema_errors.Violation(path, findings.TypeInvalid.code, text)


def _number_violation(
    value: str, path: schema_errors.Path
) -> schema_errors.Violation:
    duration = _DURATION.fullmatch(value)
    is_seconds = bool(path) and str(path[-1]).endswith('seconds')
    if duration is None or not is_seconds:
        text = f'{_subject(path)}must be a number, not {_shown(value)}'
        return schema_errors.Violation(path, findings.TypeInvalid.code, text)
    seconds = float(duration.group(1)) * _SECONDS[duration.group(2)]
    text = (
        f'{_subject(path)}takes a plain number of seconds: '
        f'write {seconds:g}, not {_shown(value)}'
    )
    return schema_errors.Violation(path, findings.UnitInvalid.code, text)


def _value_text(
    error: jsonschema.ValidationError, path: schema_errors.Path
) -> str:
    if error.validator == 'enum':
        choices = ', '.join(str(choice) for choice in error.validator_value)
        return f'{_subject(path)}must be one of {choices}'
    template = _RANGE_TEXTS.get(str(error.validator))
    if template is not None:
        return _subject(path) + template.format(error.validator_value)
    return f'{_subject(path)}is invalid: {_shown(error.instance)}'


def _subject(path: schema_errors.Path) -> str:
    if not path:
        return 'the whole text '
    if isinstance(path[-1], int):
        return f'item {path[-1] + 1} '
    return f'"{path[-1]}" '


def _with_article(expected: typing.Any) -> str:
    text = str(expected)
    return f'an {text}' if text[0] in 'aeiou' else f'a {text}'


def _shown(value: typing.Any) -> str:
    text = json.dumps(value, ensure_ascii=False)
    if len(text) > _MAX_SHOWN_CHARACTERS:
        return f'{text[:_MAX_SHOWN_CHARACTERS]}…'
    return text
