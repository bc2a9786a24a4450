"""Prove that an owner knows a group over a link that loses packets."""

from __future__ import annotations

import asyncio
import random

from tamarackthread.control.site.maps import (
    group_discovery,
    group_state,
    ranks,
    readings,
    switching,
)
from tamarackthread.shared.site import configuration
from tests import policy_case, test_site_maps

RANKS = 63
# One packet in twenty-five is lost each way, on the link to a third of the ranks.
LOST_SHARE = 0.08
TRIES = 40
# A new owner that does not know its group reads again after a tenth of a second;
# nine times in ten it is to know it at once.
KNOWN_SHARE = 0.9


class LossyRanks(test_site_maps.FakeGroup):
    """Lose some answers."""

    def __init__(self, generator):
        super().__init__(generator)
        self.asked = 0

    async def placement(self, rank):
        return await self._unless_lost((3, ((1, 2), (3, 4))))

    async def report(self, rank):
        return await self._unless_lost(report_of(int(rank.address)))

    async def _unless_lost(self, answer):
        self.asked += 1
        if self.random.random() < LOST_SHARE:
            await asyncio.sleep(ranks.ANSWER_TIMEOUT_SECONDS)
            return None
        await asyncio.sleep(0.003)
        return answer


def report_of(number):
    return ranks.RankReport(
        group='g',
        epoch=1,
        rank=number,
        size=RANKS,
        is_open=True,
        step=5,
        version=3,
    )


class LossyCase(policy_case.PausedCase):
    def test_new_owner_learns_the_map(self):
        """An owner is killed while a zone's link loses packets.

        The next one needs the word of all 63 ranks on what they hold before it
        can plan.  One of them is silent nearly each time, and if it asks all of
        them anew each time the group keeps an uneven map for seconds.
        """
        self.run_paused(self._learns())

    def test_few_are_asked_again(self):
        """Only the silent ranks are asked again, as each is charged for."""
        self.run_paused(self._asks_few())

    async def _learns(self):
        known = 0
        for seed in range(TRIES):
            lossy = LossyRanks(random.Random(seed))
            known += await readings.read_placement(lossy, _watched(), _group())
        self.assertGreaterEqual(known, KNOWN_SHARE * TRIES)

    async def _asks_few(self):
        lossy = LossyRanks(random.Random(1))
        await group_discovery.fetch_reports(lossy, _group().members)
        self.assertLess(lossy.asked, RANKS * (1 + 3 * LOST_SHARE))


def _watched():
    return group_state.GroupState(
        configuration.Experts(sets=2, experts=8, places=2, spare=1), gap=0.15
    )


def _group():
    return switching.Group(
        name='g',
        epoch=1,
        members=tuple(
            ranks.Rank(str(number), str(number)) for number in range(RANKS)
        ),
        reports=tuple(report_of(number) for number in range(RANKS)),
    )
