"""Let another writer's heartbeats name a service whose name is no text."""

from __future__ import annotations

import asyncio
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import stand  # noqa: E402
import web  # noqa: E402

BEATS = 3
# The first half of a pair of surrogates: valid JSON, but no text.  A writer that
# cuts a name inside such a pair sends this.
FOREIGN = (
    r'{"service":"model-\ud83d","address":"127.0.0.1:9","zone":"zone-a",'
    r'"version":"v1","slots":6,"state":"ready","cold-remaining-ms":0,'
    r'"sequence":%d}'
)
APPLY_SECONDS = stand.BOUNDS['config-apply-ms'] / 1000
WATCH_SECONDS = 10


async def write_foreign(site: stand.Site) -> None:
    """Send heartbeats as a replica does, at another control host each time."""
    for number in range(BEATS):
        machine = site.machines[number % len(site.machines)]
        status = await site.ask(
            machine.control,
            'POST',
            '/tamarackthread/replicas/x-1/heartbeat',
            (FOREIGN % (number + 1)).encode(),
        )
        site.note(f'foreign heartbeat at {machine.name}: {status}')
        await asyncio.sleep(stand.HEARTBEAT_SECONDS)


async def ask_all(site: stand.Site, after: float, number: int) -> bool:
    """Ask each entry; return whether one obeys the older version only."""
    is_stale = False
    for machine in site.machines:
        tries = (('old', 'key-south', 401), ('new', 'key-north', 200))
        for name, key, expected in tries:
            answer = await web.ask(
                machine.front,
                'GET',
                f'/{name}/x',
                b'',
                stand.request_rows(f'{name}-{machine.name}-{number}', key),
            )
            site.note(
                f'{after:.1f} s after the ack, {machine.name} /{name}/ with'
                f' {key}: {answer.status}, by version 2: {expected}'
            )
            is_stale |= name == 'old' and answer.status == 200
            is_stale |= name == 'new' and answer.status == 404
    return is_stale


async def play(site: stand.Site, replica: stand.Replica) -> bool:
    """Return whether an entry obeyed an older version for too long."""
    site.start()
    await replica.start()
    old = stand.route('old', 'idempotent', 'app')
    await site.configure(stand.document(1, [old]))
    if not await site.wait_ready():
        raise RuntimeError('an entry is not ready')
    await asyncio.sleep(4)
    if stand.has_trouble():
        await write_foreign(site)
    else:
        await asyncio.sleep(BEATS * stand.HEARTBEAT_SECONDS)
    await asyncio.sleep(1)
    document = stand.document(2, [old, stand.route('new', 'idempotent', 'app')])
    document['tenants'] = document['tenants'][:1]
    await site.configure(document)
    acked = time.monotonic()
    await asyncio.sleep(APPLY_SECONDS + 0.5)
    is_broken = False
    for number in range(WATCH_SECONDS):
        after = time.monotonic() - acked
        is_broken |= await ask_all(site, after, number)
        await asyncio.sleep(1)
    return is_broken


async def main() -> int:
    """Play the case and write the record."""
    site = stand.Site()
    replica = stand.Replica(site, 'app', 'i-1')
    try:
        is_broken = await play(site, replica)
        await replica.stop()
    finally:
        await site.stop()
    return stand.finish(site, FOLDER, is_broken)


if __name__ == '__main__':
    sys.exit(stand.run(main))
