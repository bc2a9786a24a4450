"""Set up the processes that are measured, and stand-ins around them."""

from __future__ import annotations

import asyncio
import pathlib
import random
import typing

import aiohttp

from tamarackthread.generated.messages import ttypes as messages
from tamarackthread.shared import (
    feed,
    identity,
    link,
    link_pool,
    listener,
    parents,
    process,
)

from bench import cluster, operator

TOKEN = 'slopes-token'
SERVICE = 'stock'
MODEL_SERVICE = 'drafting'
SPARE_SERVICE = 'spare'
ZONE = 'zone-0'
REGION = 'region-0'
WAIT_SECONDS = 0.5
SERVED_TRIES = 300
# Stand-ins announce targets that no node of the feed stands for.
NEVER_GONE_SECONDS = 3600.0
SLOTS = '256'
STEP_MS = '20'


class QuietTarget(link.Handler):
    """A stand-in for an agent: keep links and report when told."""

    def __init__(self, name: str) -> None:
        """Hold no link yet."""
        self.name = name
        self.links: set[link.Link] = set()
        self._sequence = 0

    async def on_request(
        self,
        link: link.Link,
        request: messages.Request,
    ) -> messages.Reply:
        """Answer that it was done."""
        return messages.Reply(done=messages.Done())

    def on_connected(self, link: link.Link) -> None:
        """Keep a link to report on."""
        self.links.add(link)

    def on_lost(self, link: link.Link) -> None:
        """Forget a link."""
        self.links.discard(link)

    def knows(self, node: str) -> bool:
        """Tell whether a node holds a link to this target."""
        return any(held.peer.node == node for held in self.links)

    def report(self) -> None:
        """Send one report on each link."""
        self._sequence += 1
        request = messages.Request(report=load_report(self.name))
        request.report.sequence = self._sequence
        for held in self.links:
            held.notify(request)


class Stand:
    """Hold the cluster, an operator, and the stand-ins of one run."""

    def __init__(self, folder: pathlib.Path) -> None:
        """Start nothing yet."""
        self.cluster = cluster.Cluster(folder, zones=1)
        self.operator = operator.Operator(self.cluster)
        self.leader = ''
        self.targets: list[QuietTarget] = []
        self._key = self.cluster.key_file.read_bytes().strip()
        self._listeners: list[listener.Listener] = []
        self._feeds: list[feed.ConfigFeed] = []
        self._peers: list[link_pool.LinkPool] = []

    @property
    def pids(self) -> dict[str, int]:
        """Give the processes by the part that they play."""
        playing = {'entry-0': 'entry', 'stock-0': 'agent', 'draft-0': 'drafts'}
        pids = {}
        for name, started in self.cluster.processes.items():
            is_control = name in self.cluster.controls
            part = playing.get(name, name if is_control else '')
            if part:
                pids[part] = started.pid
        return pids

    @property
    def http(self) -> str:
        """Give the address that callers use."""
        return self.cluster.processes['entry-0'].addresses['http']

    def address(self, name: str) -> str:
        """Give where a process accepts links."""
        return self.cluster.processes[name].addresses['link']

    async def start(self) -> None:
        """Start the processes, configure them and wait until they serve."""
        await self.cluster.start_controls(
            timing={'target_lease_seconds': NEVER_GONE_SECONDS},
        )
        await self._start_targets()
        await self.cluster.start_entry('entry-0', 0)
        await self._configure()
        await self._wait_served()
        reply = await self.operator.ask(
            messages.Request(status=messages.StatusRequest(revision=0)),
        )
        self.leader = reply.status.leader

    async def stop(self) -> None:
        """Stop the stand-ins and the processes."""
        for held in self._feeds:
            await held.stop()
        for accepting in self._listeners:
            accepting.close()
        for links in self._peers:
            links.close()
        self.operator.close()
        await self.cluster.stop()

    def links(
        self,
        node: str,
        role: messages.Role,
        handler: link.Handler | None = None,
    ) -> link_pool.LinkPool:
        """Make the links of one more stand-in."""
        own = identity.Identity(
            node=node,
            role=role,
            region=REGION,
            zone=ZONE,
            incarnation=process.new_incarnation(),
        )
        made = link_pool.LinkPool(
            identity.LinkOptions(own, (self._key,)), handler
        )
        self._peers.append(made)
        return made

    async def add_child(self, number: int, parent: str) -> None:
        """Let one more stand-in follow the configuration from a parent."""
        node = f'child-{number}'
        own = identity.Identity(
            node=node,
            role=messages.Role.AGENT,
            region=REGION,
            zone=ZONE,
            incarnation=process.new_incarnation(),
        )
        following = feed.ConfigFeed(
            self.links(node, messages.Role.AGENT),
            own,
            parents.RandomParentSelector([parent], random.Random(number)),
            WAIT_SECONDS,
        )
        following.start()
        self._feeds.append(following)
        await following.wait_current()

    async def add_target(self) -> None:
        """Announce one more stand-in target of the spare service."""
        name = f'spare-{len(self.targets)}'
        target = QuietTarget(name)
        own = identity.Identity(
            node=name,
            role=messages.Role.AGENT,
            region=REGION,
            zone=ZONE,
        )
        options = identity.LinkOptions(own, (self._key,))
        accepting = listener.Listener(options, target)
        address = await accepting.start(cluster.HOST, 0)
        self._listeners.append(accepting)
        self.targets.append(target)
        await self.operator.ask(
            messages.Request(announce=announcement(name, address)),
        )

    async def wait_linked(self, node: str) -> None:
        """Wait until an entry holds a link to each stand-in target."""
        while not all(target.knows(node) for target in self.targets):
            await asyncio.sleep(0.1)

    async def _start_targets(self) -> None:
        plain = await self.cluster.start_engine(
            'plain',
            '--work-ms',
            '0',
            module='plain',
        )
        url = f'http://{plain.addresses["http"]}'
        await self.cluster.start_agent('stock-0', url, SERVICE, 0)
        engine = await self.cluster.start_engine(
            'engine',
            '--slots',
            SLOTS,
            '--step-ms',
            STEP_MS,
        )
        await self.cluster.start_agent(
            'draft-0',
            f'http://{engine.addresses["http"]}',
            MODEL_SERVICE,
            0,
            kind='model',
            connection_limit=int(SLOTS),
        )

    async def _configure(self) -> None:
        put = self.operator.put
        profile = {'routing': {'subset_size': 2000}}
        await put('profile', 'standard', profile)
        bodies: dict[str, dict[str, typing.Any]] = {
            SERVICE: {'paths': ['/stock']},
            MODEL_SERVICE: {'kind': 'model', 'paths': ['/v1/']},
            SPARE_SERVICE: {'paths': ['/spare']},
        }
        for name, body in bodies.items():
            await put('service', name, {'profile': 'standard', **body})
        reply = await put(
            'organisation',
            'bench',
            operator.organisation(TOKEN),
        )
        await self.operator.wait_in_force(reply.revision)

    async def _wait_served(self) -> None:
        headers = {'Authorization': f'Bearer {TOKEN}'}
        body = {'prompt': 'ready?', 'max_tokens': 1}
        url = f'http://{self.http}'
        async with aiohttp.ClientSession(headers=headers) as session:
            for _ in range(SERVED_TRIES):
                model = await session.post(f'{url}/v1/completions', json=body)
                plain = await session.get(f'{url}/stock')
                if model.status == plain.status == 200:
                    return
                await asyncio.sleep(0.1)
        raise cluster.ProcessFailed(f'{model.status} {plain.status}')


def load_report(target: str) -> messages.LoadReport:
    """Build a report as a busy engine's agent sends it."""
    return messages.LoadReport(
        target=target,
        sequence=1,
        age_ms=40,
        running=24,
        queued=3,
        batch_slots=32,
        queued_tokens=9000,
        step_ms=6.5,
        tokens_per_second=3700,
        leaving=False,
        stuck=False,
        prefixes=[],
        prefix_sequence=7,
        entries=8,
    )


def announcement(name: str, address: str) -> messages.Announcement:
    """Build what an agent says of its target when it joins."""
    return messages.Announcement(
        target=name,
        service_name=SPARE_SERVICE,
        zone=ZONE,
        region=REGION,
        address=address,
        incarnation=1,
        leaving=False,
        group='',
        ranks=1,
        checks_fencing=False,
    )
