"""Read a document that an operator edited, and write one to edit.

``show`` puts the version into a comment at the top of the text; ``apply``
reads it from there.  So a file that was made from an old version conflicts
with what another operator applied since, and nobody's work is undone unseen.
"""

from __future__ import annotations

import difflib
import json
import pathlib
import re
import typing

import attrs

from tamarackthread.generated.messages import ttypes as messages
from tamarackthread.shared import (
    documents,
    findings,
    jsonc,
    settings_checks,
    schema_errors,
)

_HEADER = re.compile(
    r'\s*//\s*(?P<kind>[a-z]+) (?P<name>\S+) version (?P<version>[0-9]+)\s*$',
    re.MULTILINE,
)


@attrs.frozen
class Edited:
    """The contents of a file; ``based_on`` is ``None`` without a header."""

    body: str
    based_on: int | None


def read(path: pathlib.Path, kind: str, name: str) -> Edited:
    """Read a file; raise ``InvalidError`` with all findings and places."""
    try:
        content = path.read_bytes().decode()
    except (OSError, UnicodeDecodeError) as exc:
        reason = getattr(exc, 'strerror', None) or 'not UTF-8'
        raise findings.InvalidError(
            [
                findings.Finding(
                    f'{path}:1:1', findings.FileUnreadable.code, reason
                ),
            ],
        ) from exc
    text = jsonc.parse(content)
    broken: list[schema_errors.Violation] = []
    if text.positions:
        broken.extend(documents.violations(kind, text.value))
    found = settings_checks.locate(str(path), text, broken)
    if found:
        raise findings.InvalidError(found)
    return Edited(compact(text.value), _based_on(content, kind, name))


def _based_on(content: str, kind: str, name: str) -> int | None:
    header = _HEADER.match(content)
    if header is None:
        return None
    if (header['kind'], header['name']) != (kind, name):
        return None
    return int(header['version'])


def write(document: messages.Document) -> str:
    """Lay a document out so that it can be edited and applied."""
    header = f'// {document.kind} {document.name} version {document.version}'
    return f'{header}\n{pretty(document.body)}'


def compact(value: typing.Any) -> str:
    """Write a body in the one form in which bodies are compared."""
    return json.dumps(value, sort_keys=True, separators=(',', ':'))


def pretty(body: str) -> str:
    """Lay a body out for people; a deletion has none."""
    if not body:
        return ''
    return json.dumps(
        json.loads(body), indent=2, sort_keys=True, ensure_ascii=False
    )


def body_of(document: messages.Document | None) -> str:
    """Give the body of a document, empty if there is none."""
    return '' if document is None else document.body


def same(first: str, second: str) -> bool:
    """Tell whether two bodies say the same."""
    return pretty(first) == pretty(second)


def difference(
    before: str,
    after: str,
    before_name: str,
    after_name: str,
) -> str:
    """Show what differs between two bodies as a unified diff."""
    lines = difflib.unified_diff(
        pretty(before).splitlines(),
        pretty(after).splitlines(),
        before_name,
        after_name,
        lineterm='',
    )
    return '\n'.join(lines)
