"""Fill in the settings templates of the deploy file, see ``DEPLOY.md``."""

from __future__ import annotations

import json
import re
import typing

_TAG = re.compile(r'\{\{([#^/]?)([^{}]+)\}\}')
_MISSING = object()
_Scopes = list[typing.Any]


def render(text: str, fields: dict[str, typing.Any]) -> str:
    """Fill in a template."""
    return _render(text, [fields])


def _render(text: str, scopes: _Scopes) -> str:
    filled = []
    place = 0
    tag = _TAG.search(text)
    while tag is not None:
        filled.append(text[place : tag.start()])
        part, place = _fill(text, tag, scopes)
        filled.append(part)
        tag = _TAG.search(text, place)
    filled.append(text[place:])
    return ''.join(filled)


def _fill(text: str, tag: re.Match[str], scopes: _Scopes) -> tuple[str, int]:
    """Return what replaces a tag or a section, and where the text goes on."""
    mark, name = tag.groups()
    if not mark:
        return _value(name, scopes), tag.end()
    closing = f'{{{{/{name}}}}}'
    end = text.index(closing, tag.end())
    inner = text[tag.end() : end]
    found = _find(name, scopes)
    if mark == '^':
        part = '' if found else _render(inner, scopes)
    else:
        part = _section(inner, found, scopes)
    return part, end + len(closing)


def _section(inner: str, found: typing.Any, scopes: _Scopes) -> str:
    if not found:
        return ''
    rows = [('', found)]
    if isinstance(found, dict):
        rows = list(found.items())
    elif isinstance(found, list):
        rows = list(enumerate(found))
    parts = []
    for number, (key, row) in enumerate(rows, start=1):
        own = {'.': row, '@': key, ',': ',' if number < len(rows) else ''}
        parts.append(_render(inner, [*scopes, own]))
    return ''.join(parts)


def _find(name: str, scopes: _Scopes) -> typing.Any:
    for scope in reversed(scopes):
        inner = scope.get(name, _MISSING)
        if inner is not _MISSING:
            return inner
    found = scopes[0]
    for part in name.split('.'):
        found = _part(found, part)
    return found


def _part(row: typing.Any, part: str) -> typing.Any:
    """Return a part of a table or a list, ``None`` if there is none."""
    rows = row or {}
    if isinstance(rows, list):
        rows = {str(number): one for number, one in enumerate(rows)}
    return rows.get(part)


def _value(name: str, scopes: _Scopes) -> str:
    found = _find(name, scopes)
    if found is None:
        return ''
    if isinstance(found, list):
        return ','.join(map(str, found))
    if isinstance(found, dict | bool):
        return json.dumps(found)
    return str(found)
