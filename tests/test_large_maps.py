"""Prove that a map reaches the ranks of a large group, and that it is made."""

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
from tests import policy_case, test_reading_rest

# 26 KB of map over a link of 100 Mbit a second.
MAP_SECONDS = 0.0021


class NarrowLink(test_reading_rest.LargeGroup):
    """Send all orders over one link, one after the other."""

    def __init__(self):
        super().__init__()
        self.sent = 0
        self._free_at = 0

    async def order(self, rank, asked):
        loop = asyncio.get_running_loop()
        self.sent += 1
        self._free_at = max(loop.time(), self._free_at) + MAP_SECONDS
        takes = self._free_at - loop.time()
        await asyncio.sleep(min(takes, asked.timeout_seconds))
        if takes > asked.timeout_seconds:
            return ranks.Outcome.UNKNOWN
        return ranks.Outcome.DONE


class AtOnce(offload.Offload):
    """Do the work at once."""

    async def run(self, work, *arguments):
        return work(*arguments)


class PrepareCase(policy_case.PausedCase):
    def test_each_rank_once(self):
        """A group of 129 ranks waits two seconds for a map of 26 KB each.

        Sent to all at once it fills the owner's link for longer than an answer
        is waited for; what was on its way is sent again behind it, and with it
        everything else that the owner has to say.
        """
        self.run_paused(self._each_rank_once())

    async def _each_rank_once(self):
        group = NarrowLink()
        switcher = switching.Switcher(group, 1)
        loop = asyncio.get_running_loop()
        began = loop.time()
        self.assertTrue(await switcher.prepare(group.group(), 2, ()))
        self.assertEqual(group.SIZE, group.sent)
        self.assertLess(loop.time() - began, 0.5)


class PressedCase(policy_case.PausedCase):
    """Answer the load in which calls wait although steps are short.

    The pattern: demand has shifted, one rank takes three times the mean, and
    the group has more calls than places.  Steps are under the time that any
    stream's caller would feel, but each call waits for a place as long as
    others last; evener ranks would serve half as many calls again.
    """

    SHAPE = configuration.Experts(sets=1, experts=4, places=3, spare=2, slots=6)

    def test_full_group_is_pressed(self):
        """Its owner goes on with its maps, however short the steps are."""
        self.run_paused(self._pressed())

    def test_short_steps_of_a_full_group_are_made_shorter(self):
        """It gets a map where a group with room is left as it is.

        At 20 ms a step no caller would feel the difference, but each of the
        calls that wait for a place would.
        """
        self.run_paused(self._evened())

    def test_group_with_room_is_left(self):
        """Short steps of a group with free places delay nobody."""
        known = self._known(calls=1)
        self.assertFalse(known.is_full)
        self.assertFalse(known.needs_balancing(10))

    async def _pressed(self):
        known = self._known(calls=7)
        self.assertTrue(known.is_full)
        self.assertTrue(known.needs_balancing(0.5))

    async def _evened(self):
        group = _group(4, calls=7)
        full, roomy = (self._known(calls) for calls in (7, 3))
        decider = map_planner.MapPlanner(AtOnce())
        for known in (full, roomy):
            known.version = 1
            known.placement = (((0,), (1,), (2,), (3,)),)
            for count in (0, 1, 2):
                row = tuple(count * choices for choices in (90, 10, 12, 8))
                known.demand.add_counts({'t0': ranks.Counts(1, (row,))}, 0)
            known.step_seconds = 0.02
        found = await decider.plan(full, group)
        self.assertGreater(_copies(found), 1)
        self.assertIsNone(await decider.plan(roomy, group))

    def _known(self, calls):
        known = group_state.GroupState(self.SHAPE, gap=0.12, version=1)
        known.step_seconds = 0.03
        known.update(_group(4, calls), 0)
        known.step_seconds = 0.03
        return known


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
