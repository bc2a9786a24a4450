"""Test that a new owner and lost responses stall a group only briefly."""

from __future__ import annotations

import asyncio
import collections
import logging
import random
import statistics

from tamarackthread.control.site.maps import (
    demand,
    owner_loop,
    ranks,
    switching,
)
from tests import policy_case, test_site_maps

# Maximum time until the group steps again: the lag of reports, the orders and one
# more discovery.
MAX_STALL_SECONDS = 1.0
RANKS = 12
LOSS_RATE = 0.5


class CountedGroup(test_site_maps.FakeGroup):
    """Count the orders by operation and rank."""

    def __init__(self, generator):
        super().__init__(generator)
        self.orders = collections.Counter()

    async def order(self, rank, order):
        self.orders[order.operation, rank.address] += 1
        return await super().order(rank, order)


class LossyRanks(test_site_maps.FakeGroup):
    """Lose a share of the responses; the orders are carried out."""

    def __init__(self, generator, loss_rate):
        super().__init__(generator)
        self.loss_rate = loss_rate

    async def order(self, rank, order):
        if self.random.random() < self.loss_rate:
            await asyncio.sleep(order.timeout_seconds)
            return ranks.Outcome.UNKNOWN
        await asyncio.sleep(0.003)
        return ranks.Outcome.DONE


class LostPrepareRanks(test_site_maps.FakeGroup):
    """Lose the response to one rank's first map."""

    def __init__(self, generator, *, takes):
        super().__init__(generator)
        self.takes = takes
        self.copies = 0

    async def order(self, rank, order):
        if rank.address != 'a2' or order.operation != ranks.PREPARE:
            return await super().order(rank, order)
        self.copies += 1
        if self.copies > 1:
            return ranks.Outcome.REFUSED
        if self.takes:
            await super().order(rank, order)
        return ranks.Outcome.UNKNOWN


class NewOwnerCase(policy_case.PausedCase):
    def setUp(self):
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)

    def test_hold_is_found_soon(self):
        """A new owner finds a held group although the first reports are older."""
        self.run_paused(self._found_soon())

    def test_hold_is_released_once(self):
        """Late reports of a hold do not make the owner hold the group again."""
        self.run_paused(self._released_once())

    def test_prepare_waits_for_the_step(self):
        """Only one rank is polled while the ranks are armed for another switch."""
        self.run_paused(self._prepared())

    def test_lost_answers(self):
        """Lost responses are retried soon enough to keep a hold short."""
        self.run_paused(self._lost())

    def test_lost_answer_to_a_map(self):
        """A rank whose response was lost counts as prepared by its report."""
        self.run_paused(self._lost_map(takes=True))

    def test_lost_map(self):
        """A rank that refuses a map it does not have is not prepared."""
        self.run_paused(self._lost_map(takes=False))

    async def _lost_map(self, *, takes):
        group = LostPrepareRanks(random.Random(1), takes=takes)
        step_task = asyncio.create_task(group.run())
        await asyncio.sleep(1)
        placement = (tuple(map(group._experts, range(test_site_maps.RANKS))),)
        switcher = switching.Switcher(group, 1)
        view = test_site_maps.view_of(group)
        self.assertEqual(takes, await switcher.prepare(view, 2, placement))
        step_task.cancel()

    async def _found_soon(self):
        group = CountedGroup(random.Random(1))
        step_task = asyncio.create_task(group.run())
        await asyncio.sleep(1)
        group.rows[0].held = group.step + 1
        before = group.step
        owner_task = self._begin(group)
        await asyncio.sleep(MAX_STALL_SECONDS)
        self.assertGreater(group.step, before)
        await self._end(group, step_task, owner_task)

    async def _released_once(self):
        group = CountedGroup(random.Random(1))
        # Doubles the lag of the reports.
        group.past_reports = [*group.past_reports, *group.past_reports]
        step_task = asyncio.create_task(group.run())
        await asyncio.sleep(1)
        group.rows[0].held = group.step + 1
        await asyncio.sleep(0.6)
        owner_task = self._begin(group)
        await asyncio.sleep(1.2)
        last = f'a{test_site_maps.RANKS - 1}'
        self.assertEqual(1, group.orders[ranks.HOLD, last])
        await self._end(group, step_task, owner_task)

    async def _prepared(self):
        group = CountedGroup(random.Random(1))
        step_task = asyncio.create_task(group.run())
        await asyncio.sleep(1)
        for row in group.rows:
            row.armed = ranks.Armed(1, group.step + 4)
            row.highest = 1
        placement = (tuple(map(group._experts, range(test_site_maps.RANKS))),)
        switcher = switching.Switcher(group, 1)
        view = test_site_maps.view_of(group)
        self.assertTrue(await switcher.prepare(view, 2, placement))
        for number in range(1, test_site_maps.RANKS):
            self.assertEqual(1, group.orders[ranks.PREPARE, f'a{number}'])
        step_task.cancel()

    async def _lost(self):
        loop = asyncio.get_running_loop()
        durations = []
        for seed in range(30):
            group = LossyRanks(random.Random(seed), LOSS_RATE)
            members = tuple(
                ranks.Rank(f't{number}', f'a{number}')
                for number in range(RANKS)
            )
            view = switching.Group(
                name='g', epoch=1, members=members, reports=()
            )
            started_at = loop.time()
            switcher = switching.Switcher(group, 1)
            armed = ranks.Armed(1, 9)
            self.assertTrue(await switcher.finish(view, armed, members[:1]))
            durations.append(loop.time() - started_at)
        # With the usual timeout the mean is 0.82 s.
        self.assertLess(statistics.mean(durations), 0.45)

    def _begin(self, group):
        loop = owner_loop.OwnerLoop(
            test_site_maps.FormerLeader(),
            test_site_maps.EmptyRegistry(),
            test_site_maps.OneServiceDirectory(),
            test_site_maps.owner_of(group),
            outlives_lease=True,
        )
        return asyncio.create_task(loop.run())

    async def _end(self, group, step_task, owner_task):
        step_task.cancel()
        owner_task.cancel()
        await group.close()
        self.assertEqual([], group.mixed_steps)


class ShiftCase(policy_case.PausedCase):
    def test_first_reading_is_not_kept(self):
        """The first reading after a shift is dropped once there is a second.

        It includes choices from before the shift.
        """
        held = demand.Demand()
        total = [0, 0, 0, 0]
        for _ in range(4):
            _read(held, total, (100, 0, 0, 0))
        _read(held, total, (50, 0, 0, 60))
        _read(held, total, (20, 0, 0, 90))
        self.assertEqual([[20, 0, 0, 90]], held.tokens)
        self.assertTrue(held.is_settled)


def _read(held, total, chosen):
    for expert, count in enumerate(chosen):
        total[expert] += count
    held.add_counts({'t': ranks.Counts(1, (tuple(total),))}, 0)
