"""Parse JSON with comments and trailing commas, and record the position of
each value.
"""

from __future__ import annotations

import functools
import json
import math
import typing

import attrs
import lark

from tamarackthread.shared import fields, findings, schema_errors

MAX_NUMBER_CHARACTERS = 64
Path = schema_errors.Path

_GRAMMAR = r"""
start: value
?value: object | array | STRING -> string | NUMBER -> number
    | WORD -> word
object: OPEN_OBJECT "}" | OPEN_OBJECT pair ("," pair)* ","? "}"
pair: STRING ":" value
array: OPEN_ARRAY "]" | OPEN_ARRAY value ("," value)* ","? "]"
OPEN_OBJECT: "{"
OPEN_ARRAY: "["
STRING: /"(?:[^"\\\x00-\x1f]|\\["\\\/bfnrt]|\\u[0-9a-fA-F]{4})*"/
NUMBER: /-?(0|[1-9][0-9]*)(\.[0-9]+)?([eE][-+]?[0-9]+)?/
WORD: "true" | "false" | "null"
LINE_COMMENT: /\/\/[^\n]*/
BLOCK_COMMENT: /\/\*[\s\S]*?\*\//
%ignore LINE_COMMENT
%ignore BLOCK_COMMENT
%ignore /[ \t\r\n]+/
"""


@attrs.frozen
class Position:
    """Position in a text; both numbers start at 1."""

    line: int
    column: int


@attrs.frozen
class Problem:
    """Finding in a text, without the file name."""

    position: Position
    code: str
    text: str


@attrs.frozen
class Text:
    """Parsed text: its value, and the positions of all parts."""

    value: typing.Any
    positions: dict[Path, Position]
    problems: tuple[Problem, ...]

    def position(self, path: Path) -> Position:
        """Return the position of a part, or of the nearest enclosing one."""
        while path and path not in self.positions:
            path = path[:-1]
        return self.positions.get(path, Position(1, 1))


@attrs.define
class _Node:
    kind: str
    position: Position
    value: typing.Any


@attrs.define
class _Pair:
    key: str
    position: Position
    node: _Node


class _Nodes(lark.Transformer):
    """Build nodes during the parse."""

    def start(self, items: list) -> _Node:
        return items[0]

    def object(self, items: list) -> _Node:
        return _Node('object', _position(items[0]), items[1:])

    def array(self, items: list) -> _Node:
        return _Node('array', _position(items[0]), items[1:])

    def pair(self, items: list) -> _Pair:
        return _Pair(json.loads(items[0]), _position(items[0]), items[1])

    def string(self, items: list) -> _Node:
        return _Node('plain', _position(items[0]), json.loads(items[0]))

    def number(self, items: list) -> _Node:
        value = math.inf
        if len(items[0]) <= MAX_NUMBER_CHARACTERS:
            value = json.loads(items[0])
        return _Node('number', _position(items[0]), value)

    def word(self, items: list) -> _Node:
        return _Node('plain', _position(items[0]), json.loads(items[0]))


class _Reader:
    """Convert nodes to values, collecting positions and problems."""

    def __init__(self) -> None:
        self.positions: dict[Path, Position] = {}
        self.problems: list[Problem] = []

    def read(self, node: _Node, path: Path) -> typing.Any:
        self.positions.setdefault(path, node.position)
        if node.kind == 'object':
            return self._object(node, path)
        if node.kind == 'array':
            return [
                self.read(item, (*path, number))
                for number, item in enumerate(node.value)
            ]
        if node.kind == 'number' and not math.isfinite(node.value):
            self._add_problem(node.position, findings.ValueInvalid, 'too large')
        if isinstance(node.value, str):
            self._check_text(node.value, node.position)
        return node.value

    def _object(self, node: _Node, path: Path) -> dict[str, typing.Any]:
        values: dict[str, typing.Any] = {}
        for pair in node.value:
            if pair.key in values:
                first = self.positions[(*path, pair.key)]
                text = f'"{pair.key}" already appears in line {first.line}'
                self._add_problem(pair.position, findings.KeyDuplicate, text)
                continue
            self._check_text(pair.key, pair.position)
            self.positions[(*path, pair.key)] = pair.position
            values[pair.key] = self.read(pair.node, (*path, pair.key))
        return values

    def _check_text(self, text: str, position: Position) -> None:
        if not fields.is_encodable(text):
            problem = 'half a pair of surrogates'
            self._add_problem(position, findings.ValueInvalid, problem)

    def _add_problem(self, position: Position, kind: type, text: str) -> None:
        self.problems.append(Problem(position, kind.code, text))


def parse(text: str) -> Text:
    """Parse a text; a syntax error gives one problem and the value ``None``."""
    try:
        node = _parser().parse(text)
    except lark.exceptions.UnexpectedInput as exc:
        problem = _syntax_problem(text, exc)
        return Text(None, {}, (problem,))
    reader = _Reader()
    try:
        value = reader.read(typing.cast(_Node, node), ())
    except RecursionError:
        problem = Problem(
            Position(1, 1),
            findings.SyntaxInvalid.code,
            'nested too deeply',
        )
        return Text(None, {}, (problem,))
    return Text(value, reader.positions, tuple(reader.problems))


def _syntax_problem(
    text: str,
    exc: lark.exceptions.UnexpectedInput,
) -> Problem:
    code = findings.SyntaxInvalid.code
    token = getattr(exc, 'token', None)
    if token is not None and token.type == '$END':
        lines = text.splitlines() or ['']
        position = Position(len(lines), len(lines[-1]) + 1)
        return Problem(position, code, 'text ends too early')
    position = Position(max(exc.line, 1), max(exc.column, 1))
    start = exc.pos_in_stream or 0
    found = text[start : start + 1]
    return Problem(position, code, f'unexpected {json.dumps(found)}')


@functools.cache
def _parser() -> lark.Lark:
    return lark.Lark(
        _GRAMMAR,
        parser='lalr',
        maybe_placeholders=False,
        transformer=_Nodes(),
    )


def _position(token: typing.Any) -> Position:
    return Position(token.line, token.column)
