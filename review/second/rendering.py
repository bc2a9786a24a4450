"""Fill in a settings template of the deploy file, as DEPLOY.md describes it."""

from __future__ import annotations

import json
import re
import typing

Fields = dict[str, typing.Any]
_SECTION = re.compile(r'\{\{([#^])([^{}]+)\}\}(.*?)\{\{/\2\}\}', re.DOTALL)
_VALUE = re.compile(r'\{\{([^{}#^/]+)\}\}')
_COMMA = '{{,}}'


def render(template: str, fields: Fields) -> str:
    """Return the text with all sections and placeholders filled in."""
    text = _SECTION.sub(lambda found: _section(found, fields), template)
    return _VALUE.sub(lambda found: _value(found[1], fields), text)


def lookup(path: str, fields: Fields) -> typing.Any:
    """Return the field at a dotted path, ``None`` without one."""
    held: typing.Any = fields
    for key in path.split('.'):
        if isinstance(held, list):
            held = held[int(key)]
            continue
        held = held.get(key) if isinstance(held, dict) else None
    return held


def _section(found: re.Match[str], fields: Fields) -> str:
    held = lookup(found[2], fields)
    is_there = held is not None and held is not False
    if found[1] == '^':
        return '' if is_there else found[3]
    if not is_there:
        return ''
    if isinstance(held, dict):
        return _repeat(found[3], list(held.items()))
    if isinstance(held, list):
        return _repeat(found[3], list(enumerate(held)))
    return found[3]


def _repeat(body: str, rows: list[tuple[typing.Any, typing.Any]]) -> str:
    parts = []
    for number, (key, entry) in enumerate(rows):
        is_last = number + 1 == len(rows)
        part = body.replace(_COMMA, '' if is_last else ',')
        part = part.replace('{{@}}', str(key))
        parts.append(part.replace('{{.}}', str(entry)))
    return ''.join(parts)


def _value(path: str, fields: Fields) -> str:
    held = lookup(path, fields)
    if held is None:
        return ''
    if isinstance(held, bool | dict):
        return json.dumps(held)
    return str(held)
