"""Have one owner even several groups, side by side or one after another.

All groups are asked alike and the experts in demand shift for all of them at the
same moment.  Measured is how long after a shift a group's skew is under 1.5, and for
which part of the time it is, with the copies and switches that it took.  A group that
is not even before the next shift counts with the whole span.

``standing`` mends one group after another by the evenest map, ``side_by_side`` all at
once by the same maps, ``ours`` by maps of as many copies as pay for their time.
"""

from __future__ import annotations

import asyncio
import collections.abc
import statistics
import typing
from unittest import mock

import async_solipsism
import attrs
import numpy

from bench.engines import (
    lockstep,
    lockstep_stream,
    pace,
    several,
    timed_work,
)
from tamarackthread.control.site.maps import group_state, owner
from tamarackthread.shared.site import configuration

EVEN_SKEW = 1.5
SHIFT_SHARE = 0.65
CALLS_A_RANK = 3
EVENTS = 20
PROMPT = 800
SEEDS = (17, 18, 19)
SHIFTS = 8
QUICK_SHIFTS = 3
LOOK_SECONDS = 0.01
WARM_SECONDS = 3.0


@attrs.frozen
class Pattern:
    """Some groups, and how often demand shifts for them, in seconds."""

    name: str
    groups: int
    engine: pace.Engine
    shift: float


@attrs.frozen
class Variant:
    """A way to own the maps of several groups."""

    name: str
    is_side_by_side: bool
    is_staged: bool


def _engine(ranks: int, sets: int, experts: int, copy: float) -> pace.Engine:
    shape = configuration.ExpertLayout(
        sets=sets, experts=experts, places=5, spare=2, copy_seconds=copy
    )
    return pace.Engine(ranks=ranks, slots=10, stride=7, shape=shape)


PATTERNS = (
    Pattern('slow_copies', 3, _engine(24, 16, 96, 0.076), 2.3),
    Pattern('quick_copies', 3, _engine(24, 16, 96, 0.005), 4.0),
    Pattern('one_group', 1, _engine(63, 8, 252, 0.005), 3.5),
)
VARIANTS = (
    Variant('standing', is_side_by_side=False, is_staged=False),
    Variant('side_by_side', is_side_by_side=True, is_staged=False),
    Variant('ours', is_side_by_side=True, is_staged=True),
)


def run(quick: bool) -> dict:
    """Run every pattern with every variant; seeds are the same for all."""
    seeds = SEEDS[:1] if quick else SEEDS
    shifts = QUICK_SHIFTS if quick else SHIFTS
    found: dict[str, dict[str, typing.Any]] = {}
    for pattern in PATTERNS:
        for variant in VARIANTS:
            rows = [play(pattern, variant, seed, shifts) for seed in seeds]
            summed = _summed(rows)
            found.setdefault(pattern.name, {})[variant.name] = summed
            print(f'{pattern.name:13} {variant.name:13} {summed}')
    return {**found, 'seeds': len(seeds), 'shifts': shifts}


def play(
    pattern: Pattern,
    variant: Variant,
    seed: int,
    shifts: int,
) -> dict[str, typing.Any]:
    """Play one pattern with one variant."""
    long = (
        group_state.LONG_COPIES_SECONDS if variant.is_staged else float('inf')
    )
    with (
        mock.patch.object(group_state, 'LONG_COPIES_SECONDS', long),
        asyncio.Runner(loop_factory=async_solipsism.EventLoop) as runner,
    ):
        return runner.run(_Play(pattern, variant, seed).run(shifts))


class _Play:
    """One run: groups that are kept busy, and their owner."""

    def __init__(self, pattern: Pattern, variant: Variant, seed: int) -> None:
        self._pattern = pattern
        self._variant = variant
        self._groups = [
            lockstep.Group(
                pattern.engine, numpy.random.default_rng([seed, number])
            )
            for number in range(pattern.groups)
        ]
        self._asked = several.Several(self._groups)
        self._delays: list[float] = []
        self._even = 0
        self._looks = 0

    async def run(self, shifts: int) -> dict[str, typing.Any]:
        working = [asyncio.create_task(one.run()) for one in self._groups]
        working += [
            asyncio.create_task(self._press(one)) for one in self._groups
        ]
        working.append(asyncio.create_task(self._own()))
        await asyncio.sleep(WARM_SECONDS)
        for _ in range(shifts):
            for group in self._groups:
                group.shift(SHIFT_SHARE)
            await asyncio.gather(*(self._watch(one) for one in self._groups))
        for task in working:
            task.cancel()
        changes = shifts * len(self._groups)
        return {
            'delays': self._delays,
            'even_share': self._even / self._looks,
            'copies': sum(one.copies for one in self._groups) / changes,
            'switches': sum(one.switches for one in self._groups) / changes,
        }

    async def _press(self, group: lockstep.Group) -> None:
        """Keep each rank at so many streams."""
        lines = [
            self._stream_on(group, rank)
            for rank in range(self._pattern.engine.ranks)
            for _ in range(CALLS_A_RANK)
        ]
        await asyncio.gather(*lines)

    async def _stream_on(self, group: lockstep.Group, rank: int) -> None:
        loop = asyncio.get_running_loop()
        while True:
            stream = lockstep_stream.Stream(PROMPT, EVENTS, loop.time())
            group.take(rank, stream)
            await stream.done.wait()

    async def _own(self) -> None:
        """Look and read as the owner does, group by group or side by side."""
        maps = owner.Owner(
            self._asked,
            self._asked.members,
            self._asked.record_pace,
            timed_work.TimedWork(timed_work.PLAN_SECONDS),
        )
        service = configuration.Service(
            name='s', experts=self._pattern.engine.shape
        )
        await maps.discover([service])
        working = [self._look_on(maps, service)]
        if self._variant.is_side_by_side:
            working += [self._work_on(maps, [name]) for name in maps.idle]
        else:
            working.append(self._work_on(maps, maps.idle))
        await asyncio.gather(*working)

    async def _look_on(
        self,
        maps: owner.Owner,
        service: configuration.Service,
    ) -> None:
        while True:
            await asyncio.sleep(owner.DISCOVERY_SECONDS)
            await maps.discover([service])

    async def _work_on(
        self,
        maps: owner.Owner,
        names: collections.abc.Sequence[str],
    ) -> None:
        while True:
            await asyncio.sleep(maps.read_interval)
            for name in names:
                await maps.reconcile(name, 1)

    async def _watch(self, group: lockstep.Group) -> None:
        """Note when a group is even after a shift, and for how long it is."""
        loop = asyncio.get_running_loop()
        shifted_at = loop.time()
        steps = len(group.skews)
        delay = None
        while loop.time() < shifted_at + self._pattern.shift:
            await asyncio.sleep(LOOK_SECONDS)
            self._looks += 1
            is_even = len(group.skews) > steps and group.skews[-1] < EVEN_SKEW
            self._even += is_even
            if is_even and delay is None:
                delay = loop.time() - shifted_at
        self._delays.append(self._pattern.shift if delay is None else delay)


def _summed(rows: list[dict[str, typing.Any]]) -> dict[str, float]:
    delays = sorted(delay for row in rows for delay in row['delays'])
    found = {
        'even_after_p50': statistics.median(delays),
        'even_after_p90': delays[int(0.9 * (len(delays) - 1))],
    }
    for name in ('even_share', 'copies', 'switches'):
        found[name] = statistics.mean(row[name] for row in rows)
    return {field: round(figure, 3) for field, figure in found.items()}
