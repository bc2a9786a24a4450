"""Check document bodies strictly before a commit, and parse committed ones,
ignoring keys of newer versions.
"""

from __future__ import annotations

import collections.abc
import itertools
import json
import math
import re
import types
import typing

from tamarackthread.generated import documents as generated
from tamarackthread.generated.messages import ttypes as messages
from tamarackthread.shared import (
    addresses,
    fields,
    findings,
    jsonc,
    structure,
    schema_errors,
    validation,
)

PROFILE = 'profile'
SERVICE = 'service'
ORGANISATION = 'organisation'
TARGET = 'target'
SHARD = 'shard'
ENTRY = 'entry'

CLASSES: types.MappingProxyType[str, type] = types.MappingProxyType(
    {
        PROFILE: generated.Profile,
        SERVICE: generated.Service,
        ORGANISATION: generated.Organisation,
        TARGET: generated.Target,
        SHARD: generated.Shard,
        ENTRY: generated.Entry,
    },
)
KINDS = tuple(CLASSES)
MAX_BODY_BYTES = 64 * 1024
MAX_VALUES = 2048
MAX_FINDINGS = 100
_NAME = re.compile('[A-Za-z0-9][A-Za-z0-9._-]{0,62}')
_ROOT = '$'

Parsed = (
    generated.Profile
    | generated.Service
    | generated.Organisation
    | generated.Target
    | generated.Shard
    | generated.Entry
)


def parse(kind: str, body: str) -> Parsed:
    """Parse a committed body; raise ``DocumentUnreadable`` or ``KindUnknown``."""
    class_ = CLASSES.get(kind)
    if class_ is None:
        raise findings.KindUnknown(kind)
    try:
        return structure.build(class_, json.loads(body))
    except (TypeError, ValueError, RecursionError) as exc:
        raise findings.DocumentUnreadable(f'{kind}: {exc}') from exc


def check(kind: str, name: str, body: str) -> list[messages.Finding]:
    """Return all findings for which a body is rejected.  An empty body deletes
    the document, so only kind and name are checked.
    """
    if kind not in CLASSES:
        text = f'"{kind}" is none of {", ".join(KINDS)}'
        return [_finding(_ROOT, findings.KindUnknown, text)]
    found = []
    if _NAME.fullmatch(name) is None:
        text = f'"{name}" must be up to 63 letters, digits and "._-"'
        found.append(_finding('name', findings.NameInvalid, text))
    if body:
        found.extend(itertools.islice(_check_body(kind, body), MAX_FINDINGS))
    return found


def violations(
    kind: str,
    value: typing.Any,
) -> collections.abc.Iterator[schema_errors.Violation]:
    """Yield the violations of a parsed body.  One over the limit is not checked
    further: that could block the leader's event loop beyond its lease.
    """
    if _has_more_values(value, MAX_VALUES):
        text = f'more than {MAX_VALUES} values'
        yield schema_errors.Violation(
            (),
            findings.DocumentTooLarge.code,
            text,
        )
        return
    class_name = CLASSES[kind].__name__
    schema = {
        '$ref': f'#/$defs/{class_name}',
        '$defs': generated.SCHEMA['$defs'],
    }
    yield from validation.check(schema, value)
    if isinstance(value, dict):
        yield from _cross_check(kind, value)


def place(path: jsonc.Path) -> str:
    """Format a path as a JSON path."""
    parts = [_ROOT]
    for key in path:
        parts.append(f'[{key}]' if isinstance(key, int) else f'.{key}')
    return ''.join(parts)


def _has_more_values(value: typing.Any, limit: int) -> bool:
    """Return whether a body has more values than the limit."""
    pending = [value]
    count = 0
    while pending and count <= limit:
        part = pending.pop()
        count += 1
        if isinstance(part, dict):
            pending.extend(part.values())
        elif isinstance(part, list):
            pending.extend(part)
    return count > limit


def _check_body(
    kind: str,
    body: str,
) -> collections.abc.Iterator[messages.Finding]:
    if len(body.encode()) > MAX_BODY_BYTES:
        text = f'more than {MAX_BODY_BYTES} bytes'
        yield _finding(_ROOT, findings.DocumentTooLarge, text)
        return
    pairs = _Pairs()
    try:
        value = _decode(body, pairs)
    except (ValueError, RecursionError) as exc:
        yield _finding(_ROOT, findings.SyntaxInvalid, str(exc))
        return
    for key in pairs.duplicates:
        text = f'"{key}" appears twice in one object'
        yield _finding(_ROOT, findings.KeyDuplicate, text)
    for violation in violations(kind, value):
        yield messages.Finding(
            place=place(violation.path),
            code=violation.code,
            text=violation.text,
        )


class _Pairs:
    """Object hook of the decoder that records duplicate keys."""

    def __init__(self) -> None:
        self.duplicates: list[str] = []

    def __call__(
        self,
        items: list[tuple[str, typing.Any]],
    ) -> dict[str, typing.Any]:
        known: dict[str, typing.Any] = {}
        for key, value in items:
            if key in known:
                self.duplicates.append(key)
            known[key] = value
        return known


def _decode(body: str, pairs: _Pairs) -> typing.Any:
    """Decode JSON, rejecting what no message carries."""
    value = json.loads(
        body,
        object_pairs_hook=pairs,
        parse_constant=_reject_number,
        parse_float=_finite,
    )
    if not fields.is_encodable(json.dumps(value, ensure_ascii=False)):
        raise ValueError('a text has half a pair of surrogates')
    return value


def _finite(text: str) -> float:
    value = float(text)
    return value if math.isfinite(value) else _reject_number(text)


def _reject_number(text: str) -> typing.NoReturn:
    raise ValueError(f'{text} is not a finite number')


def _cross_check(
    kind: str,
    value: dict[str, typing.Any],
) -> collections.abc.Iterator[schema_errors.Violation]:
    if kind in {TARGET, ENTRY}:
        address = value.get('address')
        if isinstance(address, str) and addresses.parse(address) is None:
            yield schema_errors.Violation(
                ('address',),
                findings.AddressInvalid.code,
                f'"{address}" is not an IP number and a port',
            )
    if kind == SERVICE and value.get('kind') == 'model':
        if not value.get('models') and not value.get('paths'):
            yield schema_errors.Violation(
                (),
                findings.KeyMissing.code,
                'a model service needs "models" or "paths"',
            )


def _finding(location: str, kind: type, text: str) -> messages.Finding:
    return messages.Finding(place=location, code=kind.code, text=text)
