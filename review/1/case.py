"""Freeze a control host for a moment while another one is being replaced."""

from __future__ import annotations

import asyncio
import json
import pathlib
import shutil
import signal
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import stand  # noqa: E402
import web  # noqa: E402

FREEZE_SECONDS = 3.5
DOWN_SECONDS = 2.0
TOUCH_SECONDS = stand.BOUNDS['connectivity-window-ms'] / 1000
CATCH_UP_SECONDS = stand.BOUNDS['catch-up-s']
GRACE_SECONDS = stand.BOUNDS['grace-period-s']
RECOVERY_SECONDS = stand.BOUNDS['recovery-s']
WATCH_SECONDS = 12
REPLACE = '/tamarackthread/configuration/replace'
READ = '/tamarackthread/configuration/read'
LEADS = '\ntamarackthread_log_leads 1'
TAKEN = 200


async def leader_of(site: stand.Site) -> stand.Machine:
    """Return the machine whose metrics say that it leads."""
    for machine in site.running():
        answer = await web.ask(f'{machine.host}:9102', 'GET', '/metrics')
        if LEADS in answer.body.decode():
            return machine
    raise RuntimeError('no control host leads')


def body_of(version: int) -> bytes:
    """Return a configuration as sent."""
    routes = [stand.route('old', 'idempotent', 'app')]
    return json.dumps(stand.document(version, routes)).encode()


async def send(site: stand.Site, machine: stand.Machine, version: int) -> bool:
    """Send a configuration to one host once; return whether it is acked."""
    status = await site.ask(machine.control, 'POST', REPLACE, body_of(version))
    site.note(f'version {version} sent to {machine.name}: {status}')
    return status == TAKEN


async def freeze(site: stand.Site, machine: stand.Machine) -> None:
    """Let all processes of a machine stand still for a time."""
    for role in machine.processes:
        machine.signal(role, signal.SIGSTOP)
    site.note(f'{machine.name} freezes')
    await asyncio.sleep(FREEZE_SECONDS)
    for role in machine.processes:
        machine.signal(role, signal.SIGCONT)
    site.note(f'{machine.name} wakes')


async def lose_disk(site: stand.Site, machine: stand.Machine) -> None:
    """Kill a machine's processes, and start them with an empty folder."""
    for role, process in machine.processes.items():
        machine.signal(role, signal.SIGKILL)
        process.wait()
    shutil.rmtree(machine.folder / 'data-control')
    site.note(f'{machine.name} is killed and has lost its disk')
    await asyncio.sleep(DOWN_SECONDS)
    machine.start('control')
    machine.start('entry')
    site.note(f'{machine.name} is back')


async def replace(site: stand.Site) -> stand.Machine:
    """Replace a host by a new one, as planned; return the new one.

    Before the old one leaves, another freezes for a moment.
    """
    new = site.machines[3]
    new.bootstrap = False
    new.start('control')
    new.start('entry')
    site.note(f'{new.name} has come')
    await asyncio.sleep(CATCH_UP_SECONDS + 1)
    leader = await leader_of(site)
    old, other = (row for row in site.machines[:3] if row is not leader)
    if stand.has_trouble():
        await freeze(site, other)
    else:
        await asyncio.sleep(FREEZE_SECONDS)
    await asyncio.sleep(CATCH_UP_SECONDS + TOUCH_SECONDS)
    for role in old.processes:
        old.signal(role, signal.SIGTERM)
    old.is_gone = True
    site.note(f'{old.name} leaves for good')
    await asyncio.sleep(GRACE_SECONDS + CATCH_UP_SECONDS)
    return new


async def read_back(site: stand.Site) -> bool:
    """Read the configuration at each host in turn; return whether it comes."""
    until = time.monotonic() + WATCH_SECONDS
    has_come = False
    while time.monotonic() < until:
        for machine in site.running():
            status = await site.ask(machine.control, 'GET', READ)
            site.note(f'read at {machine.name}: {status}')
            has_come |= status == TAKEN
        await asyncio.sleep(1)
    return has_come


async def play(site: stand.Site) -> bool:
    """Return whether the configuration can't be read back at the end."""
    for machine in site.machines[:3]:
        machine.start('control')
        machine.start('entry')
    await site.configure(stand.document(1, []))
    if not await site.wait_ready():
        raise RuntimeError('an entry is not ready')
    await asyncio.sleep(TOUCH_SECONDS)
    new = await replace(site)
    if not await send(site, new, 2):
        raise RuntimeError('version 2 is not acked')
    await lose_disk(site, new)
    await asyncio.sleep(RECOVERY_SECONDS)
    for machine in site.running():
        await send(site, machine, 3)
    return not await read_back(site)


async def main() -> int:
    """Play the case and write the record."""
    site = stand.Site(machines=4, disks=(0, 1, 2, 3))
    try:
        is_broken = await play(site)
    finally:
        await site.stop()
    return stand.finish(site, FOLDER, is_broken)


if __name__ == '__main__':
    sys.exit(stand.run(main))
