"""Check that the committed Thrift code matches the generator's output.

Exits with 75 if the pinned Thrift compiler is not installed.
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


def unavailable_reason() -> str:
    """Return why the compiler can't be used, or an empty string."""
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
    """Print differing files; return the exit code for ``tools.checks``."""
    reason = unavailable_reason()
    if reason:
        print(reason)
        return checks.SKIPPED_CODE
    found = differences()
    for name in found:
        print(f'{COMMITTED / name} differs: run make generate and commit it')
    return int(bool(found))


if __name__ == '__main__':
    sys.exit(main())
