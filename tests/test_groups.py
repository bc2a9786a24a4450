"""Test that groups of one service are balanced independently."""

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
# Interval between shifts of demand.
SHIFT_SECONDS = 2.3
SHARED = configuration.ExpertLayout(
    sets=SETS,
    experts=EXPERTS,
    places=PLACES,
    spare=SPARE,
    copy_seconds=COPY_SECONDS,
)


def groups_of_ranks():
    """Build several groups with the same owner."""
    return several.Several(
        [
            test_site_maps.FakeGroup(random.Random(number))
            for number in range(GROUPS)
        ]
    )


class GroupRecorder(test_site_maps.EmptyRegistry):
    """Record the groups reported by an owner."""

    def record_groups(self, term, rows):
        self.rows = rows


class SideBySideCase(policy_case.PausedCase):
    def setUp(self):
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)

    def test_silent_group(self):
        """A group with a silent rank does not delay the maps of the others."""
        self.run_paused(self._silent())

    def test_held_groups(self):
        """A new owner releases all held groups concurrently."""
        self.run_paused(self._held())

    async def _silent(self):
        rank_groups = groups_of_ranks()
        tasks = self._begin(rank_groups)
        await asyncio.sleep(3)
        silent_group, *others = rank_groups.groups
        before = [group.rows[0].version for group in others]
        silent_group.loss_rate = 1
        for group in rank_groups.groups:
            group.set_favourite(5)
        await asyncio.sleep(2)
        for group, version in zip(others, before, strict=True):
            self.assertGreater(group.rows[0].version, version)
        await self._end(rank_groups, tasks)

    async def _held(self):
        rank_groups = groups_of_ranks()
        steps = [asyncio.create_task(one.run()) for one in rank_groups.groups]
        await asyncio.sleep(1)
        before = [one.step for one in rank_groups.groups]
        for held in rank_groups.groups:
            held.rows[0].held = held.step + 1
        owner_task = asyncio.create_task(self._owner_loop(rank_groups).run())
        await asyncio.sleep(1.2)
        for group, step in zip(rank_groups.groups, before, strict=True):
            self.assertGreater(group.step, step)
        await self._end(rank_groups, [*steps, owner_task])

    def _begin(self, rank_groups):
        work = [group.run() for group in rank_groups.groups]
        work.append(self._owner_loop(rank_groups).run())
        return [asyncio.create_task(one) for one in work]

    def _owner_loop(self, rank_groups):
        return owner_loop.OwnerLoop(
            test_site_maps.FormerLeader(),
            GroupRecorder(),
            test_site_maps.OneServiceDirectory(),
            test_site_maps.owner_of(rank_groups),
            outlives_lease=True,
        )

    async def _end(self, rank_groups, tasks):
        for task in tasks:
            task.cancel()
        await rank_groups.close()
        for group in rank_groups.groups:
            self.assertEqual([], group.mixed_steps)


def uneven_demand():
    """Build the initial map and an uneven demand."""
    generator = random.Random(SEED)
    held = tuple(tuple(range(rank, EXPERTS, RANKS)) for rank in range(RANKS))
    tokens = []
    for _ in range(SETS):
        row = [1000 / (place + 1) for place in range(EXPERTS)]
        generator.shuffle(row)
        tokens.append(row)
    return tuple(held for _ in range(SETS)), tokens


class CopyTimeCase(unittest.TestCase):
    """Plan maps for demand that may change before the copies are done."""

    def setUp(self):
        held, tokens = uneven_demand()
        self.current = held
        self.tokens = tokens
        self.bounds = rebalancing.Bounds(PLACES, SPARE)

    def test_short_lived_demand(self):
        """For short-lived demand a few copies cost callers less time."""
        cost = group_planning.MapCost(
            copy_seconds=COPY_SECONDS,
            switch_seconds=SWITCH_SECONDS,
            stable_seconds=SHIFT_SECONDS / 2,
        )
        before = group_maps.skew(self.current, self.tokens, ())
        balanced = group_maps.plan(self.current, self.tokens, self.bounds, ())
        staged = self.plan(cost)
        self.assertLess(
            self.lost(cost, before, staged), self.lost(cost, before, balanced)
        )
        self.assertLess(
            self.lost(cost, before, staged),
            cost.relative_step_time(before, before, 0),
        )

    def test_lasting_demand(self):
        """For lasting demand the map is as even as possible."""
        cost = group_planning.MapCost(
            copy_seconds=COPY_SECONDS, switch_seconds=0, stable_seconds=1000
        )
        balanced = group_maps.plan(self.current, self.tokens, self.bounds, ())
        self.assertAlmostEqual(
            group_maps.skew(balanced, self.tokens, ()),
            group_maps.skew(self.plan(cost), self.tokens, ()),
            delta=0.05,
        )

    def test_demand_too_short(self):
        """No copies are planned for demand that ends before they are done."""
        cost = group_planning.MapCost(
            copy_seconds=COPY_SECONDS,
            switch_seconds=SWITCH_SECONDS,
            stable_seconds=SWITCH_SECONDS,
        )
        self.assertEqual(self.current, self.plan(cost))

    def test_copies_per_rank(self):
        """No rank copies more than the bound over all sets."""
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

    def lost(self, cost, before, new_map):
        return cost.relative_step_time(
            before,
            group_maps.skew(new_map, self.tokens, ()),
            group_maps.max_copies(self.current, new_map),
        )


class DurationCase(unittest.TestCase):
    def test_how_long_demand_lasts(self):
        """The expected remainder follows from the duration of earlier demands."""
        state = demand.Demand()
        counts = [0, 0, 0, 0]
        for reading in range(60):
            now = reading / 10
            counts[int(now / SHIFT_SECONDS) % 4] += 50
            state.add_counts({'t': ranks.Counts(1, (tuple(counts),))}, now)
        shifted_at = 2 * SHIFT_SECONDS
        self.assertAlmostEqual(
            SHIFT_SECONDS - 1,
            state.remaining_seconds(shifted_at + 1),
            delta=0.2,
        )
        self.assertGreater(state.remaining_seconds(shifted_at + 10), 0)


class MixedReadingCase(policy_case.PausedCase):
    def test_reading_of_two_demands(self):
        """No map with long copies is planned from a mix of two demands.

        The first reading after a shift includes choices from before it.
        """
        self.run_paused(self._mixed())

    async def _mixed(self):
        planner = map_planner.MapPlanner(test_site_maps.timed_work.TimedWork(0))
        group = _group()
        for shape in (SHARED, attrs.evolve(SHARED, copy_seconds=0.001)):
            state = group_state.GroupState(shape, version=1)
            held, tokens = uneven_demand()
            state.placement = held
            state.step_seconds = 0.2
            counts = tokens
            for now, more in enumerate(
                (tokens, tokens, tuple(reversed(tokens)))
            ):
                counts = _added(counts, more)
                state.demand.add_counts({'t0': ranks.Counts(1, counts)}, now)
            self.assertTrue(state.demand.is_mixed)
            new_map = await planner.plan(state, group)
            self.assertEqual(shape is SHARED, new_map is None)


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


class ShiftCase(unittest.TestCase):
    def test_slow_copies(self):
        """Planning by copy time keeps groups even for longer after shifts."""
        pattern = groups.PATTERNS[0]
        standing, _, ours = (
            groups.play(pattern, variant, SEED, groups.QUICK_SHIFTS)
            for variant in groups.VARIANTS
        )
        self.assertGreater(ours['even_share'], 2 * standing['even_share'])


class ReadIntervalCase(policy_case.PausedCase):
    def test_pause_between_readings(self):
        """Counts are not read again too soon after a switch.

        They would include choices from before it and cause needless switches.
        """
        self.run_paused(self._paused())

    async def _paused(self):
        slow_owner = SlowOwner()
        working = owner_loop.OwnerLoop(
            test_site_maps.FormerLeader(),
            GroupRecorder(),
            test_site_maps.OneServiceDirectory(),
            slow_owner,
            outlives_lease=True,
        )
        owner_task = asyncio.create_task(working.run())
        await asyncio.sleep(5)
        owner_task.cancel()
        self.assertGreater(len(slow_owner.worked), 3)
        pauses = [
            later[0] - earlier[1]
            for earlier, later in itertools.pairwise(slow_owner.worked)
        ]
        self.assertGreaterEqual(min(pauses), slow_owner.read_interval)


class SlowOwner:
    """Fake owner whose reconciliation takes longer than its read interval."""

    read_interval = 0.2
    discovery_interval = 1.0
    is_outdated = False
    groups = ()
    idle = ('g',)

    def __init__(self):
        self.worked = []

    def reset(self):
        """Do nothing."""

    async def discover(self, services):
        """Do nothing."""

    async def reconcile(self, name, term):
        began = asyncio.get_running_loop().time()
        await asyncio.sleep(0.55)
        self.worked.append((began, asyncio.get_running_loop().time()))
