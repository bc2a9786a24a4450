"""Load a settings file, or raise all findings in it."""

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
# JSON strings cannot span lines, so a line that starts with // is a comment.
_COMMENT_LINE = re.compile(r'^\s*//.*$', re.MULTILINE)


def load(
    path: str | pathlib.Path,
    base: pathlib.Path | None = None,
) -> generated.Settings:
    """Load a settings file; raise ``InvalidError`` with all findings.  Relative
    paths in it start at ``base``, by default the file's own folder.
    """
    body = _load_fast(pathlib.Path(path))
    if body is None:
        body = _load_checked(pathlib.Path(path))
    _resolve(body, base or pathlib.Path(path).absolute().parent)
    return structure.build(generated.Settings, body)


def _load_fast(path: pathlib.Path) -> dict[str, typing.Any] | None:
    """Load a file with generated checks, ``None`` if it may have findings.  The
    parser and schema library for findings would cost memory and start time.
    """
    try:
        text = _COMMENT_LINE.sub('', path.read_bytes().decode())
        body = json.loads(
            text,
            object_pairs_hook=_unique_keys,
            parse_constant=_reject_constant,
            parse_float=_finite,
        )
        settings_check.validate(body)
        # Fails for halves of surrogate pairs, which no message carries.
        json.dumps(body, ensure_ascii=False).encode()
    except (OSError, ValueError, RecursionError):
        return None
    return None if settings_rules.check(body) else body


def _reject_constant(name: str) -> typing.NoReturn:
    """Reject NaN and Infinity, which Python accepts and JSON does not."""
    raise ValueError(f'{name} is not valid JSON')


def _finite(digits: str) -> float:
    """Reject a number that overflows to infinity."""
    number = float(digits)
    if math.isinf(number):
        raise ValueError(f'{digits} is too large')
    return number


def _unique_keys(
    pairs: list[tuple[str, typing.Any]],
) -> dict[str, typing.Any]:
    """Reject duplicate keys, of which the last one would win."""
    body = dict(pairs)
    if len(body) != len(pairs):
        raise ValueError('duplicate key')
    return body


def _load_checked(path: pathlib.Path) -> dict[str, typing.Any]:
    """Load a file with comments anywhere; raise all findings in it."""
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
