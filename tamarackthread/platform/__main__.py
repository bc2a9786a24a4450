"""Run a role on the platform: ``python -m tamarackthread.platform ROLE``."""

from __future__ import annotations

import asyncio
import importlib
import os
import pathlib
import signal
import sys

from tamarackthread.generated import settings as generated
from tamarackthread.shared import findings, live, logs, reload, settings

# Where the platform tells a process its settings file.
SETTINGS_VARIABLE = 'TAMARACKTHREAD_CONFIG'
BAD_SETTINGS = 2
_ROLES = ('entry', 'control')


def main(arguments: list[str]) -> int:
    """Run until asked to stop; return the exit code."""
    if len(arguments) != 1 or arguments[0] not in _ROLES:
        sys.stderr.write(f'say one role of {", ".join(_ROLES)}\n')
        return BAD_SETTINGS
    path = os.environ.get(SETTINGS_VARIABLE, '')
    try:
        # The platform keeps the settings far from the program; what they name
        # besides the data folder was built beside the program.
        loaded = settings.load(path, pathlib.Path.cwd())
    except findings.InvalidError as exc:
        sys.stderr.write(f'{exc}\n')
        return BAD_SETTINGS
    # A changed file may be told before the loop listens for it; by default
    # that would end the process.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    writer = logs.start(loaded.logs, sys.stdout, _name_of(loaded))
    source = live.Source(loaded)
    try:
        reloader = reload.Reloader(path, source, pathlib.Path.cwd())
        asyncio.run(_run(arguments[0], source, reloader))
    finally:
        writer.close()
    return 0


def _name_of(held: generated.Settings) -> str:
    """Name a process in its log lines: two roles may share a host."""
    return f'{held.node.id}/{held.role}'


async def _run(
    role: str,
    source: live.Source,
    reloader: reload.Reloader,
) -> None:
    reloader.watch()
    if role == 'control':
        await _run_control(source.settings)
    else:
        await _run_entry(source.settings)


# Only the role that runs is imported: the other's code and libraries would
# cost each process some megabytes.
async def _run_control(held: generated.Settings) -> None:
    host = importlib.import_module('tamarackthread.control.site.host')
    door = importlib.import_module('tamarackthread.platform.door')
    reader = importlib.import_module('tamarackthread.platform.configuration')
    ranks = importlib.import_module('tamarackthread.platform.ranks')
    await host.run(
        held,
        reader.PlatformReader(),
        door.PlatformDoor(),
        ranks.PlatformRanks(),
    )


async def _run_entry(held: generated.Settings) -> None:
    role = importlib.import_module('tamarackthread.entry.direct.role')
    calls = importlib.import_module('tamarackthread.platform.calls')
    reader = importlib.import_module('tamarackthread.platform.configuration')
    await role.run(held, reader.PlatformReader(), calls.PlatformDialect())


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
