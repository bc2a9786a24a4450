"""Prove that the soak sees each broken promise, and run it for a moment."""

import asyncio
import unittest

from bench.soak import ledger, run

SEED = 7
SECONDS = 3.0
ONCE = ledger.Kind.ONCE
STREAM = ledger.Kind.STREAM


def seen(kind=ONCE, **fields):
    """Build a ledger with one whole answer, changed by ``fields``."""
    held = ledger.Ledger()
    answer = {'status': 200, 'body': ledger.whole_body('c1', kind), **fields}
    held.asked(ledger.Attempt('c1', kind, 'e', **answer))
    held.ran('c1')
    return held


class PlantedCase(unittest.TestCase):
    def promises(self, held):
        return [found.promise for found in held.violations()]

    def test_sound(self):
        """What is sound is found sound."""
        for kind in ledger.Kind:
            self.assertEqual([], self.promises(seen(kind)))

    def test_ran_twice(self):
        held = seen()
        held.ran('c1')
        self.assertEqual(['ran_twice'], self.promises(held))

    def test_refused_and_ran(self):
        held = seen(status=503, body='')
        self.assertEqual(['false_not_run'], self.promises(held))

    def test_anothers_answer(self):
        held = seen(body=ledger.whole_body('c2', ONCE))
        self.assertEqual(['wrong_answer'], self.promises(held))

    def test_short_stream_that_looks_whole(self):
        whole = ledger.whole_body('c1', STREAM)
        held = seen(STREAM, body=whole[: len(whole) // 2])
        self.assertEqual(['wrong_answer'], self.promises(held))

    def test_call_that_nobody_made(self):
        held = seen()
        held.ran('c9')
        self.assertEqual(['ran_unasked'], self.promises(held))

    def test_reverted_configuration(self):
        """An older version counts only once the newer had time to apply."""
        held = seen()
        held.accepted(4, now=10)
        held.accepted(7, now=20)
        held.read_back(4, asked_at=21)
        self.assertEqual([], self.promises(held))
        held.read_back(4, asked_at=23)
        self.assertEqual(['configuration_reverted'], self.promises(held))

    def test_evacuated_zone(self):
        """A call reaches a zone long after it was evacuated."""
        held = seen()
        held.evacuated('z', now=10)
        held.reached('z', 'c1', now=14)
        held.reached('y', 'c1', now=16)
        self.assertEqual([], self.promises(held))
        held.reached('z', 'c1', now=16)
        self.assertEqual(['reached_evacuated_zone'], self.promises(held))
        held.restored('z')
        held.reached('z', 'c1', now=17)
        self.assertEqual(1, len(self.promises(held)))

    def test_memory(self):
        """A process ends by itself, or takes more than its host has."""
        held = seen()
        held.held_at_most('e', 100 << 20)
        self.assertEqual([], self.promises(held))
        held.held_at_most('e', 201 << 20)
        held.held_at_most('e', 0)
        self.assertEqual(
            ['memory_exceeded', 'process_ended'], self.promises(held)
        )

    def test_cold_target(self):
        """A cold target gets one call more in a second than it takes."""
        held = seen()
        for _ in range(2):
            for number in range(ledger.COLD_RATE):
                held.reached_cold('t', now=number / ledger.COLD_RATE)
            self.assertEqual([], self.promises(held))
            held = seen()
        for _ in range(ledger.COLD_RATE + 1):
            held.reached_cold('t', now=5)
        self.assertEqual(['cold_target_overrun'], self.promises(held))

    def test_repeats_over_budget(self):
        """Repeats of all entries exceed what calls of the same span allow."""
        held = seen()
        for number in range(ledger.BUDGET_SLACK + 1):
            held.arrived('c1', now=20 + number / 100)
        self.assertEqual([], self.promises(held))
        held.arrived('c1', now=22)
        self.assertEqual(['repeats_over_budget'], self.promises(held))
        # Five calls of the span before allow one repeat more.
        for _ in range(5):
            held.asked(held.attempts['c1'], now=9)
        held._asked_at.sort()
        self.assertEqual([], self.promises(held))

    def test_repeats_of_a_later_span(self):
        """Repeats that are more than a span apart don't add up."""
        held = seen()
        for moment in (1, 20):
            for _ in range(ledger.BUDGET_SLACK):
                held.arrived('c1', now=moment)
        self.assertEqual([], self.promises(held))

    def test_crashing_call(self):
        """A call crashes target after target long after the third."""
        held = seen()
        for moment in (1, 2, 3, 4, 5, 8, 9, 10):
            held.crashed('/x', now=moment)
        self.assertEqual([], self.promises(held))
        held.crashed('/x', now=11)
        self.assertEqual(['crashing_call_let_through'], self.promises(held))

    def test_crashing_part(self):
        """A part crashes target after target long after the fifth."""
        held = seen()
        for moment in (1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11):
            held.crashed_by_part('bad', now=moment)
        self.assertEqual([], self.promises(held))
        held.crashed_by_part('bad', now=12)
        self.assertEqual(['crashing_part_let_through'], self.promises(held))

    def test_sound_call_blamed(self):
        """A sound call is refused as one that crashes targets."""
        blamed = {'status': 503, 'body': 'TT7213 call crashes targets'}
        held = seen(ledger.Kind.REPEATABLE, **blamed)
        self.assertEqual(['sound_call_blamed'], self.promises(held))
        held.attempts['c1'].is_crashing = True
        self.assertEqual([], self.promises(held))

    def test_cut_by_planned_stop(self):
        held = seen()
        held.cut_by_planned_stop(held.attempts['c1'])
        self.assertEqual(['cut_by_planned_stop'], self.promises(held))


class SeededCase(unittest.TestCase):
    def test_a_moment(self):
        """Processes are killed, frozen and stopped; every promise holds."""
        found = asyncio.run(run.soak(SEED, SECONDS))
        self.assertEqual([], found['violations'])
        self.assertGreater(found['statuses'].get('200', 0), 0)
        self.assertGreater(sum(found['faults'].values()), 0)
