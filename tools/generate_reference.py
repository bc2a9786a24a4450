"""Write the field tables of the documentation pages from the schemas.

Replaces the text between ``<!-- fields -->`` and ``<!-- end of fields -->``.
"""

from __future__ import annotations

import collections.abc
import json
import pathlib
import sys
import typing

import attrs

from tools import generate_settings

ROOT = generate_settings.ROOT
START = '<!-- fields -->'
END = '<!-- end of fields -->'
_BOUNDS = (
    ('minimum', 'from'),
    ('exclusiveMinimum', 'above'),
    ('maximum', 'to'),
)

Schema = dict[str, typing.Any]


@attrs.frozen
class Page:
    """Documentation page and the schema whose fields it lists."""

    path: pathlib.Path
    schema_name: str
    roots: tuple[str, ...]

    def render(self) -> str:
        """Return the text of the page with regenerated tables."""
        text = self.path.read_text(encoding='utf-8')
        before, _, rest = text.partition(START)
        after = rest.partition(END)[2]
        tables = '\n'.join(self._lines())
        return f'{before}{START}\n\n{tables}\n{END}{after}'

    def _lines(self) -> collections.abc.Iterator[str]:
        path = ROOT / 'schema' / f'{self.schema_name}.schema.json'
        schema = json.loads(path.read_text(encoding='utf-8'))
        if 'properties' in schema:
            schema['$defs'][schema['title']] = schema
        for root in self.roots:
            yield from _section(schema['$defs'], root, '')


PAGES = (
    Page(ROOT / 'docs' / 'SETTINGS.md', 'settings', ('Settings',)),
    Page(
        ROOT / 'docs' / 'PROFILES.md',
        'documents',
        ('Profile', 'Service', 'Organisation', 'Target', 'Shard'),
    ),
)


def _section(
    classes: dict[str, Schema],
    name: str,
    prefix: str,
) -> collections.abc.Iterator[str]:
    """Yield the table of a class, then those of its nested classes."""
    schema = classes[name]
    plain = {
        key: field
        for key, field in schema['properties'].items()
        if not generate_settings.reference(field)
    }
    title = f'`{prefix.rstrip(".")}`' if prefix else name
    yield f'### {title}'
    yield ''
    yield schema['description']
    yield ''
    if plain:
        yield from _table(plain, schema.get('required', ()))
        yield ''
    for key, field in schema['properties'].items():
        child = generate_settings.reference(field)
        listed = generate_settings.reference(field.get('items', {}))
        if child:
            yield from _section(classes, child, f'{prefix}{key}.')
        elif listed:
            yield from _section(classes, listed, f'{prefix}{key}[].')


def _table(
    fields: dict[str, Schema],
    required: collections.abc.Container[str],
) -> collections.abc.Iterator[str]:
    has_cost = any('x-cost' in field for field in fields.values())
    has_reload = any('x-reload' in field for field in fields.values())
    heads = ['Field', 'Unit or values', 'Default', 'Meaning']
    if has_cost:
        heads.append('What it costs')
    if has_reload:
        heads.append('At run time')
    yield _row(heads)
    yield _row('---' for _ in heads)
    for key, field in fields.items():
        cells = [
            f'`{key}`',
            _unit(field),
            'needed' if key in required else f'`{_default(field)}`',
            field['description'],
        ]
        if has_cost:
            cells.append(field.get('x-cost', ''))
        if has_reload:
            reloads = field.get('x-reload', False)
            cells.append('yes' if reloads else '')
        yield _row(cells)


def _row(cells: collections.abc.Iterable[str]) -> str:
    joined = ' | '.join(cells)
    return f'| {joined} |'


def _unit(field: Schema) -> str:
    choices = field.get('enum')
    if choices is not None:
        return ', '.join(f'`{choice}`' for choice in choices)
    words = [field.get('x-unit', field.get('type', ''))]
    for key, word in _BOUNDS:
        bound = field.get(key)
        if bound is not None:
            words.append(f'{word} {bound}')
    return ' '.join(words)


def _default(field: Schema) -> str:
    return json.dumps(field['default'])


def main() -> int:
    """Rewrite the tables of all pages."""
    for page in PAGES:
        page.path.write_text(page.render(), encoding='utf-8')
    return 0


if __name__ == '__main__':
    sys.exit(main())
