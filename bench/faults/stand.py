"""Set up the cluster on which faults are induced, with relays in between."""

from __future__ import annotations

import asyncio
import json
import pathlib
import signal

import aiohttp
import attrs

from bench import cluster, operator
from bench.checks import calls
from bench.faults import callers, relays
from tamarackthread.generated.messages import ttypes as messages

CONTROLS = 3
ENTRIES = 2
TARGETS = 3
READY_TRIES = 400
WORK_MS = '60'
# Long enough for the effects of a fault to be over after its end: the silence
# limit of links, the leases and the longest try of a call.
AFTERMATH_SECONDS = 6.0


@attrs.frozen
class Site:
    """One target, its fake and its agent."""

    name: str
    fake: str
    service: str
    kind: str
    zone: int

    @property
    def module(self) -> str:
        """Name the fake's module."""
        return 'replica' if self.kind == 'model' else 'plain'

    @property
    def options(self) -> tuple[str, str]:
        """Give the fake's options."""
        if self.kind == 'model':
            return ('--step-ms', '6')
        return ('--work-ms', WORK_MS)


def drafting(number: int) -> Site:
    """Describe a model target."""
    return Site(
        name=f'draft-{number}',
        fake=f'engine-{number}',
        service='drafting',
        kind='model',
        zone=number,
    )


def ordering(number: int) -> Site:
    """Describe a plain target whose calls may not repeat."""
    return Site(
        name=f'order-{number}',
        fake=f'stock-{number}',
        service='stock',
        kind='plain',
        zone=number,
    )


def both_kinds() -> tuple[Site, ...]:
    """Describe as many targets of each kind as there are zones."""
    sites = []
    for number in range(TARGETS):
        sites.extend((drafting(number), ordering(number)))
    return tuple(sites)


class Stand:
    """Hold the processes, the relays and the windows of stops."""

    def __init__(
        self,
        folder: pathlib.Path,
        sites: tuple[Site, ...] | None = None,
    ) -> None:
        """Start nothing yet; without ``sites`` there are three of each kind."""
        self._sites = both_kinds() if sites is None else sites
        self.relays = relays.Relays()
        self.windows: list[calls.Window] = []
        self._cluster = cluster.Cluster(folder, advertised=relays.RELAY_HOST)
        self._balancer: callers.Balancer | None = None

    @property
    def running(self) -> cluster.Cluster:
        """Give the cluster of processes."""
        return self._cluster

    @property
    def entries(self) -> list[str]:
        """Name the entries."""
        return [f'entry-{number}' for number in range(ENTRIES)]

    @property
    def agents(self) -> list[str]:
        """Name the agents, of models and of orders."""
        return [site.name for site in self._sites]

    @property
    def controls(self) -> list[str]:
        """Name the control hosts."""
        return [f'control-{number}' for number in range(CONTROLS)]

    def use(self, balancer: callers.Balancer) -> None:
        """Tell this balancer where the entries are."""
        self._balancer = balancer

    async def start(self) -> None:
        """Start all processes and configure them."""
        starting = asyncio.ensure_future(self._cluster.start_controls(CONTROLS))
        # The hosts dial each other through the relays while they start.
        while len(self._cluster.controls) < CONTROLS:
            await asyncio.sleep(0)
        for name, address in self._cluster.controls.items():
            await self.relays.open(name, int(address.rpartition(':')[2]))
        await starting
        for site in self._sites:
            await self._start_target(site)
        for number, name in enumerate(self.entries):
            await self._cluster.start_entry(name, number)
            await self._relay(name)
        await self._configure()

    async def stop(self) -> None:
        """Stop everything."""
        await self._cluster.stop()
        self.relays.close()

    def watch_entries(self) -> None:
        """Have the balancer look at all entries."""
        for name in self.entries:
            self._watch(name)

    def entry_address(self, name: str) -> str:
        """Give the address where an entry serves callers."""
        return self._cluster.processes[name].addresses['http']

    def send(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a process."""
        self._cluster.processes[name].send(number)

    async def wait_ended(self, name: str) -> None:
        """Wait for a process to end."""
        await self._cluster.processes[name].wait()

    async def start_again(self, name: str) -> None:
        """Start a process that has ended."""
        await self._cluster.restart(name)
        await self._relay(name)
        if name in self.entries:
            self._watch(name)

    async def leader(self) -> str:
        """Ask which control host leads the configuration."""
        acting = operator.Operator(self._cluster)
        try:
            status = messages.StatusRequest(revision=0)
            reply = await acting.ask(messages.Request(status=status))
        finally:
            acting.close()
        return reply.status.leader or self.controls[0]

    def note(self, begins: float, planned: bool) -> None:
        """Note that a stop which began then has ended now."""
        ends = asyncio.get_running_loop().time()
        if not planned:
            ends += AFTERMATH_SECONDS
        self.windows.append(calls.Window(begins, ends, planned))

    def starts(self) -> list[calls.Start]:
        """Read from the journals what the targets have started."""
        found = []
        for site in self._sites:
            found.extend(_starts(self._cluster.journal(site.fake)))
        return found

    def _watch(self, name: str) -> None:
        if self._balancer is not None:
            self._balancer.watch(name, self.entry_address(name))

    async def _relay(self, name: str) -> None:
        process = self._cluster.processes[name]
        port = int(process.addresses['link'].rpartition(':')[2])
        await self.relays.open(name, port)

    async def _start_target(self, site: Site) -> None:
        fake = await self._cluster.start_engine(
            site.fake,
            *site.options,
            module=site.module,
        )
        await self._cluster.start_agent(
            site.name,
            f'http://{fake.addresses["http"]}',
            site.service,
            site.zone,
            kind=site.kind,
        )
        await self._relay(site.name)

    async def _configure(self) -> None:
        acting = operator.Operator(self._cluster)
        await acting.put('profile', 'standard', {'claims': {'wait_seconds': 4}})
        for name, kind, path in (
            ('drafting', 'model', '/v1/'),
            ('stock', 'plain', '/stock'),
        ):
            body = {'profile': 'standard', 'kind': kind, 'paths': [path]}
            await acting.put('service', name, body)
        for token in callers.TOKENS:
            reply = await acting.put(
                'organisation',
                token,
                operator.organisation(token),
            )
        await acting.wait_in_force(reply.revision)
        acting.close()
        for name in self.entries:
            await self._wait_serving(name)

    async def _wait_serving(self, name: str) -> None:
        address = self.entry_address(name)
        headers = {'Authorization': f'Bearer {callers.TOKENS[0]}'}
        url = f'http://{address}/stock/ready'
        key = {'Idempotency-Key': f'ready {name}', **headers}
        async with aiohttp.ClientSession() as session:
            for _ in range(READY_TRIES):
                found = await session.get(url, headers=headers)
                keyed = await session.post(url, headers=key)
                if found.status == keyed.status == 200:
                    return
                await asyncio.sleep(0.1)
        text = await keyed.text()
        raise cluster.ProcessFailed(f'{name}: {found.status} {text}')


def _starts(journal: pathlib.Path) -> list[calls.Start]:
    found = []
    for line in journal.read_text().splitlines():
        event = json.loads(line)
        if event['event'] != 'start':
            continue
        body = event['prompt'] or event['path'].rpartition('/')[2]
        found.append(calls.Start(body=body, at=event['at']))
    return found
