"""Regenerate the committed code in a scratch folder and compare.

Exits with 75 where the pinned thrift compiler can't be had.
"""

from __future__ import annotations

import filecmp
import pathlib
import shutil
import subprocess  # noqa: S404 - runs the generator, which is a compiler
import sys
import tempfile

from tools import checks

COMPILER = 'thrift'
COMPILER_VERSION = 'Thrift version 0.17.0'
GENERATOR = 'tools/generate_messages.sh'
COMMITTED = pathlib.Path('tamarackthread/generated/messages')


def why_not() -> str:
    """Say why the compiler can't be used, or nothing when it can."""
    if shutil.which(COMPILER) is None:
        return 'no thrift compiler on this machine'
    shown = subprocess.run(  # noqa: S603
        (COMPILER, '--version'), capture_output=True, text=True, check=True
    ).stdout.strip()
    if shown == COMPILER_VERSION:
        return ''
    return f'thrift compiler is {shown}, not {COMPILER_VERSION}'


def differences() -> list[str]:
    """List the generated files that differ from the committed ones."""
    with tempfile.TemporaryDirectory() as scratch:
        subprocess.run((GENERATOR, scratch), check=True)  # noqa: S603
        fresh = pathlib.Path(scratch)
        names = [path.name for path in sorted(fresh.iterdir())]
        _, differing, missing = filecmp.cmpfiles(
            fresh, COMMITTED, names, shallow=False
        )
    return differing + missing


def main() -> int:
    """Compare; return the exit code for ``tools.checks``."""
    reason = why_not()
    if reason:
        print(reason)
        return checks.SKIPPED_CODE
    found = differences()
    for name in found:
        print(f'{COMMITTED / name} differs: run make generate and commit it')
    return int(bool(found))


if __name__ == '__main__':
    sys.exit(main())
