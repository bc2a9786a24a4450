"""Measure renewals of leases and portions of caps, the leader's soft state."""

from __future__ import annotations

import time

from bench.slopes import fit, process, stand
from tamarackthread.generated.messages import ttypes as messages
from tamarackthread.policy import portions
from tamarackthread.shared import link_pool

MICRO = 1e6
LEASE_MS = 30_000
LEASE_SECONDS = 3.0
TIMEOUT_SECONDS = 10.0
CAP = 100.0


async def measure_leases(subject: stand.Stand, quick: bool) -> list[fit.Slope]:
    """Renew one group's lease again and again at the leader."""
    links = subject.links('owner', messages.Role.AGENT)
    meter = process.Meter(subject.pids)
    await meter.take_rest(process.window_seconds(quick))
    points = []
    for size in (100, 200, 400) if quick else (300, 600, 1200) * 2:
        spent = await meter.spent_by(_renew(subject, links, size))
        points.append((float(size), spent.cpu[subject.leader]))
    return [fit.fit('lease_cpu_leader', 'us', points, MICRO)]


async def _renew(
    subject: stand.Stand,
    links: link_pool.LinkPool,
    count: int,
) -> None:
    address = subject.cluster.controls[subject.leader]
    fence = 0
    for _ in range(count):
        asked = messages.LeaseRequest(
            name='group-0',
            holder='owner',
            lease_ms=LEASE_MS,
            fence=fence,
            release=False,
        )
        reply = await links.request(
            address,
            messages.Request(lease=asked),
            TIMEOUT_SECONDS,
        )
        fence = reply.lease.fence


def portions_by_entries(quick: bool) -> fit.Slope:
    """Ask for one organisation's portion while many entries hold one."""
    points = []
    for entries in (10, 50, 100) if quick else (10, 100, 200, 370):
        table = portions.PortionTable(LEASE_SECONDS, 0)
        _ask(table, entries, LEASE_SECONDS * 2)
        began = time.process_time()
        _ask(table, entries, LEASE_SECONDS * 2 + 1)
        spent = time.process_time() - began
        points.append((float(entries), spent / entries))
    return fit.fit('portion_cpu_leader', 'us an entry', points, MICRO)


def _ask(table: portions.PortionTable, entries: int, now: float) -> None:
    for number in range(entries):
        table.lease('organisation', f'entry-{number}', CAP, 1, 1, now)
