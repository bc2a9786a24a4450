"""Check a settings file and return all findings in it."""

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
    """Return all findings in a settings file, in order of position."""
    return read(pathlib.Path(path))[1]


def read(path: pathlib.Path) -> tuple[jsonc.Text, list[findings.Finding]]:
    """Return the parsed file and all findings in it."""
    try:
        content = path.read_bytes().decode()
    except (OSError, UnicodeDecodeError) as exc:
        reason = getattr(exc, 'strerror', None) or 'not UTF-8'
        unreadable = findings.Finding(
            f'{path}:1:1',
            findings.FileUnreadable.code,
            reason,
        )
        return jsonc.Text(None, {}, ()), [unreadable]
    text = jsonc.parse(content)
    return text, locate(str(path), text, _violations(text))


def _violations(text: jsonc.Text) -> list[schema_errors.Violation]:
    if not text.positions:
        return []
    found = list(validation.check(generated.SCHEMA, text.value))
    if isinstance(text.value, dict):
        found.extend(settings_rules.check(_valid_part(text.value, found)))
    return found


def _valid_part(
    body: dict[str, typing.Any],
    found: list[schema_errors.Violation],
) -> dict[str, typing.Any]:
    """Return a copy without invalid values, because the rules between settings
    need valid types and should still check the rest.
    """
    valid = copy.deepcopy(body)
    for violation in found:
        if violation.code == findings.KeyMissing.code:
            continue
        _remove(valid, violation.path)
    return valid


def _remove(valid: typing.Any, path: schema_errors.Path) -> None:
    container = valid
    for key in path[:-1]:
        container = _part(container, key)
    if isinstance(container, dict):
        container.pop(path[-1], None)
    elif isinstance(container, list):
        container[int(path[-1])] = {}


def _part(container: typing.Any, key: str | int) -> typing.Any:
    if isinstance(container, dict):
        return container.get(str(key))
    if isinstance(container, list):
        return container[int(key)]
    return None


def locate(
    name: str,
    text: jsonc.Text,
    violations: list[schema_errors.Violation],
) -> list[findings.Finding]:
    """Return all problems with file positions, in order of position."""
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
