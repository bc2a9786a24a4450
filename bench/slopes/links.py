"""Measure heartbeats and reports on links, at the entry and at the agent."""

from __future__ import annotations

import asyncio

from tamarackthread.generated.messages import ttypes as messages

from bench.slopes import fit, process, stand

MICRO = 1e6
KIBI = 1024
# A link beats twice a second and echoes the other side's two beats.
BEATS_A_SECOND = 2
REPORTS_A_SECOND = 10
FRESH = 'entry-1'
RATES = (0, 10, 20, 5)


class EntryLinks:
    """Give the entry more and more targets."""

    def __init__(self, subject: stand.Stand, quick: bool) -> None:
        """Use fewer targets when ``quick``."""
        self._stand = subject
        self._sizes = (10, 25, 40) if quick else (25, 50, 100, 150)
        self._runs = 1 if quick else 2
        self._rates = RATES[:3] if quick else RATES
        self._window = process.window_seconds(quick)

    async def run(self) -> list[fit.Slope]:
        """Measure links at rest, then reports at several rates."""
        # A new process: an old one fills what it has freed before it grows.
        started = await self._stand.cluster.start_entry(FRESH, 0)
        pid = started.pid
        meter = process.Meter({'entry': pid})
        beating = []
        resident = []
        for size in self._sizes:
            while len(self._stand.targets) < size:
                await self._stand.add_target()
            await self._stand.wait_linked(FRESH)
            await asyncio.sleep(0.5)
            resident.append((float(size), float(process.resident_bytes(pid))))
            for _ in range(self._runs):
                rest = await meter.take_rest(self._window)
                beating.append((float(size), rest['entry'] / BEATS_A_SECOND))
        return [
            fit.fit('heartbeat_cpu_entry', 'us', beating, MICRO),
            fit.fit('target_memory_entry', 'KiB', resident, 1 / KIBI),
            await self._reports(meter),
        ]

    async def _reports(self, meter: process.Meter) -> fit.Slope:
        points = []
        for rate in self._rates * self._runs:
            sending = asyncio.ensure_future(self._send(rate))
            await asyncio.sleep(0.5)
            rest = await meter.take_rest(self._window)
            sending.cancel()
            arriving = float(rate * len(self._stand.targets))
            points.append((arriving, rest['entry']))
        return fit.fit('report_cpu_entry', 'us', points, MICRO)

    async def _send(self, rate: int) -> None:
        while rate:
            for target in self._stand.targets:
                target.report()
                await asyncio.sleep(1 / rate / len(self._stand.targets))


async def measure_agent(subject: stand.Stand, quick: bool) -> list[fit.Slope]:
    """Dial one agent from more and more entries, which it reports to."""
    pid = subject.pids['agent']
    meter = process.Meter({'agent': pid})
    address = subject.address('stock-0')
    points = []
    resident = []
    known = 0
    for size in (0, 8, 16) if quick else (0, 8, 16, 32):
        while known < size:
            known += 1
            links = subject.links(f'dialler-{known}', messages.Role.ENTRY)
            await links.link(address)
        await asyncio.sleep(0.5)
        resident.append((float(size), float(process.resident_bytes(pid))))
        for _ in range(1 if quick else 2):
            rest = await meter.take_rest(process.window_seconds(quick))
            points.append((float(size), rest['agent']))
    return [
        fit.fit('entry_link_cpu_agent', 'us/s an entry', points, MICRO),
        fit.fit('link_memory_agent', 'KiB a link', resident, 1 / KIBI),
    ]


async def measure_dials(subject: stand.Stand, quick: bool) -> list[fit.Slope]:
    """Dial one agent anew, as its entries do after it was cut off."""
    pid = subject.pids['agent']
    meter = process.Meter({'agent': pid})
    await meter.take_rest(process.window_seconds(quick))
    address = subject.address('stock-0')
    points = []
    for size in (10, 20, 40) if quick else (20, 40, 80) * 2:
        spent = await meter.spent_by(_dial(subject, address, size))
        points.append((float(size), spent.cpu['agent']))
    return [fit.fit('dial_cpu_agent', 'us', points, MICRO)]


async def _dial(subject: stand.Stand, address: str, count: int) -> None:
    for _ in range(count):
        links = subject.links('redialler', messages.Role.OPERATOR)
        await links.link(address)
        links.close()
