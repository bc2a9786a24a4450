"""Test that an owner reads the state of a group over a lossy link."""

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
# Packet loss of 4 % each way.
LOSS_RATE = 0.08
TRIES = 40
# Fraction of attempts in which a new owner must learn the map at once.
MIN_KNOWN_FRACTION = 0.9


class LossyRanks(test_site_maps.FakeGroup):
    """Ranks whose responses are lost at random."""

    def __init__(self, generator):
        super().__init__(generator)
        self.query_count = 0

    async def placement(self, rank):
        return await self._unless_lost((3, ((1, 2), (3, 4))))

    async def report(self, rank):
        return await self._unless_lost(report_of(int(rank.address)))

    async def _unless_lost(self, answer):
        self.query_count += 1
        if self.random.random() < LOSS_RATE:
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
        """A new owner reads the map of all ranks despite lost responses."""
        self.run_paused(self._learns())

    def test_only_silent_ranks_are_retried(self):
        """Only silent ranks are queried again."""
        self.run_paused(self._retries_few())

    async def _learns(self):
        known = 0
        for seed in range(TRIES):
            lossy = LossyRanks(random.Random(seed))
            known += await readings.read_placement(
                lossy, _group_state(), _group()
            )
        self.assertGreaterEqual(known, MIN_KNOWN_FRACTION * TRIES)

    async def _retries_few(self):
        lossy = LossyRanks(random.Random(1))
        await group_discovery.fetch_reports(lossy, _group().members)
        self.assertLess(lossy.query_count, RANKS * (1 + 3 * LOSS_RATE))


def _group_state():
    return group_state.GroupState(
        configuration.ExpertLayout(sets=2, experts=8, places=2, spare=1),
        gap=0.15,
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
