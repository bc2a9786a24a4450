"""Test that targets which fail more calls than others are ejected."""

from __future__ import annotations

import asyncio
import random
import unittest

from tamarackthread.control.site import loads
from tamarackthread.entry.direct import (
    load_exchange,
    outlier_detection,
    targets,
)
from tamarackthread.shared.site import announcements
from tests import policy_case, test_load_exchange

SERVICE = 's'
ENTRIES = 15
# Calls a second at three targets, of which one fails for a while.
RATE = 8.0
FAILS_FROM = 5.0
FAILS_UNTIL = 11.0
SECONDS = 30.0
WORK_SECONDS = 0.05
ERROR_SECONDS = 0.01
SEEDS = (1, 2, 3, 4, 5, 6)


class OutlierCase(unittest.TestCase):
    def test_one_of_three(self):
        """A target that fails all of its calls is ejected."""
        histories = [_history(0, 4), _history(5, 0), _history(5, 0)]
        self.assertEqual(
            [histories[0]], outlier_detection.eject_outliers(histories, 1.0)
        )
        self.assertEqual([True, False, False], _ejected(histories, 1.1))

    def test_all_fail(self):
        """Where all targets fail alike, none is ejected."""
        histories = [_history(2, 4), _history(2, 4), _history(2, 5)]
        self.assertEqual([], outlier_detection.eject_outliers(histories, 1.0))

    def test_usual_failures(self):
        """A similar failure share at all targets ejects none."""
        histories = [_history(18, 3), _history(18, 3), _history(15, 5)]
        self.assertEqual([], outlier_detection.eject_outliers(histories, 1.0))

    def test_at_most_a_part(self):
        """Of three targets at most one is ejected, so that slots remain."""
        histories = [_history(0, 6), _history(1, 6), _history(6, 0)]
        outlier_detection.eject_outliers(histories, 1.0)
        self.assertEqual(1, sum(_ejected(histories, 1.1)))

    def test_one_of_two(self):
        """Of two targets none is ejected."""
        histories = [_history(0, 6), _history(6, 0)]
        self.assertEqual([], outlier_detection.eject_outliers(histories, 1.0))

    def test_fails_again(self):
        """A failure on probation ejects a target for twice as long."""
        histories = [_history(0, 4), _history(5, 0), _history(5, 0)]
        outlier_detection.eject_outliers(histories, 1.0)
        back = 1.0 + outlier_detection.EJECTION_SECONDS
        self.assertFalse(histories[0].is_ejected(back))
        histories[0].note(is_good=False, now=back)
        for other in histories[1:]:
            other.note(is_good=True, now=back)
        outlier_detection.eject_outliers(histories, back)
        self.assertTrue(
            histories[0].is_ejected(
                back + 1.9 * outlier_detection.EJECTION_SECONDS
            )
        )

    def test_old_failures(self):
        """Expired failures don't count."""
        histories = [_history(0, 4), _history(5, 0), _history(5, 0)]
        self.assertEqual([], outlier_detection.eject_outliers(histories, 9.0))


class LoadCase(policy_case.PausedCase):
    def test_calls_that_must_not_repeat(self):
        """Entries that exchange outcomes lose less than half as many calls."""
        apart = sum(self._play(seed, shares=False) for seed in SEEDS)
        together = sum(self._play(seed, shares=True) for seed in SEEDS)
        self.assertLess(together, apart / 2)

    def _play(self, seed, *, shares):
        return self.run_paused(self._lose(random.Random(seed), shares=shares))

    async def _lose(self, generator, *, shares):
        host = loads.Loads(1)
        entries = []
        for number in range(ENTRIES):
            known = _targets(generator)
            links = test_load_exchange.Host(f'e{number}', {'h': host})
            exchange = load_exchange.LoadExchange(
                known, links, _hosts, _entries, _on_exchange
            )
            entries.append(known)
            if shares:
                self._keep(exchange.run())
        loop = asyncio.get_running_loop()
        began = loop.time()
        lost = []
        while loop.time() - began < SECONDS:
            await asyncio.sleep(generator.expovariate(RATE))
            self._keep(_call(generator.choice(entries), began, lost))
        return len(lost)

    def _keep(self, work):
        self.tasks.add(asyncio.get_running_loop().create_task(work))

    def setUp(self):
        self.tasks = set()


def _hosts():
    return ('h',)


def _entries():
    return range(ENTRIES)


def _on_exchange():
    """Do nothing after an exchange."""


async def _call(known, began, lost):
    loop = asyncio.get_running_loop()
    target = known.choose(SERVICE, ())
    fails = FAILS_FROM <= loop.time() - began < FAILS_UNTIL
    is_good = not (fails and target.name == 't0')
    target.own_calls += 1
    await asyncio.sleep(WORK_SECONDS if is_good else ERROR_SECONDS)
    target.own_calls -= 1
    target.outcomes.note(is_good=is_good, now=loop.time())
    if not is_good:
        lost.append(target.name)


def _targets(generator):
    known = targets.Targets('z', 1.0, generator)
    for number in range(3):
        known.take(
            announcements.Announcement(
                target=f't{number}',
                service=SERVICE,
                address=f'10.0.0.{number}:80',
                zone='z',
                slots=6,
            )
        )
    return known


def _history(answered, failed):
    history = outlier_detection.OutcomeHistory()
    for call in range(answered + failed):
        history.note(is_good=call < answered, now=0.5)
    return history


def _ejected(histories, now):
    return [history.is_ejected(now) for history in histories]
