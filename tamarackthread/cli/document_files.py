"""Read and format the files in which operators edit documents.

A header comment holds the edited version, to detect concurrent changes.
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
class DocumentFile:
    """The body and base version; ``based_on`` is ``None`` without a header."""

    body: str
    based_on: int | None


def read(path: pathlib.Path, kind: str, name: str) -> DocumentFile:
    """Read a file; raise ``InvalidError`` with all findings and positions."""
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
    return DocumentFile(
        canonical_json(text.value), _header_version(content, kind, name)
    )


def _header_version(content: str, kind: str, name: str) -> int | None:
    header = _HEADER.match(content)
    if header is None:
        return None
    if (header['kind'], header['name']) != (kind, name):
        return None
    return int(header['version'])


def format_file(document: messages.Document) -> str:
    """Format a document with its header, ready to be edited and applied."""
    header = f'// {document.kind} {document.name} version {document.version}'
    return f'{header}\n{indent_body(document.body)}'


def canonical_json(value: typing.Any) -> str:
    """Serialize a body as compact JSON with sorted keys."""
    return json.dumps(value, sort_keys=True, separators=(',', ':'))


def indent_body(body: str) -> str:
    """Format a body as indented JSON; return an empty one unchanged."""
    if not body:
        return ''
    return json.dumps(
        json.loads(body), indent=2, sort_keys=True, ensure_ascii=False
    )


def body_or_empty(document: messages.Document | None) -> str:
    """Return the body of a document, empty if there is no document."""
    return '' if document is None else document.body


def is_same_body(first: str, second: str) -> bool:
    """Tell whether two bodies are equal, regardless of their layout."""
    return indent_body(first) == indent_body(second)


def unified_diff(
    before: str,
    after: str,
    before_name: str,
    after_name: str,
) -> str:
    """Return a unified diff between two bodies."""
    lines = difflib.unified_diff(
        indent_body(before).splitlines(),
        indent_body(after).splitlines(),
        before_name,
        after_name,
        lineterm='',
    )
    return '\n'.join(lines)
