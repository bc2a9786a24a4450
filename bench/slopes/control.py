"""Measure changes, announcements and claims at the control hosts."""

from __future__ import annotations

import asyncio
import json
import secrets
import typing

from tamarackthread.generated.messages import ttypes as messages
from tamarackthread.shared import claim_times, errors, link_pool

from bench.slopes import fit, process, stand

MICRO = 1e6
SHARD = 'claims-0'
TIMEOUT_SECONDS = 10.0
ANSWER = json.dumps({'confirmed': True, 'order': '0' * 200}).encode()
ABREAST = 64
LEADER_TRIES = 50
CHILDREN = (0, 3, 6, 9, 12)


class Changes:
    """Change documents and see what each costs on its way to the nodes."""

    def __init__(self, subject: stand.Stand, quick: bool) -> None:
        """Make fewer changes when ``quick``."""
        self._stand = subject
        sizes = (10, 20, 30) if quick else (30, 60, 90)
        self._sizes = sizes if quick else sizes * 2
        self._children = CHILDREN[::2] if quick else CHILDREN
        self._window = process.window_seconds(quick)
        self._numbers = iter(range(1_000_000))

    async def run(self) -> list[fit.Slope]:
        """Measure at a growing number of children below the entry."""
        meter = process.Meter(self._stand.pids)
        parent = self._stand.address('entry-0')
        per_change = []
        resting = []
        slopes: list[fit.Slope] = []
        known = 0
        for children in self._children:
            while known < children:
                await self._stand.add_child(known, parent)
                known += 1
            rest = await meter.take_rest(self._window)
            resting.append((float(children), rest['entry']))
            costs = await self._cost(meter)
            for size, spent in costs:
                per_change.append((float(children), spent['entry'] / size))
            if not children:
                slopes.extend(self._roles(costs))
        slopes.append(
            fit.fit('child_rest_cpu', 'us/s a child', resting, MICRO),
        )
        slopes.append(
            fit.fit('child_change_cpu', 'us a change', per_change, MICRO),
        )
        return slopes

    async def _cost(
        self,
        meter: process.Meter,
    ) -> list[tuple[float, dict[str, float]]]:
        costs = []
        for size in self._sizes:
            spent = await meter.spent_by(self._change(size))
            costs.append((float(size), spent.cpu))
        return costs

    async def _change(self, count: int) -> None:
        for _ in range(count):
            number = next(self._numbers)
            await self._stand.operator.put(
                'organisation',
                f'organisation-{number:06}',
                organisation(number),
            )

    def _roles(
        self,
        costs: list[tuple[float, dict[str, float]]],
    ) -> list[fit.Slope]:
        leader = self._stand.leader
        followers = [
            name for name in self._stand.cluster.controls if name != leader
        ]
        return [
            _cpu('change_cpu_leader', costs, [leader]),
            _cpu('change_cpu_follower', costs, followers),
            _cpu('change_cpu_node', costs, ['entry']),
        ]


async def measure_announcements(
    subject: stand.Stand,
    quick: bool,
) -> list[fit.Slope]:
    """Announce targets that nobody dials, at the leader."""
    meter = process.Meter(subject.pids)
    await meter.take_rest(process.window_seconds(quick))
    links = subject.links('announcer', messages.Role.AGENT)
    numbers = iter(range(1_000_000))
    sizes = (10, 20, 30) if quick else (20, 40, 60, 20, 40, 60)
    costs = []
    for size in sizes:
        spent = await meter.spent_by(_announce(subject, links, numbers, size))
        costs.append((float(size), spent.cpu))
    return [_cpu('announcement_cpu_leader', costs, [subject.leader])]


async def _announce(
    subject: stand.Stand,
    links: link_pool.LinkPool,
    numbers: typing.Iterator[int],
    count: int,
) -> None:
    address = subject.cluster.controls[subject.leader]
    for _ in range(count):
        announced = stand.announcement(f'far-{next(numbers)}', '127.0.0.1:9')
        # A service that no entry knows keeps the entry from dialling.
        announced.service_name = 'elsewhere'
        request = messages.Request(announce=announced)
        await links.request(address, request, TIMEOUT_SECONDS)


class Claims:
    """Claim and finish keys at one shard's leader."""

    def __init__(self, subject: stand.Stand, quick: bool) -> None:
        """Make fewer claims when ``quick``."""
        self._stand = subject
        sizes = (100, 200, 400) if quick else (300, 600, 1200)
        self._sizes = sizes if quick else sizes * 2
        self._window = process.window_seconds(quick)
        self._links = subject.links('claimant', messages.Role.ENTRY)
        self._leader = ''

    async def run(self) -> list[fit.Slope]:
        """Measure cost by the number of claims, and syncs by company."""
        meter = process.Meter(self._stand.pids)
        await meter.take_rest(self._window)
        self._leader = await self._find_leader()
        followers = [
            name
            for name in self._stand.cluster.controls
            if name != self._leader
        ]
        costs = []
        syncs = []
        for size in self._sizes:
            spent = await meter.spent_by(self._claim(size, ABREAST))
            costs.append((float(size), spent.cpu))
            syncs.append((float(size), float(spent.writes[self._leader])))
        slopes = [
            _cpu('claim_cpu_shard_leader', costs, [self._leader]),
            _cpu('claim_cpu_shard_follower', costs, followers),
            fit.fit('claim_syncs_64_abreast', 'syncs a claim', syncs),
        ]
        alone = []
        for size in (20, 40, 60):
            spent = await meter.spent_by(self._claim(size, 1))
            alone.append((float(size), float(spent.writes[self._leader])))
        slopes.append(fit.fit('claim_syncs_alone', 'syncs a claim', alone))
        return slopes

    async def _find_leader(self) -> str:
        failure: errors.CodedError = errors.AddressUnreachable(SHARD)
        for _ in range(LEADER_TRIES):
            for node in self._stand.cluster.controls:
                try:
                    await self._one(node)
                except errors.CodedError as exc:
                    failure = exc
                    continue
                return node
            await asyncio.sleep(0.1)
        raise failure

    async def _claim(self, count: int, abreast: int) -> None:
        numbers = iter(range(count))
        await asyncio.gather(*(self._take(numbers) for _ in range(abreast)))

    async def _take(self, numbers: typing.Iterator[int]) -> None:
        for _ in numbers:
            await self._one(self._leader)

    async def _one(self, node: str) -> None:
        address = self._stand.cluster.controls[node]
        ask = claim_request()
        reply = await self._links.request(
            address,
            messages.Request(claim=ask),
            TIMEOUT_SECONDS,
        )
        finish = claim_finish(ask, reply.claim.fence)
        await self._links.request(
            address,
            messages.Request(claim_finish=finish),
            TIMEOUT_SECONDS,
        )


def organisation(number: int) -> dict[str, typing.Any]:
    """Build an organisation as operators write them."""
    return {
        'credentials': [{'name': 'main', 'sha256': f'{number:064x}'}],
        'weight': 2.0,
        'requests_per_second': 50.0,
        'home_region': stand.REGION,
    }


def claim_request() -> messages.ClaimRequest:
    """Build the claim of a fresh key."""
    return messages.ClaimRequest(
        shard=SHARD,
        key=secrets.token_bytes(16),
        claim=secrets.token_bytes(16),
        holder='entry-0',
        keep_ms=claim_times.DEFAULT_TTL_MS,
        deadline_ms=30_000,
        digest=secrets.token_bytes(16),
        handover=messages.Handover(
            target='stock-0',
            address='10.10.10.10:7100',
            incarnation=1_700_000_000_000,
            until_ms=5_000,
        ),
    )


def claim_finish(
    ask: messages.ClaimRequest,
    fence: int,
) -> messages.ClaimFinish:
    """Build the outcome of a claim, with a small answer."""
    return messages.ClaimFinish(
        shard=SHARD,
        key=ask.key,
        claim=ask.claim,
        state=messages.ClaimState.COMPLETE,
        status=200,
        headers=[messages.Header(name='Content-Type', value='text/plain')],
        body=ANSWER,
        fence=fence,
        target='stock-0',
        move=0,
    )


def _cpu(
    name: str,
    costs: list[tuple[float, dict[str, float]]],
    nodes: list[str],
) -> fit.Slope:
    points = []
    for size, spent in costs:
        mean = sum(spent[node] for node in nodes) / len(nodes)
        points.append((size, mean))
    return fit.fit(name, 'us', points, MICRO)
