"""Start a role with what translates for it."""

from __future__ import annotations

import importlib
import os
import pathlib
import sys

from tamarackthread.generated import settings as generated
from tamarackthread.shared import findings, role_start, settings

# Where the platform tells a process its settings file.
SETTINGS_VARIABLE = 'TAMARACKTHREAD_CONFIG'
BAD_SETTINGS = 2


def main(role: str) -> int:
    """Run a role until asked to stop; return the exit code."""
    path = os.environ.get(SETTINGS_VARIABLE, '')
    # The platform keeps the settings far from the program; what they name
    # besides the data folder was built beside the program.
    base = pathlib.Path.cwd()
    try:
        loaded = settings.load(path, base)
    except findings.InvalidError as exc:
        sys.stderr.write(f'{exc}\n')
        return BAD_SETTINGS
    role_start.run(
        loaded,
        path,
        _run_control if role == 'control' else _run_entry,
        base=base,
        output=sys.stdout,
        # Two roles may share a host.
        name=f'{loaded.node.id}/{loaded.role}',
    )
    return 0


# Only the role that runs is imported: the other's code and libraries would
# cost each process some megabytes.
async def _run_control(held: generated.Settings) -> None:
    host = importlib.import_module('tamarackthread.control.site.host')
    http_api = importlib.import_module('tamarackthread.platform.http_api')
    reader = importlib.import_module('tamarackthread.platform.configuration')
    ranks = importlib.import_module('tamarackthread.platform.ranks')
    await host.run(
        held,
        reader.PlatformReader(),
        http_api.PlatformApi(),
        ranks.PlatformRanks(),
    )


async def _run_entry(held: generated.Settings) -> None:
    role = importlib.import_module('tamarackthread.entry.direct.role')
    calls = importlib.import_module('tamarackthread.platform.calls')
    reader = importlib.import_module('tamarackthread.platform.configuration')
    await role.run(held, reader.PlatformReader(), calls.PlatformDialect())
