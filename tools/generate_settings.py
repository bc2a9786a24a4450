"""Generate the settings and document classes from their JSON schemas.

Usage: ``python tools/generate_settings.py [DESTINATION]``; the default
destination is ``tamarackthread/generated``.
"""

from __future__ import annotations

import json
import pathlib
import pprint
import sys
import types
import typing

import attrs
import fastjsonschema
import jinja2

ROOT = pathlib.Path(__file__).resolve().parent.parent
DESTINATION = ROOT / 'tamarackthread' / 'generated'
NAMES = ('settings', 'documents')

DESCRIPTIVE_KEYWORDS = frozenset(('description', 'title', '$schema'))
CHECK_HEAD = '''"""Tell whether settings are sound, without words for what is not.

Made from ``schema/{name}.schema.json``; do not edit.
"""

'''
CHECK_ERROR = '''

class JsonSchemaValueException(ValueError):
    """Value is not as the schema has it."""

'''

# The generated module must not import fastjsonschema; JSON has no decimals.
REPLACEMENTS = types.MappingProxyType(
    {
        'from fastjsonschema import'
        ' JsonSchemaValueException, JsonSchemaValuesException': CHECK_ERROR,
        'from decimal import Decimal\n': '',
        ', Decimal': '',
    }
)

TYPES = types.MappingProxyType(
    {
        'string': 'str',
        'integer': 'int',
        'number': 'float',
        'boolean': 'bool',
    },
)

TEMPLATE = '''"""{{ description }}

Made from ``schema/{{ name }}.schema.json``; do not edit.
"""

from __future__ import annotations

import attrs

SCHEMA = {{ schema }}

{% for class_ in classes %}

@attrs.frozen(kw_only=True)
class {{ class_.name }}:
    """{{ class_.description }}"""

{% for field in class_.fields %}
    # {{ field.comment }}
    {{ field.name }}: {{ field.annotation }} = attrs.field(
{% for argument in field.arguments %}
        {{ argument }},
{% endfor %}
    )
{% endfor %}
{% endfor %}
'''


@attrs.frozen
class Field:
    """One attribute of a generated class, as source text."""

    name: str
    annotation: str
    comment: str
    arguments: tuple[str, ...]


@attrs.frozen
class Class:
    """One generated class, as source text."""

    name: str
    description: str
    fields: tuple[Field, ...]


def reference(schema: dict[str, typing.Any]) -> str:
    """Return the name of the class a schema refers to, or an empty string."""
    return str(schema.get('$ref', '')).rpartition('/')[2]


def _comment(schema: dict[str, typing.Any]) -> str:
    unit = schema.get('x-unit')
    text = schema.get('description', f'See ``{reference(schema)}``.')
    return f'{text} Unit: {unit}.' if unit else text


def _metadata(schema: dict[str, typing.Any], child: str) -> list[str]:
    pairs = []
    if child:
        pairs.append(f"'child': {child}")
    if schema.get('x-reload'):
        pairs.append("'reload': True")
    if not pairs:
        return []
    joined = ', '.join(pairs)
    return [f'metadata={{{joined}}}']


def _object_field(
    name: str,
    schema: dict[str, typing.Any],
    required: bool,
) -> Field:
    child = reference(schema)
    annotation = child
    arguments = []
    if 'default' in schema:
        annotation = f'{child} | None'
        arguments.append('default=None')
    elif not required:
        arguments.append(f'factory={child}')
    arguments.extend(_metadata(schema, child))
    return Field(name, annotation, _comment(schema), tuple(arguments))


def _array_field(
    name: str,
    schema: dict[str, typing.Any],
    required: bool,
) -> Field:
    child = reference(schema['items'])
    inner = child or TYPES[schema['items']['type']]
    arguments = ['converter=tuple']
    if not required:
        arguments.append(f'default={tuple(schema["default"])!r}')
    arguments.extend(_metadata(schema, child))
    annotation = f'tuple[{inner}, ...]'
    return Field(name, annotation, _comment(schema), tuple(arguments))


def _plain_field(
    name: str,
    schema: dict[str, typing.Any],
    required: bool,
) -> Field:
    annotation = 'str' if 'enum' in schema else TYPES[schema['type']]
    arguments = []
    if annotation in {'float', 'int'}:
        arguments.append(f'converter={annotation}')
    if not required:
        arguments.append(f'default={schema["default"]!r}')
    arguments.extend(_metadata(schema, ''))
    return Field(name, annotation, _comment(schema), tuple(arguments))


def make_field(
    name: str,
    schema: dict[str, typing.Any],
    required: bool,
) -> Field:
    """Return the source text of one attribute."""
    if '$ref' in schema:
        return _object_field(name, schema, required)
    if schema.get('type') == 'array':
        return _array_field(name, schema, required)
    return _plain_field(name, schema, required)


def make_class(name: str, schema: dict[str, typing.Any]) -> Class:
    """Return the source text of one class."""
    required = schema.get('required', ())
    fields = [
        make_field(key, value, key in required)
        for key, value in schema['properties'].items()
    ]
    return Class(name, schema['description'], tuple(fields))


def children(schema: dict[str, typing.Any]) -> list[str]:
    """List the names of the classes that a class refers to."""
    found = []
    for value in schema['properties'].values():
        for part in (value, value.get('items', {})):
            if reference(part):
                found.append(reference(part))
    return found


def ordered(schema: dict[str, typing.Any]) -> list[Class]:
    """Return the classes, each after those that it refers to."""
    known = dict(schema['$defs'])
    if 'properties' in schema:
        known[schema['title']] = schema
    done: dict[str, Class] = {}
    for name in known:
        _visit(name, known, done)
    return list(done.values())


def _visit(
    name: str,
    known: dict[str, typing.Any],
    done: dict[str, Class],
) -> None:
    if name in done:
        return
    for child in children(known[name]):
        _visit(child, known, done)
    done[name] = make_class(name, known[name])


def render(name: str) -> str:
    """Return the source text of one generated module."""
    path = ROOT / 'schema' / f'{name}.schema.json'
    schema = json.loads(path.read_text(encoding='utf-8'))
    environment = jinja2.Environment(
        trim_blocks=True,
        lstrip_blocks=True,
        keep_trailing_newline=True,
        undefined=jinja2.StrictUndefined,
    )
    return environment.from_string(TEMPLATE).render(
        name=name,
        description=schema['description'],
        schema=pprint.pformat(schema, width=76, sort_dicts=False),
        classes=ordered(schema),
    )


def render_check(name: str) -> str:
    """Return the source text of the module that validates a value."""
    path = ROOT / 'schema' / f'{name}.schema.json'
    schema = _strip_descriptions(json.loads(path.read_text(encoding='utf-8')))
    code = fastjsonschema.compile_to_code(
        schema, use_default=False, detailed_exceptions=False
    )
    for old, new in REPLACEMENTS.items():
        code = code.replace(old, new)
    return f'{CHECK_HEAD.format(name=name)}{code}'


def _strip_descriptions(schema: typing.Any) -> typing.Any:
    """Return a schema without its descriptive keywords."""
    if isinstance(schema, list):
        return [_strip_descriptions(part) for part in schema]
    if not isinstance(schema, dict):
        return schema
    return {
        key: _strip_descriptions(part)
        for key, part in schema.items()
        if key not in DESCRIPTIVE_KEYWORDS or isinstance(part, dict)
    }


def main() -> int:
    """Write each generated module into the destination folder."""
    destination = DESTINATION
    if len(sys.argv) > 1:
        destination = pathlib.Path(sys.argv[1])
    for name in NAMES:
        target = destination / f'{name}.py'
        target.write_text(render(name), encoding='utf-8')
    target = destination / 'settings_check.py'
    target.write_text(render_check('settings'), encoding='utf-8')
    return 0


if __name__ == '__main__':
    sys.exit(main())
