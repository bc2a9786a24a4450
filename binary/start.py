"""Unpack the libraries into a cache folder once, then run the program.

Entry point of the zip archive; only the standard library can be imported here.
Extension modules can't be loaded from a zip.
"""

from __future__ import annotations

import collections.abc
import contextlib
import json
import os
import pathlib
import re
import shutil
import sys
import zipfile

CACHE_VARIABLE = 'TAMARACKTHREAD_CACHE'
SETTINGS_VARIABLE = 'TAMARACKTHREAD_SETTINGS'
BUILD_FILE = 'BUILD'
LIBRARIES = 'libraries/'
EXIT_REFUSED = 73
PYTHON = (3, 11)

_TOKEN = re.compile(
    r'"(?:[^"\\]|\\.)*"|//[^\n]*|/\*[\s\S]*?\*/|[^\s"/]+?|.',
)


class CacheUnusable(Exception):
    """The cache folder can't be written."""


def settings_path(arguments: collections.abc.Sequence[str]) -> str:
    """Return the value of ``--settings`` or ``-s``, empty if not given."""
    for number, argument in enumerate(arguments):
        if argument.startswith('--settings='):
            return argument.partition('=')[2]
        if argument in {'--settings', '-s'}:
            return ''.join(arguments[number + 1 : number + 2])
        if argument.startswith('-s'):
            return argument.removeprefix('-s')
    return ''


def named_string(text: str, key: str) -> str:
    """Find a key's string in JSON with comments; malformed text gives ``''``.

    The program validates the settings later, once it is unpacked.
    """
    tokens = [
        token
        for token in _TOKEN.findall(text)
        if token.strip() and not token.startswith(('//', '/*'))
    ]
    quoted = json.dumps(key)
    for name, colon, value in zip(tokens, tokens[1:], tokens[2:], strict=False):
        if name != quoted or colon != ':' or not value.startswith('"'):
            continue
        with contextlib.suppress(ValueError):
            return str(json.loads(value))
    return ''


def cache_folder(
    archive: pathlib.Path,
    arguments: collections.abc.Sequence[str],
    environment: collections.abc.Mapping[str, str],
) -> pathlib.Path:
    """Choose from, in order: variable, ``cache_folder``, data folder, archive.

    A relative path in the settings starts from the folder of that file.
    """
    if environment.get(CACHE_VARIABLE):
        return pathlib.Path(environment[CACHE_VARIABLE])
    given = settings_path(arguments) or environment.get(SETTINGS_VARIABLE, '')
    settings = pathlib.Path(given)
    text = ''
    with contextlib.suppress(OSError, UnicodeDecodeError):
        text = settings.read_text('utf-8')
    named = named_string(text, 'cache_folder')
    data_folder = named_string(text, 'data_folder')
    if data_folder and not named:
        named = f'{data_folder}/cache'
    if named:
        return settings.absolute().parent / named
    return archive.with_name(f'{archive.name}.cache')


def unpack(archive: pathlib.Path, folder: pathlib.Path) -> pathlib.Path:
    """Unpack this build unless it is cached; raise ``CacheUnusable``.

    Synced and renamed atomically, to survive power loss and concurrent starts.
    """
    with zipfile.ZipFile(archive) as opened:
        build = opened.read(BUILD_FILE).decode()
        final = folder / f'tamarackthread-{build}'
        if final.is_dir():
            return final / LIBRARIES
        scratch = folder / f'unpacking-{build}-{os.getpid()}'
        try:
            _extract(opened, scratch, final)
        except OSError as exc:
            raise CacheUnusable(f'{folder}: {exc.strerror}') from exc
        finally:
            shutil.rmtree(scratch, ignore_errors=True)
    return final / LIBRARIES


def _extract(
    opened: zipfile.ZipFile, scratch: pathlib.Path, final: pathlib.Path
) -> None:
    scratch.mkdir(parents=True)
    members = [name for name in opened.namelist() if name.startswith(LIBRARIES)]
    opened.extractall(scratch, members)
    os.sync()
    try:
        scratch.rename(final)
    except OSError:
        if not final.is_dir():
            raise


def _refuse(reason: str) -> int:
    sys.stderr.write(f'tamarackthread: {reason}\n')
    return EXIT_REFUSED


def main() -> int:
    """Unpack, import the program and run it; return its exit code."""
    if sys.version_info[:2] != PYTHON:
        needed = '.'.join(map(str, PYTHON))
        return _refuse(f'needs Python {needed}')
    archive = pathlib.Path(sys.argv[0]).resolve()
    folder = cache_folder(archive, sys.argv[1:], os.environ)
    try:
        libraries = unpack(archive, folder)
    except CacheUnusable as exc:
        return _refuse(
            f'cannot unpack into {exc}; name a folder that can be written '
            f'by {CACHE_VARIABLE} or by cache_folder in the settings',
        )
    # The libraries are precompiled; bytecode written beside them would make
    # the cache differ from what was synced.
    sys.dont_write_bytecode = True
    sys.path.insert(0, str(libraries))
    from tamarackthread import __main__  # noqa: WPS433 - unpacked just now

    return __main__.main()


if __name__ == '__main__':
    sys.exit(main())
