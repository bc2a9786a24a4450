"""Load a settings file, or report everything that is wrong with it.

Paths in the file are taken from the file's own folder, so that a process can
be started from anywhere.
"""

from __future__ import annotations

import copy
import pathlib
import typing

from tamarackthread.generated import settings as generated
from tamarackthread.shared import (
    findings,
    jsonc,
    settings_rules,
    structure,
    validation,
)

_PATHS = (
    ('cache_folder',),
    ('control', 'data_folder'),
    ('security', 'tls', 'certificate_file'),
    ('security', 'tls', 'key_file'),
    ('security', 'tls', 'authority_file'),
)


def load(
    path: str | pathlib.Path,
    base: pathlib.Path | None = None,
) -> generated.Settings:
    """Read a settings file; raise ``InvalidError`` with all findings.

    Relative paths in it are taken from ``base`` where it is given, else from
    the file's own folder.
    """
    text, found = _read(pathlib.Path(path))
    if found:
        raise findings.InvalidError(found)
    _resolve(text.value, base or pathlib.Path(path).absolute().parent)
    return structure.build(generated.Settings, text.value)


def check(path: str | pathlib.Path) -> list[findings.Finding]:
    """Return all findings in a settings file, ordered by place."""
    return _read(pathlib.Path(path))[1]


def _read(path: pathlib.Path) -> tuple[jsonc.Text, list[findings.Finding]]:
    try:
        content = path.read_bytes().decode()
    except (OSError, UnicodeDecodeError) as exc:
        reason = getattr(exc, 'strerror', None) or 'not UTF-8'
        unread = findings.Finding(
            f'{path}:1:1',
            findings.FileUnreadable.code,
            reason,
        )
        return jsonc.Text(None, {}, ()), [unread]
    text = jsonc.parse(content)
    return text, locate(str(path), text, _violations(text))


def _violations(text: jsonc.Text) -> list[validation.Violation]:
    if not text.positions:
        return []
    found = list(validation.check(generated.SCHEMA, text.value))
    if isinstance(text.value, dict):
        found.extend(settings_rules.check(_sound_part(text.value, found)))
    return found


def _sound_part(
    body: dict[str, typing.Any],
    found: list[validation.Violation],
) -> dict[str, typing.Any]:
    """Leave out single values with findings.

    The rules between settings need sound types, yet one bad value must not
    keep an operator from seeing what is wrong elsewhere.
    """
    sound = copy.deepcopy(body)
    for violation in found:
        if violation.code == findings.KeyMissing.code:
            continue
        _leave_out(sound, violation.path)
    return sound


def _leave_out(sound: typing.Any, path: jsonc.Path) -> None:
    holder = sound
    for key in path[:-1]:
        holder = _part(holder, key)
    if isinstance(holder, dict):
        holder.pop(path[-1], None)
    elif isinstance(holder, list):
        holder[int(path[-1])] = {}


def _part(holder: typing.Any, key: str | int) -> typing.Any:
    if isinstance(holder, dict):
        return holder.get(str(key))
    if isinstance(holder, list):
        return holder[int(key)]
    return None


def locate(
    name: str,
    text: jsonc.Text,
    violations: list[validation.Violation],
) -> list[findings.Finding]:
    """Give each problem its place in the file, in the order of the places."""
    problems = list(text.problems)
    for violation in violations:
        position = text.position(violation.path)
        problems.append(
            jsonc.Problem(position, violation.code, violation.text),
        )
    problems.sort(
        key=lambda problem: (problem.position.line, problem.position.column),
    )
    return [
        findings.Finding(
            f'{name}:{problem.position.line}:{problem.position.column}',
            problem.code,
            problem.text,
        )
        for problem in problems
    ]


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
