"""Build the executable file: ``python -m binary.build [DESTINATION]``.

Bundles the precompiled libraries of ``requirements.txt``, reproducibly.
"""

from __future__ import annotations

import compileall
import hashlib
import importlib.metadata
import os
import pathlib
import py_compile
import shutil
import sys
import tempfile
import zipapp

from binary import start

ROOT = pathlib.Path(__file__).resolve().parent.parent
DEFAULT_DESTINATION = ROOT / 'dist' / 'tamarackthread'
# Isolated mode without site-packages, so that a library missing from the file
# is never loaded from the host.
INTERPRETER = '/usr/bin/env -S python3.11 -IS'
# Zip timestamps start in 1980; a fixed one makes the build reproducible.
TIMESTAMP = 315_532_800 + 86_400
BUILD_ID_LENGTH = 16
# Path parts of scripts outside the package folder and of unused files.
_EXCLUDED_PARTS = frozenset(('..', '__pycache__', 'tests'))
MODE = 0o755


class WrongVersion(Exception):
    """Installed version of a library differs from requirements.txt."""


def requirements() -> dict[str, str]:
    """Return the pinned version of each runtime library."""
    pins: dict[str, str] = {}
    for line in (ROOT / 'requirements.txt').read_text().splitlines():
        name, separator, version = line.partition('==')
        if separator:
            pins[name] = version
    return pins


def build(destination: pathlib.Path) -> None:
    """Write the executable file atomically; raise ``WrongVersion``."""
    with tempfile.TemporaryDirectory() as scratch:
        root = pathlib.Path(scratch) / 'root'
        libraries = root / start.LIBRARIES
        for name, version in requirements().items():
            _copy_library(name, version, libraries)
        _copy_program(libraries)
        _compile(libraries)
        shutil.copyfile(start.__file__, root / '__main__.py')
        (root / start.BUILD_FILE).write_text(_digest(root))
        _set_timestamps(root)
        packed = pathlib.Path(scratch) / 'packed'
        zipapp.create_archive(root, packed, INTERPRETER, compressed=True)
        destination.parent.mkdir(parents=True, exist_ok=True)
        replacement = destination.with_name(f'{destination.name}.new')
        shutil.move(packed, replacement)
        replacement.chmod(MODE)
        replacement.replace(destination)


def _copy_library(name: str, version: str, libraries: pathlib.Path) -> None:
    found = importlib.metadata.distribution(name)
    if found.version != version:
        raise WrongVersion(f'{name} is {found.version}, not {version}')
    for file in found.files or ():
        if _EXCLUDED_PARTS.intersection(file.parts):
            continue
        target = libraries / file
        target.parent.mkdir(parents=True, exist_ok=True)
        shutil.copyfile(file.locate(), target)


def _copy_program(libraries: pathlib.Path) -> None:
    shutil.copytree(
        ROOT / 'tamarackthread',
        libraries / 'tamarackthread',
        ignore=shutil.ignore_patterns('__pycache__'),
    )


def _compile(libraries: pathlib.Path) -> None:
    compileall.compile_dir(
        libraries,
        quiet=2,
        stripdir=str(libraries),
        invalidation_mode=py_compile.PycInvalidationMode.UNCHECKED_HASH,
    )


def _digest(root: pathlib.Path) -> str:
    digest = hashlib.sha256()
    for path in sorted(root.rglob('*')):
        if not path.is_file():
            continue
        digest.update(str(path.relative_to(root)).encode())
        digest.update(hashlib.sha256(path.read_bytes()).digest())
    return digest.hexdigest()[:BUILD_ID_LENGTH]


def _set_timestamps(root: pathlib.Path) -> None:
    for path in root.rglob('*'):
        os.utime(path, (TIMESTAMP, TIMESTAMP))


def main() -> int:
    """Build to the path on the command line, by default in ``dist``."""
    named = sys.argv[1:]
    destination = pathlib.Path(named[0]) if named else DEFAULT_DESTINATION
    build(destination)
    sys.stdout.write(f'{destination}: {destination.stat().st_size} bytes\n')
    return 0


if __name__ == '__main__':
    sys.exit(main())
