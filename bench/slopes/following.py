"""Measure what any change costs an entry that knows many targets.

An entry looks over its subsets and pools after each change, also after one
of an organisation, so that this part grows with the targets known.
"""

from __future__ import annotations

import asyncio
import json
import random
import time

from tamarackthread.entry import directory, fleet
from tamarackthread.generated.messages import ttypes as messages
from tamarackthread.shared import errors, identity, link_pool
from tamarackthread.shared import link as links

from bench.slopes import design, fit, memory

MICRO = 1e6
UPDATES = 40
RUNS = 4
REVISION = 1


class NoPeers(link_pool.LinkPool):
    """Reach nobody, so that only the looking over is measured."""

    async def link(self, address: str) -> links.Link:
        """Fail as an address does that nobody listens on."""
        raise errors.AddressUnreachable(address)


async def measure(quick: bool) -> list[fit.Slope]:
    """Update an entry's fleet at a growing number of targets."""
    points = []
    sizes = (100, 200, 400) if quick else (525, 1050, design.REPLICAS) * RUNS
    for targets in sizes:
        held = _fleet(targets)
        held.update()
        await asyncio.sleep(0)
        began = time.process_time()
        for _ in range(UPDATES):
            held.update()
        spent = (time.process_time() - began) / UPDATES
        points.append((float(targets), spent))
        held.close()
    return [fit.fit('change_cpu_by_targets', 'us a target', points, MICRO)]


def _fleet(targets: int) -> fleet.Fleet:
    known = directory.Directory()
    known.apply(_documents(targets))
    held = fleet.Fleet('entry-0', 'zone-0', known, random.Random(1))
    own = identity.Identity(node='entry-0', role=messages.Role.ENTRY)
    held.set_peers(NoPeers(identity.LinkOptions(own, (b'k' * 32,))))
    return held


def _documents(targets: int) -> list[messages.Document]:
    documents = []
    for number in range(design.MODELS):
        body = {'profile': 'standard', 'kind': 'model'}
        documents.append(_document('service', f'drafts-{number}', body))
    for number in range(targets):
        body = memory.target_body(number)
        documents.append(_document('target', f'target-{number}', body))
    for number in range(1, design.NODES):
        body = {
            'region': f'region-{number % design.REGIONS}',
            'zone': f'zone-{number % design.ZONES}',
            'address': f'10.2.{number >> 8}.{number & 255}:7100',
        }
        documents.append(_document('entry', f'entry-{number}', body))
    return documents


def _document(
    kind: str,
    name: str,
    body: dict[str, object],
) -> messages.Document:
    return messages.Document(
        kind=kind,
        name=name,
        version=1,
        body=json.dumps(body),
        revision=REVISION,
    )
