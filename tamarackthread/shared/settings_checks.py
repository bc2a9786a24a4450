"""Check a settings file and report everything that is wrong with it."""

from __future__ import annotations

import copy
import pathlib
import typing

from tamarackthread.generated import settings as generated
from tamarackthread.shared import (
    findings,
    jsonc,
    schema_errors,
    settings_rules,
    validation,
)


def check(path: str | pathlib.Path) -> list[findings.Finding]:
    """Return all findings in a settings file, ordered by place."""
    return read(pathlib.Path(path))[1]


def read(path: pathlib.Path) -> tuple[jsonc.Text, list[findings.Finding]]:
    """Return a file's text, parsed, and all findings in it."""
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


def _violations(text: jsonc.Text) -> list[schema_errors.Violation]:
    if not text.positions:
        return []
    found = list(validation.check(generated.SCHEMA, text.value))
    if isinstance(text.value, dict):
        found.extend(settings_rules.check(_sound_part(text.value, found)))
    return found


def _sound_part(
    body: dict[str, typing.Any],
    found: list[schema_errors.Violation],
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


def _leave_out(sound: typing.Any, path: schema_errors.Path) -> None:
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
    violations: list[schema_errors.Violation],
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
