"""Test estimates from delayed load reports and cache events."""

import unittest

import hypothesis
from hypothesis import strategies

from tamarackthread.generated.messages import ttypes as messages
from tamarackthread.policy import affinity
from tests import policy_case


class TestTargetLoad(unittest.TestCase):
    """Estimate the load of one target."""

    def setUp(self):
        self.load = policy_case.view('t', entries=3).load

    def test_own_calls_count_once(self):
        """Own calls are counted once, whether a report includes them or is
        older than they are.
        """
        self.load.sent(100, now=1.0)
        self.load.sent(100, now=1.9)
        self.load.report(policy_case.report(1, running=3, age_ms=200), 2.0)
        trust = 0.5**0.2
        others = 2 * trust + (1 - trust) * 2 * 2
        self.assertAlmostEqual(self.load.occupancy(2.0), 2 + others)

    def test_finished_since_report(self):
        call = self.load.sent(100, now=1.0)
        self.load.finished(call, now=1.95)
        self.load.finished(call, now=1.99)
        self.load.report(policy_case.report(1, running=1, age_ms=100), 2.0)
        self.assertAlmostEqual(self.load.occupancy(2.0), 0)

    def test_late_and_doubled_reports(self):
        """Repeated and overtaken reports are ignored; acting on one would send
        a burst to a full target.
        """
        self.assertTrue(
            self.load.report(policy_case.report(5, running=4), 1.0),
        )
        for sequence in (5, 4):
            stale_report = policy_case.report(sequence, running=0)
            self.assertFalse(self.load.report(stale_report, 1.1))
        self.assertEqual(self.load.last_report.running, 4)

    def test_restarted_agent_is_accepted(self):
        self.load.report(policy_case.report(900, running=4), 1.0)
        fresh_report = policy_case.report(1, running=0)
        self.assertTrue(self.load.report(fresh_report, 4.5))

    def test_waiting_call_raises_estimate(self):
        """A waiting call raises the estimate before a report shows a stall."""
        self.load.report(policy_case.report(1), 1.0)
        self.load.sent(10, now=1.0)
        self.assertGreaterEqual(self.load.expected_first_token(10, 1.8), 0.8)

    def test_entries_share_free_slots(self):
        """Entries that see the same free slot do not all take it."""
        self.load.report(policy_case.report(1, running=3), 1.0)
        self.assertTrue(self.load.has_room(1.0))
        for _ in range(2):
            self.load.sent(10, now=1.0)
        self.assertFalse(self.load.has_room(1.0))

    def test_newer_own_pace_overrides_report(self):
        self.load.report(policy_case.report(1, age_ms=300), 1.0)
        self.load.observe_pace(0.06, 1.0)
        self.assertAlmostEqual(self.load.step_seconds, 0.06)
        self.load.report(policy_case.report(2), 1.2)
        self.assertAlmostEqual(self.load.step_seconds, 0.01)

    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                strategies.sampled_from(('send', 'start', 'end', 'report')),
                strategies.integers(0, 9),
            ),
            max_size=60,
        ),
    )
    def test_never_negative(self, events):
        """Estimates stay above own calls and zero for any order of events."""
        load = policy_case.view('t', entries=2).load
        in_flight = []
        for sequence, (event, number) in enumerate(events):
            now = sequence / 10
            if event == 'send':
                in_flight.append(load.sent(10 * number, now))
            if event == 'report':
                stale_report = policy_case.report(
                    sequence, running=number, age_ms=100 * number
                )
                load.report(stale_report, now)
            if in_flight and event == 'start':
                load.first_token(in_flight[number % len(in_flight)], now)
            if in_flight and event == 'end':
                load.finished(in_flight[number % len(in_flight)], now)
            self.assertGreaterEqual(load.occupancy(now), load.own_calls)
            self.assertGreaterEqual(load.waiting_tokens(now), 0)
            self.assertGreaterEqual(load.own_calls, 0)


def held_notes(*prefixes):
    return [
        messages.PrefixNote(prefix=prefix, held=True) for prefix in prefixes
    ]


class TestPrefixView(unittest.TestCase):
    """Estimate the contents of a prefix cache."""

    def setUp(self):
        self.view = affinity.PrefixView()
        self.view.observe(held_notes(1, 2), 2)

    def test_prefix_ends_at_first_miss(self):
        tokens = self.view.cached_tokens((1, 9, 2))
        self.assertEqual(tokens, affinity.BLOCK_TOKENS)

    def test_doubled_events(self):
        dropped_notes = [messages.PrefixNote(prefix=1, held=False)]
        self.view.observe(dropped_notes, 2)
        self.assertEqual(
            self.view.cached_tokens((1, 2)), 2 * affinity.BLOCK_TOKENS
        )

    def test_overtaken_events(self):
        """An overtaken report does not reset the sequence; the next one would
        look like a gap.
        """
        self.view.observe(held_notes(1), 1)
        self.view.observe(held_notes(3), 3)
        self.assertEqual(
            self.view.cached_tokens((1, 2)), 2 * affinity.BLOCK_TOKENS
        )

    def test_overlapping_events(self):
        dropped_notes = [messages.PrefixNote(prefix=1, held=False)]
        self.view.observe(dropped_notes + held_notes(2, 3), 3)
        self.assertEqual(
            self.view.cached_tokens((1, 2, 3)), 3 * affinity.BLOCK_TOKENS
        )

    def test_gap_weakens_only(self):
        """Lost events halve the confidence in older prefixes instead of keeping
        or dropping them all.
        """
        self.view.observe(held_notes(7), 6)
        self.assertEqual(self.view.cached_tokens((1, 2)), affinity.BLOCK_TOKENS)
        self.assertEqual(self.view.cached_tokens((7,)), affinity.BLOCK_TOKENS)

    def test_prefixes_are_bounded(self):
        view = affinity.PrefixView(affinity.AffinitySettings(max_prefixes=3))
        view.sent(range(10))
        self.assertEqual(view.cached_tokens((6,)), 0)
        self.assertGreater(view.cached_tokens((9,)), 0)

    def test_hashes_are_chained(self):
        block = b'x' * affinity.BLOCK_BYTES
        one = affinity.prefix_hashes(block)
        two = affinity.prefix_hashes(block * 2)
        other = affinity.prefix_hashes(b'y'.join((b'', block * 2)))
        self.assertEqual(one, two[:1])
        self.assertNotEqual(two[1], other[1])
        self.assertTrue(all(-(1 << 63) <= hashed < 1 << 63 for hashed in two))
