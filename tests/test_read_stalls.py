"""Test that reading the counts of a large group delays none of its callers."""

from __future__ import annotations

import asyncio

from tamarackthread.control.site.maps import (
    group_state,
    ranks,
    readings,
    switching,
)
from tamarackthread.shared.site import configuration
from tests import policy_case


class LargeGroup(ranks.Ranks):
    """129 ranks with thousands of counts; reading one stalls all for 5 ms."""

    SHAPE = configuration.ExpertLayout(sets=16, experts=258, places=3, spare=2)
    SIZE = 129

    def __init__(self):
        self.current_stall = 0
        self.max_stall = 0

    def group(self):
        """Return the group with the reports of all ranks."""
        members = tuple(
            ranks.Rank(f't{number}', f'a{number}:1')
            for number in range(self.SIZE)
        )
        reports = tuple(
            ranks.RankReport(
                group='g',
                epoch=1,
                rank=number,
                size=self.SIZE,
                is_open=True,
                step=9,
                version=1,
            )
            for number in range(self.SIZE)
        )
        return switching.Group(
            name='g', epoch=1, members=members, reports=reports
        )

    def stall_seconds(self, numbers):
        return numbers * 0.0005 / 400

    async def counts(self, rank, sets):
        await self._stall(self.stall_seconds(16 * 258))
        row = tuple(range(258))
        return ranks.Counts(1, tuple(row for _ in range(sets)))

    async def placement(self, rank):
        await self._stall(self.stall_seconds(16 * 3))
        return 1, tuple((0, 1, 2) for _ in range(16))

    async def report(self, rank):
        """Return nothing."""

    async def order(self, rank, order):
        """Return nothing."""

    async def close(self):
        """Do nothing."""

    async def _stall(self, seconds):
        self.current_stall += seconds
        self.max_stall = max(self.max_stall, self.current_stall)
        await asyncio.sleep(0.02)
        self.current_stall -= seconds


class StallCase(policy_case.PausedCase):
    """Bound the stalls that reading causes.

    A long step and the stalls together must not exceed the callers' maximum
    pause.
    """

    def test_reads_within_slack(self):
        """Concurrent reads stay within the slack of a step."""
        self.run_paused(self._reads_within_slack())

    def test_any_step_time(self):
        """The bound holds for any step time, and one rank is always read."""
        state = group_state.GroupState(LargeGroup.SHAPE, gap=0.15)
        for milliseconds in range(10, 300, 10):
            state.step_seconds = milliseconds / 1000
            count = state.max_parallel_reads(0.005)
            left = max(0.15 - state.step_seconds, 0.03)
            self.assertLessEqual(count * 0.005, max(0.005, left / 4))
            self.assertGreaterEqual(count, 1)

    def test_idle_group(self):
        """An idle group's overestimated step time does not delay its first map."""
        self.run_paused(self._idle_group())

    async def _reads_within_slack(self):
        group = LargeGroup()
        state = group_state.GroupState(group.SHAPE, gap=0.15, step_seconds=0.1)
        await readings.read_placement(group, state, group.group())
        for _ in range(3):
            await readings.read_demand(group, state, group.group())
        self.assertLessEqual(group.max_stall, (0.15 - 0.1) / 4)
        self.assertGreater(group.max_stall, 0)

    async def _idle_group(self):
        group = LargeGroup()
        state = group_state.GroupState(group.SHAPE, gap=0.15, step_seconds=4)
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        await readings.read_placement(group, state, group.group())
        self.assertLess(loop.time() - started_at, 1)
