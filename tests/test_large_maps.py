"""Test maps of large groups: their distribution, and when a new one is made."""

from __future__ import annotations

import asyncio

from tamarackthread.control.site.maps import (
    group_state,
    map_planner,
    ranks,
    switching,
)
from tamarackthread.shared import offload
from tamarackthread.shared.site import configuration
from tests import policy_case, test_read_stalls

# A map of 26 KB on a link of 100 Mbit/s.
MAP_SECONDS = 0.0021


class NarrowLink(test_read_stalls.LargeGroup):
    """Send all orders over one slow link, one after the other."""

    def __init__(self):
        super().__init__()
        self.sent = 0
        self._free_at = 0

    async def order(self, rank, order):
        loop = asyncio.get_running_loop()
        self.sent += 1
        self._free_at = max(loop.time(), self._free_at) + MAP_SECONDS
        seconds = self._free_at - loop.time()
        await asyncio.sleep(min(seconds, order.timeout_seconds))
        if seconds > order.timeout_seconds:
            return ranks.Outcome.UNKNOWN
        return ranks.Outcome.DONE


class InlineOffload(offload.Offload):
    """Run the work without a thread."""

    async def run(self, work, *arguments):
        return work(*arguments)


class PrepareCase(policy_case.PausedCase):
    def test_each_rank_once(self):
        """A large map is sent to each rank once, within the link's capacity."""
        self.run_paused(self._each_rank_once())

    async def _each_rank_once(self):
        group = NarrowLink()
        switcher = switching.Switcher(group, 1)
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        self.assertTrue(await switcher.prepare(group.group(), 2, ()))
        self.assertEqual(group.SIZE, group.sent)
        self.assertLess(loop.time() - started_at, 0.5)


class FullGroupCase(policy_case.PausedCase):
    """Balance a full group although its steps are short.

    Calls queue for slots, so shorter steps let the group serve more of them.
    """

    SHAPE = configuration.ExpertLayout(
        sets=1, experts=4, places=3, spare=2, slots=6
    )

    def test_full_group_needs_balancing(self):
        """A full group needs balancing however short its steps are."""
        self.run_paused(self._full())

    def test_short_steps_of_a_full_group_are_made_shorter(self):
        """A full group gets a map; one with free slots keeps its own."""
        self.run_paused(self._balanced())

    def test_group_with_room_is_left(self):
        """A group with short steps and free slots needs no balancing."""
        state = self._state(calls=1)
        self.assertFalse(state.is_full)
        self.assertFalse(state.needs_balancing(10))

    async def _full(self):
        state = self._state(calls=7)
        self.assertTrue(state.is_full)
        self.assertTrue(state.needs_balancing(0.5))

    async def _balanced(self):
        group = _group(4, calls=7)
        full, roomy = (self._state(calls) for calls in (7, 3))
        planner = map_planner.MapPlanner(InlineOffload())
        for state in (full, roomy):
            state.version = 1
            state.placement = (((0,), (1,), (2,), (3,)),)
            for count in (0, 1, 2):
                row = tuple(count * choices for choices in (90, 10, 12, 8))
                state.demand.add_counts({'t0': ranks.Counts(1, (row,))}, 0)
            state.step_seconds = 0.02
        found = await planner.plan(full, group)
        self.assertGreater(_copies(found), 1)
        self.assertIsNone(await planner.plan(roomy, group))

    def _state(self, calls):
        state = group_state.GroupState(self.SHAPE, gap=0.12, version=1)
        state.step_seconds = 0.03
        state.update(_group(4, calls), 0)
        state.step_seconds = 0.03
        return state


def _copies(placement):
    return sum(len(held) for held in placement[0]) - 4


def _group(size, calls):
    return switching.Group(
        name='g',
        epoch=1,
        members=tuple(
            ranks.Rank(f't{row}', f'a{row}:1') for row in range(size)
        ),
        reports=tuple(
            ranks.RankReport(
                group='g',
                epoch=1,
                rank=number,
                size=size,
                is_open=True,
                step=1,
                version=1,
                running=calls,
            )
            for number in range(size)
        ),
    )
