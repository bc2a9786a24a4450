"""Prove that reading the counts of a large group delays none of its callers."""

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
    """Be 129 ranks of which each has thousands of counts.

    The pattern: a large group whose steps take 0.1 s and whose callers take a
    pause of 0.15 s; to read one rank from afar rests all for 5 ms.
    """

    SHAPE = configuration.Experts(sets=16, experts=258, places=3, spare=2)
    SIZE = 129

    def __init__(self):
        self.at_once = 0
        self.most_rest = 0

    def group(self):
        """Return the group as a look would find it."""
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
        await self._rest(self.stall_seconds(16 * 258))
        row = tuple(range(258))
        return ranks.Counts(1, tuple(row for _ in range(sets)))

    async def placement(self, rank):
        await self._rest(self.stall_seconds(16 * 3))
        return 1, tuple((0, 1, 2) for _ in range(16))

    async def report(self, rank):
        """Tell nothing."""

    async def order(self, rank, asked):
        """Take nothing."""

    async def close(self):
        """Close nothing."""

    async def _rest(self, seconds):
        self.at_once += seconds
        self.most_rest = max(self.most_rest, self.at_once)
        await asyncio.sleep(0.02)
        self.at_once -= seconds


class RestCase(policy_case.PausedCase):
    """Callers of a group never wait for its owner's reading.

    Eleven ranks that are read at once rest a large group for 57 ms; on top of
    a step of 0.1 s every one of its streams pauses for longer than its caller
    takes, and all of them are late.
    """

    def test_read_from_afar(self):
        """What is left between a step and the pause bounds what is read."""
        self.run_paused(self._read_from_afar())

    def test_any_size(self):
        """The bound holds for any steps; one rank is always read."""
        known = group_state.GroupState(LargeGroup.SHAPE, gap=0.15)
        for milliseconds in range(10, 300, 10):
            known.step_seconds = milliseconds / 1000
            count = known.max_parallel_reads(0.005)
            left = max(0.15 - known.step_seconds, 0.03)
            self.assertLessEqual(count * 0.005, max(0.005, left / 4))
            self.assertGreaterEqual(count, 1)

    def test_idle_group(self):
        """A group that was idle seems to make steps of seconds.

        Its first map waits for the reading of what each rank holds, which
        must not wait for such a step between two ranks.
        """
        self.run_paused(self._idle_group())

    async def _read_from_afar(self):
        group = LargeGroup()
        known = group_state.GroupState(group.SHAPE, gap=0.15, step_seconds=0.1)
        await readings.read_placement(group, known, group.group())
        for _ in range(3):
            await readings.read_demand(group, known, group.group())
        self.assertLessEqual(group.most_rest, (0.15 - 0.1) / 4)
        self.assertGreater(group.most_rest, 0)

    async def _idle_group(self):
        group = LargeGroup()
        known = group_state.GroupState(group.SHAPE, gap=0.15, step_seconds=4)
        loop = asyncio.get_running_loop()
        began = loop.time()
        await readings.read_placement(group, known, group.group())
        self.assertLess(loop.time() - began, 1)
