"""Run the checks that come before the tests: layout, linter, generated code.

A check is a command that prints nothing of interest when all is well.  A check
whose generator can't be had on this machine is skipped and says so.
"""

from __future__ import annotations

import pathlib
import subprocess  # noqa: S404 - tools run linters; the product does not
import sys

import attrs

SKIPPED_CODE = 75


@attrs.frozen
class Check:
    """One command to run from the root of the repository."""

    name: str
    command: tuple[str, ...]


@attrs.frozen
class Found:
    """What a check found: ``text`` is empty when it passed."""

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


def run(check: Check, root: pathlib.Path) -> Found:
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
        return Found(text='', note=f'skipped, {output}')
    if done.returncode:
        return Found(text=output or f'exit code {done.returncode}', note='')
    return Found(text='', note='passed')
