"""Run the checks that precede the tests: formatter, linter, generated code."""

from __future__ import annotations

import pathlib
import subprocess  # noqa: S404 - tools run linters; the product does not
import sys

import attrs

SKIPPED_CODE = 75


@attrs.frozen
class Check:
    """One command, run from the root of the repository."""

    name: str
    command: tuple[str, ...]


@attrs.frozen
class CheckResult:
    """Result of a check; ``text`` is empty unless it failed."""

    text: str
    note: str


def _python(name: str, *arguments: str) -> Check:
    return Check(name, (sys.executable, '-m', *arguments))


ALL = (
    _python('format', 'ruff', 'format', '--check', '.'),
    _python('lint', 'flake8', '.'),
    _python('comments', 'tools.check_comments'),
    _python('clocks', 'tools.check_clocks'),
    _python('generated', 'tools.check_generated'),
)


def run(check: Check, root: pathlib.Path) -> CheckResult:
    """Run one check; exit code 75 means skipped, with the reason printed."""
    done = subprocess.run(  # noqa: S603
        check.command,
        cwd=root,
        stdin=subprocess.DEVNULL,
        capture_output=True,
        text=True,
        check=False,
    )
    output = (done.stdout + done.stderr).strip()
    if done.returncode == SKIPPED_CODE:
        return CheckResult(text='', note=f'skipped, {output}')
    if done.returncode:
        return CheckResult(
            text=output or f'exit code {done.returncode}', note=''
        )
    return CheckResult(text='', note='passed')
