"""Prove that groups of one service do not wait for each other."""

import asyncio
import itertools
import logging
import random
import unittest

import attrs

from bench.engines import several
from bench.experiments import groups
from tamarackthread.control.site.maps import (
    demand,
    group_maps,
    group_state,
    map_planner,
    owner_loop,
    ranks,
)
from tamarackthread.policy import group_planning, rebalancing
from tamarackthread.shared.site import configuration
from tests import policy_case, test_site_maps

SEED = 11
GROUPS = 3
RANKS = 24
EXPERTS = 96
SETS = 4
PLACES = 5
SPARE = 2
COPY_SECONDS = 0.09
SWITCH_SECONDS = 0.3
# Between two shifts of demand.
SHIFT_SECONDS = 2.3
SHARED = configuration.Experts(
    sets=SETS,
    experts=EXPERTS,
    places=PLACES,
    spare=SPARE,
    copy_seconds=COPY_SECONDS,
)


def groups_of_ranks():
    """Build several groups whose ranks one owner asks and orders."""
    return several.Several(
        [
            test_site_maps.FakeGroup(random.Random(number))
            for number in range(GROUPS)
        ]
    )


class Told(test_site_maps.NoNews):
    """Hold the groups that an owner has told of."""

    def record_groups(self, term, rows):
        self.rows = rows


class SideBySideCase(policy_case.PausedCase):
    def setUp(self):
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)

    def test_silent_group(self):
        """Callers of two groups wait while a third one's orders get lost.

        All orders to a rank of the first group get no answer, so its switch
        takes seconds.  Demand of the others shifts meanwhile, and each must
        have a map for it soon.
        """
        self.run_paused(self._silent())

    def test_held_groups(self):
        """An owner is lost with all three groups held.

        The next one lets them go side by side: each takes half a second.
        """
        self.run_paused(self._held())

    async def _silent(self):
        asked = groups_of_ranks()
        tasks = self._begin(asked)
        await asyncio.sleep(3)
        broken, *others = asked.groups
        before = [group.rows[0].version for group in others]
        broken.lost = 1
        for group in asked.groups:
            group.favour(5)
        await asyncio.sleep(2)
        for group, version in zip(others, before, strict=True):
            self.assertGreater(group.rows[0].version, version)
        await self._end(asked, tasks)

    async def _held(self):
        asked = groups_of_ranks()
        steps = [asyncio.create_task(one.run()) for one in asked.groups]
        await asyncio.sleep(1)
        before = [one.step for one in asked.groups]
        for held in asked.groups:
            held.rows[0].held = held.step + 1
        owning = asyncio.create_task(self._duty(asked).run())
        await asyncio.sleep(1.2)
        for group, step in zip(asked.groups, before, strict=True):
            self.assertGreater(group.step, step)
        await self._end(asked, [*steps, owning])

    def _begin(self, asked):
        work = [group.run() for group in asked.groups]
        work.append(self._duty(asked).run())
        return [asyncio.create_task(one) for one in work]

    def _duty(self, asked):
        return owner_loop.OwnerLoop(
            test_site_maps.Leading(),
            Told(),
            test_site_maps.OneService(),
            test_site_maps.owner_of(asked),
            outlives_lease=True,
        )

    async def _end(self, asked, tasks):
        for task in tasks:
            task.cancel()
        await asked.close()
        for group in asked.groups:
            self.assertEqual([], group.mixed)


def uneven():
    """Build map 0 and a demand in which some experts take most tokens."""
    generator = random.Random(SEED)
    held = tuple(tuple(range(rank, EXPERTS, RANKS)) for rank in range(RANKS))
    tokens = []
    for _ in range(SETS):
        row = [1000 / (place + 1) for place in range(EXPERTS)]
        generator.shuffle(row)
        tokens.append(row)
    return tuple(held for _ in range(SETS)), tokens


class StageCase(unittest.TestCase):
    """Answer the load in which demand changes before its map is copied."""

    def setUp(self):
        held, tokens = uneven()
        self.current = held
        self.tokens = tokens
        self.bounds = rebalancing.Bounds(PLACES, SPARE)

    def test_short_while(self):
        """Callers lose less by few copies at once than by the evenest map."""
        cost = group_planning.MapCost(
            copy_seconds=COPY_SECONDS,
            switch_seconds=SWITCH_SECONDS,
            stable_seconds=SHIFT_SECONDS / 2,
        )
        before = group_maps.skew(self.current, self.tokens, ())
        evenest = group_maps.plan(self.current, self.tokens, self.bounds, ())
        staged = self.plan(cost)
        self.assertLess(
            self.lost(cost, before, staged), self.lost(cost, before, evenest)
        )
        self.assertLess(
            self.lost(cost, before, staged),
            cost.relative_step_time(before, before, 0),
        )

    def test_time_enough(self):
        """Demand that stays is worth the evenest map."""
        cost = group_planning.MapCost(
            copy_seconds=COPY_SECONDS, switch_seconds=0, stable_seconds=1000
        )
        evenest = group_maps.plan(self.current, self.tokens, self.bounds, ())
        self.assertAlmostEqual(
            group_maps.skew(evenest, self.tokens, ()),
            group_maps.skew(self.plan(cost), self.tokens, ()),
            delta=0.05,
        )

    def test_no_time(self):
        """No copy is made for demand that is over before it is there."""
        cost = group_planning.MapCost(
            copy_seconds=COPY_SECONDS,
            switch_seconds=SWITCH_SECONDS,
            stable_seconds=SWITCH_SECONDS,
        )
        self.assertEqual(self.current, self.plan(cost))

    def test_bound_of_a_rank(self):
        """No rank copies more than the bound, however many sets there are."""
        stages = group_planning.StagedRebalancer(
            self.current, self.tokens, self.bounds
        )
        for most in (1, 2):
            stages.improve(most)
            self.assertEqual(
                most, group_maps.max_copies(self.current, stages.result)
            )
            self.assertEqual(most, stages.max_copies)

    def plan(self, cost):
        return group_planning.plan(
            self.current, self.tokens, self.bounds, (), cost
        )

    def lost(self, cost, before, wanted):
        return cost.relative_step_time(
            before,
            group_maps.skew(wanted, self.tokens, ()),
            group_maps.max_copies(self.current, wanted),
        )


class SpanCase(unittest.TestCase):
    def test_how_long_demand_lasts(self):
        """What is left of a demand follows from how long earlier ones stayed."""
        known = demand.Demand()
        counts = [0, 0, 0, 0]
        for reading in range(60):
            now = reading / 10
            counts[int(now / SHIFT_SECONDS) % 4] += 50
            known.add_counts({'t': ranks.Counts(1, (tuple(counts),))}, now)
        shifted_at = 2 * SHIFT_SECONDS
        self.assertAlmostEqual(
            SHIFT_SECONDS - 1,
            known.remaining_seconds(shifted_at + 1),
            delta=0.2,
        )
        self.assertGreater(known.remaining_seconds(shifted_at + 10), 0)


class MixedCase(policy_case.PausedCase):
    def test_reading_of_two_demands(self):
        """No map whose copies take long is made from two demands at once.

        The first reading after a shift holds choices from before it.  Ranks
        that copy for it can't take the map that is needed for a second.
        """
        self.run_paused(self._mixed())

    async def _mixed(self):
        decider = map_planner.MapPlanner(test_site_maps.timed_work.TimedWork(0))
        group = _group()
        for shape in (SHARED, attrs.evolve(SHARED, copy_seconds=0.001)):
            known = group_state.GroupState(shape, version=1)
            held, tokens = uneven()
            known.placement = held
            known.step_seconds = 0.2
            counts = tokens
            for now, more in enumerate(
                (tokens, tokens, tuple(reversed(tokens)))
            ):
                counts = _added(counts, more)
                known.demand.add_counts({'t0': ranks.Counts(1, counts)}, now)
            self.assertTrue(known.demand.is_mixed)
            wanted = await decider.plan(known, group)
            self.assertEqual(shape is SHARED, wanted is None)


def _added(counts, more):
    return tuple(
        tuple(int(old + new) for old, new in zip(olds, news, strict=True))
        for olds, news in zip(counts, more, strict=True)
    )


def _group():
    return test_site_maps.switching.Group(
        name='g',
        epoch=1,
        members=tuple(
            ranks.Rank(f't{number}', f'a{number}') for number in range(RANKS)
        ),
        reports=tuple(
            ranks.RankReport(
                group='g',
                epoch=1,
                rank=number,
                size=RANKS,
                is_open=True,
                step=9,
                version=1,
            )
            for number in range(RANKS)
        ),
    )


class ShiftsCase(unittest.TestCase):
    def test_slow_copies(self):
        """Demand shifts for three groups before the evenest maps are copied.

        Mended one after another, groups are even for a small part of the time;
        side by side and by few copies first, for the larger part.
        """
        pattern = groups.PATTERNS[0]
        standing, _, ours = (
            groups.play(pattern, variant, SEED, groups.QUICK_SHIFTS)
            for variant in groups.VARIANTS
        )
        self.assertGreater(ours['even_share'], 2 * standing['even_share'])


class PaceCase(policy_case.PausedCase):
    def test_pause_between_readings(self):
        """A group is read anew no sooner than a reading's pace after its switch.

        Begun by a clock that goes on while a group is switched, the next reading
        came right after it and brought switches that nobody needed.
        """
        self.run_paused(self._paused())

    async def _paused(self):
        maps = Slow()
        working = owner_loop.OwnerLoop(
            test_site_maps.Leading(),
            Told(),
            test_site_maps.OneService(),
            maps,
            outlives_lease=True,
        )
        owning = asyncio.create_task(working.run())
        await asyncio.sleep(5)
        owning.cancel()
        self.assertGreater(len(maps.worked), 3)
        pauses = [
            later[0] - earlier[1]
            for earlier, later in itertools.pairwise(maps.worked)
        ]
        self.assertGreaterEqual(min(pauses), maps.read_interval)


class Slow:
    """An owner whose work takes longer than the pace of its readings."""

    read_interval = 0.2
    discovery_interval = 1.0
    is_outdated = False
    groups = ()
    idle = ('g',)

    def __init__(self):
        self.worked = []

    def reset(self):
        """Forget nothing."""

    async def discover(self, services):
        """Find nothing new."""

    async def reconcile(self, name, term):
        began = asyncio.get_running_loop().time()
        await asyncio.sleep(0.55)
        self.worked.append((began, asyncio.get_running_loop().time()))
