"""Press one group of ranks by callers, entries and the owner of its maps."""

from __future__ import annotations

import asyncio
import random
import statistics

import numpy

from bench.engines import (
    call_bounds,
    lockstep,
    lockstep_patterns,
    lockstep_stream,
    timed_work,
)
from tamarackthread.control.site import loads
from tamarackthread.control.site.maps import group_maps, owner
from tamarackthread.entry.direct import (
    admission_control,
    calls,
    failures,
    instances,
    load_exchange,
    targets,
)
from tamarackthread.generated.messages import ttypes as messages
from tamarackthread.policy import rebalancing
from tamarackthread.shared import stop_deadline
from tamarackthread.shared.site import announcements, configuration

SHIFT_SHARE = 0.65
SERVICE = 's'
# From an entry to a control host and back.
EXCHANGE_SECONDS = 0.003
# Callers of streams wait so long for the whole answer.
TIMEOUT_SECONDS = 8.0


def _hosts() -> tuple[str, ...]:
    return ('host',)


class _Links:
    """One entry's link to the host that sums all calls."""

    def __init__(self, entry: str, summed: loads.Loads) -> None:
        self._entry = entry
        self._summed = summed

    async def request(
        self,
        address: str,
        asked: messages.Request,
        seconds: float,
    ) -> messages.Reply:
        """Answer as a control host does."""
        await asyncio.sleep(EXCHANGE_SECONDS)
        reply = self._summed.answer(self._entry, asked.site_load)
        return messages.Reply(site_load=reply)


class Day:
    """One run: a group, its entries, its owner and its callers."""

    def __init__(
        self,
        pattern: lockstep_patterns.Pattern,
        variant: lockstep_patterns.Variant,
        seed: int,
    ) -> None:
        self._pattern = pattern
        self._variant = variant
        self._random = random.Random(seed)
        self._site = pattern.site
        self._engine = pattern.site.engine
        self._group = lockstep.Group(
            self._engine, numpy.random.default_rng(seed)
        )
        self._streams: list[lockstep_stream.Stream] = []
        self._calls: set[asyncio.Task[None]] = set()
        self._refused = 0
        self._turn = 0

    async def run(self, seconds: float) -> dict[str, float]:
        """Play for so long and return what callers and ranks saw."""
        self._entries = [self._entry() for _ in range(self._site.entries)]
        if self._pattern.pace != 1:
            self._group.slow(5, self._pattern.pace)
            for entry in self._entries:
                entry.set_paces('owner', {'5': self._pattern.pace})
        working = [
            asyncio.create_task(self._group.run()),
            asyncio.create_task(self._shift()),
        ]
        self._lines = [self._line(known) for known in self._entries]
        if self._variant.shares:
            working.extend(self._exchanging())
        if self._variant.maps == 'ours':
            working.append(asyncio.create_task(self._own()))
        await self._press(seconds)
        await asyncio.wait(self._calls)
        for task in working:
            task.cancel()
        return self._figures()

    def _exchanging(self) -> list[asyncio.Task[None]]:
        summed = loads.Loads(1)
        names = [str(number) for number in range(self._site.entries)]
        tasks = []
        for name, known, line in zip(
            names, self._entries, self._lines, strict=True
        ):
            links = _Links(name, summed)
            shared = load_exchange.LoadExchange(
                known, links, _hosts, names.copy, line.refill
            )
            tasks.append(asyncio.create_task(shared.run()))
        return tasks

    def _entry(self) -> targets.Targets:
        known = targets.Targets('z', 1.0, self._random)
        for rank in range(self._engine.ranks):
            known.take(
                announcements.Announcement(
                    target=str(rank),
                    service=SERVICE,
                    address='127.0.0.1:1',
                    zone='z',
                    slots=self._engine.slots,
                )
            )
        return known

    def _line(self, known: targets.Targets) -> admission_control.AdmissionQueue:
        bound = self._variant.bound or call_bounds.Unbounded
        empty = self._engine.stride * self._engine.step
        return admission_control.AdmissionQueue(
            SERVICE,
            bound(self._site.gap, empty),
            known,
            lambda: self._site.entries,
            stop_deadline.StopDeadline(),
        )

    async def _press(self, seconds: float) -> None:
        loop = asyncio.get_running_loop()
        until = loop.time() + seconds
        rate = self._pattern.load * self._site.capacity
        while loop.time() < until:
            await asyncio.sleep(self._random.expovariate(rate))
            call = asyncio.create_task(self._call())
            self._calls.add(call)

    async def _call(self) -> None:
        stream = lockstep_stream.Stream(
            prompt=1 + int(self._random.expovariate(1 / self._site.prompt)),
            events=1 + int(self._random.expovariate(1 / self._site.events)),
            arrived=asyncio.get_running_loop().time(),
        )
        self._streams.append(stream)
        number = self._random.randrange(len(self._entries))
        known, line = self._entries[number], self._lines[number]
        stream.on_pause = line.note_gap
        try:
            await line.admit(self._asked(stream))
        except failures.NoRoomInTime:
            self._refused += 1
            return
        tried: list[str] = []
        for _ in range(2):
            target = self._choose(known, tried)
            tried.append(target.name)
            if self._group.take(int(target.name), stream):
                target.own_calls += 1
                await stream.done.wait()
                target.own_calls -= 1
                line.record_answer(stream.last_at - stream.arrived)
                line.release()
                return
        self._refused += 1

    def _asked(self, stream: lockstep_stream.Stream) -> calls.Call:
        route = configuration.Route(
            name='r',
            host='h',
            prefix='/',
            kind=configuration.RouteKind.STREAM,
            shares=(configuration.TrafficShare(SERVICE, 1),),
            timeout=TIMEOUT_SECONDS,
            latency_goal=self._site.first,
        )
        return calls.Call(
            request=calls.CallRequest(
                call_id='', method='POST', host='h', path='/', headers=()
            ),
            body=b'',
            route=route,
            service=SERVICE,
            organisation='',
            arrived_at=stream.arrived,
            deadline=stream.arrived + route.timeout,
        )

    def _choose(
        self,
        known: targets.Targets,
        tried: list[str],
    ) -> instances.TargetInstance:
        if self._variant.route == 'ours':
            found = known.choose(SERVICE, tried)
            assert found is not None
            return found
        free = [
            target
            for target in known.of_service(SERVICE)
            if target.name not in tried
        ]
        if self._variant.route == 'round_robin':
            self._turn += 1
            return free[self._turn % len(free)]
        return min(free, key=lambda one: (one.own_calls, self._random.random()))

    async def _shift(self) -> None:
        while True:
            if self._variant.maps == 'oracle':
                self._group.put(self._even_map())
            await asyncio.sleep(self._site.shift)
            self._group.shift(SHIFT_SHARE)

    def _even_map(self) -> tuple:
        shape = self._engine.shape
        paces = [1.0 for _ in range(self._engine.ranks)]
        paces[5] = self._pattern.pace
        return group_maps.plan(
            self._group.placement_in_force,
            self._group.demand.tolist(),
            rebalancing.Bounds(shape.placements, shape.placements),
            paces,
        )

    async def _own(self) -> None:
        maps = owner.Owner(
            self._group,
            self._group.members,
            self._group.record_pace,
            timed_work.TimedWork(timed_work.PLAN_SECONDS),
        )
        service = configuration.Service(
            name=SERVICE, experts=self._engine.shape, gap=self._site.gap
        )
        loop = asyncio.get_running_loop()
        lost_at = self._pattern.lost_at
        while True:
            if 0 <= loop.time() - lost_at < self._pattern.lost_seconds:
                await asyncio.sleep(self._pattern.lost_seconds)
            await maps.discover_and_release([service], 1)
            until = loop.time() + owner.DISCOVERY_SECONDS
            while loop.time() < until:
                await asyncio.sleep(owner.READ_SECONDS)
                await maps.reconcile_all(1)

    def _figures(self) -> dict[str, float]:
        served = [stream for stream in self._streams if stream.done.is_set()]
        on_time = [one for one in served if _is_on_time(one, self._site)]
        asked = max(1, len(self._streams))
        return {
            'on_time_share': len(on_time) / asked,
            'late_share': (len(served) - len(on_time)) / asked,
            'refused_share': self._refused / asked,
            'skew_mean': statistics.mean(self._group.skews),
            'first_p50_ms': 1000
            * statistics.median(one.first_at - one.arrived for one in served),
            'pass_p50_ms': 1000 * statistics.median(self._group.passes),
            'pass_p95_ms': 1000
            * statistics.quantiles(self._group.passes, n=20)[-1],
            'pause_p50_ms': 1000
            * statistics.median(one.longest_gap for one in served),
            'switches': self._group.switches,
            'copies': self._group.copies,
        }


def _is_on_time(
    stream: lockstep_stream.Stream, site: lockstep_patterns.Site
) -> bool:
    first = stream.first_at - stream.arrived
    return first <= site.first and stream.longest_gap <= site.gap
