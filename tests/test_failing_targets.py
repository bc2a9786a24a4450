"""Prove that a target that fails what others answer gets fewer calls.

The pattern: one of three targets of a plain service ends each call with an error
within some milliseconds for six seconds, while its health check is good.
"""

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
from tests import policy_case, test_shared_calls

SERVICE = 's'
ENTRIES = 15
# Eight calls a second at three targets, of which one fails from second 5 to 11.
RATE = 8.0
FAILS_FROM = 5.0
FAILS_UNTIL = 11.0
SECONDS = 30.0
WORK_SECONDS = 0.05
ERROR_SECONDS = 0.01
SEEDS = (1, 2, 3, 4, 5, 6)


class RecordCase(unittest.TestCase):
    def test_one_of_three(self):
        """One target fails all of its calls, the others none."""
        held = [_record(0, 4), _record(5, 0), _record(5, 0)]
        self.assertEqual([held[0]], outlier_detection.judge(held, 1.0))
        self.assertEqual([True, False, False], _out(held, 1.1))

    def test_all_fail(self):
        """All targets fail alike: none is worse, and none is left out."""
        held = [_record(2, 4), _record(2, 4), _record(2, 5)]
        self.assertEqual([], outlier_detection.judge(held, 1.0))

    def test_usual_failures(self):
        """One call in seven fails at each target, as some kinds' do."""
        held = [_record(18, 3), _record(18, 3), _record(15, 5)]
        self.assertEqual([], outlier_detection.judge(held, 1.0))

    def test_at_most_a_part(self):
        """Two of three fail; the third alone would have no room for all."""
        held = [_record(0, 6), _record(1, 6), _record(6, 0)]
        outlier_detection.judge(held, 1.0)
        self.assertEqual(1, sum(_out(held, 1.1)))

    def test_one_of_two(self):
        """One of two targets stays in: the other may be the next to fail."""
        held = [_record(0, 6), _record(6, 0)]
        self.assertEqual([], outlier_detection.judge(held, 1.0))

    def test_fails_again(self):
        """A target that was let back fails its first call: out for longer."""
        held = [_record(0, 4), _record(5, 0), _record(5, 0)]
        outlier_detection.judge(held, 1.0)
        back = 1.0 + outlier_detection.OUT_SECONDS
        self.assertFalse(held[0].is_out(back))
        held[0].note(is_good=False, now=back)
        for other in held[1:]:
            other.note(is_good=True, now=back)
        outlier_detection.judge(held, back)
        self.assertTrue(
            held[0].is_out(back + 1.9 * outlier_detection.OUT_SECONDS)
        )

    def test_old_failures(self):
        """A target that failed long ago is as good as any."""
        held = [_record(0, 4), _record(5, 0), _record(5, 0)]
        self.assertEqual([], outlier_detection.judge(held, 9.0))


class LoadCase(policy_case.PausedCase):
    def test_calls_that_must_not_repeat(self):
        """Orders reach fifteen entries, each of which sees half a call a second.

        By its own calls an entry would learn of the failing target when it is
        mended.  Told of all, entries lose less than half of what they lost.
        """
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
            links = test_shared_calls.Host(f'e{number}', {'h': host})
            shared = load_exchange.LoadExchange(
                known, links, _hosts, _entries, _nothing
            )
            entries.append(known)
            if shares:
                self._keep(shared.run())
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


def _nothing():
    """Do nothing after an exchange."""


async def _call(known, began, lost):
    loop = asyncio.get_running_loop()
    target = known.choose(SERVICE, ())
    fails = FAILS_FROM <= loop.time() - began < FAILS_UNTIL
    is_good = not (fails and target.name == 't0')
    target.own += 1
    await asyncio.sleep(WORK_SECONDS if is_good else ERROR_SECONDS)
    target.own -= 1
    target.record.note(is_good=is_good, now=loop.time())
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


def _record(answered, failed):
    record = outlier_detection.OutcomeHistory()
    for call in range(answered + failed):
        record.note(is_good=call < answered, now=0.5)
    return record


def _out(held, now):
    return [record.is_out(now) for record in held]
