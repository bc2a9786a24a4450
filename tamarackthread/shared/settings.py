"""Load a settings file, or report everything that is wrong with it.

Paths in the file are taken from the file's own folder, so that a process can
be started from anywhere.
"""

from __future__ import annotations

import importlib
import json
import math
import pathlib
import re
import typing

from tamarackthread.generated import settings as generated
from tamarackthread.generated import settings_check
from tamarackthread.shared import findings, settings_rules, structure

_PATHS = (
    ('cache_folder',),
    ('control', 'data_folder'),
    ('security', 'tls', 'certificate_file'),
    ('security', 'tls', 'key_file'),
    ('security', 'tls', 'authority_file'),
)
# No JSON text goes over the end of a line, so a line that begins so is a comment.
_COMMENT_LINE = re.compile(r'^\s*//.*$', re.MULTILINE)


def load(
    path: str | pathlib.Path,
    base: pathlib.Path | None = None,
) -> generated.Settings:
    """Read a settings file; raise ``InvalidError`` with all findings.

    Relative paths in it are taken from ``base`` where it is given, else from
    the file's own folder.
    """
    body = _sound(pathlib.Path(path))
    if body is None:
        body = _checked(pathlib.Path(path))
    _resolve(body, base or pathlib.Path(path).absolute().parent)
    return structure.build(generated.Settings, body)


def _sound(path: pathlib.Path) -> dict[str, typing.Any] | None:
    """Read a file that surely has no finding, ``None`` if there may be one.

    What finds places and words for findings are a parser and a schema library,
    which make a process 6 MB larger and its start a third longer.  A process that
    runs wants to know only that there is none, for which the code that is made
    from the schema is enough.
    """
    try:
        text = _COMMENT_LINE.sub('', path.read_bytes().decode())
        body = json.loads(
            text,
            object_pairs_hook=_without_twins,
            parse_constant=_refuse_constant,
            parse_float=_finite,
        )
        settings_check.validate(body)
    except (OSError, ValueError, RecursionError):
        return None
    return None if settings_rules.check(body) else body


def _refuse_constant(name: str) -> typing.NoReturn:
    """Refuse a word that Python takes for a number and JSON does not."""
    raise ValueError(f'{name} is no JSON')


def _finite(digits: str) -> float:
    """Refuse a number that is too large for any setting."""
    found = float(digits)
    if math.isinf(found):
        raise ValueError(f'{digits} is too large')
    return found


def _without_twins(
    pairs: list[tuple[str, typing.Any]],
) -> dict[str, typing.Any]:
    """Refuse an object that has a key twice; the last one would count."""
    body = dict(pairs)
    if len(body) != len(pairs):
        raise ValueError('key is there twice')
    return body


def _checked(path: pathlib.Path) -> dict[str, typing.Any]:
    """Read a file with comments anywhere, or raise all findings in it."""
    checks = importlib.import_module('tamarackthread.shared.settings_checks')
    text, found = checks.read(path)
    if found:
        raise findings.InvalidError(found)
    return text.value


def _resolve(body: dict[str, typing.Any], folder: pathlib.Path) -> None:
    for path in _PATHS:
        _resolve_one(body, path, folder)
    security = body['security']
    security['key_files'] = [
        str(folder / name) for name in security['key_files']
    ]


def _resolve_one(
    body: dict[str, typing.Any],
    path: tuple[str, ...],
    folder: pathlib.Path,
) -> None:
    section: typing.Any = body
    for key in path[:-1]:
        section = section.get(key) or {}
    if section.get(path[-1]):
        section[path[-1]] = str(folder / section[path[-1]])
