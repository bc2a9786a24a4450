"""Start a role with its adapter for the platform."""

from __future__ import annotations

import importlib
import os
import pathlib
import sys

from tamarackthread.generated import settings as generated
from tamarackthread.shared import findings, role_start, settings

# Path of the settings file, set by the platform.
SETTINGS_VARIABLE = 'TAMARACKTHREAD_CONFIG'
BAD_SETTINGS = 2


def main(role: str) -> int:
    """Run a role until asked to stop; return the exit code."""
    path = os.environ.get(SETTINGS_VARIABLE, '')
    # The settings file lies elsewhere, so its relative paths are resolved from
    # the working directory.
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


# Roles are imported late, to keep the code of the other out of memory.
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
