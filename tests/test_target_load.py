"""Prove the estimates from lagged load reports and cache events."""

import unittest

import hypothesis
from hypothesis import strategies

from tamarackthread.generated.messages import ttypes as messages
from tamarackthread.policy import affinity
from tests import policy_case


class TestTargetLoad(unittest.TestCase):
    """Keep the view of one target."""

    def setUp(self):
        self.load = policy_case.view('t', entries=3).load

    def test_own_calls_count_once(self):
        """A call sent after the figures were taken isn't in the report.

        The caller would see a queue that isn't there, or miss one that is.
        The report is 200 ms old: one own call was in it, one was sent since.
        """
        self.load.sent(100, now=1.0)
        self.load.sent(100, now=1.9)
        self.load.report(policy_case.report(1, running=3, age_ms=200), 2.0)
        trust = 0.5**0.2
        others = 2 * trust + (1 - trust) * 2 * 2
        self.assertAlmostEqual(self.load.occupancy(2.0), 2 + others)

    def test_finished_since_report(self):
        flight = self.load.sent(100, now=1.0)
        self.load.finished(flight, now=1.95)
        self.load.finished(flight, now=1.99)
        self.load.report(policy_case.report(1, running=1, age_ms=100), 2.0)
        self.assertAlmostEqual(self.load.occupancy(2.0), 0)

    def test_late_and_doubled_reports(self):
        """Reports overtake each other and come twice.

        An old one taken as new would send a wave to a full target.  The
        second, doubled and overtaken, must change nothing.
        """
        self.assertTrue(
            self.load.report(policy_case.report(5, running=4), 1.0),
        )
        for sequence in (5, 4):
            stale = policy_case.report(sequence, running=0)
            self.assertFalse(self.load.report(stale, 1.1))
        self.assertEqual(self.load.last_report.running, 4)

    def test_restarted_agent_counts_anew(self):
        self.load.report(policy_case.report(900, running=4), 1.0)
        fresh = policy_case.report(1, running=0)
        self.assertTrue(self.load.report(fresh, 4.5))

    def test_silent_call_raises_expectation(self):
        """A target stops answering while its last report still looks good."""
        self.load.report(policy_case.report(1), 1.0)
        self.load.sent(10, now=1.0)
        self.assertGreaterEqual(self.load.expected_first_token(10, 1.8), 0.8)

    def test_others_share_free_slots(self):
        """Three entries see the same free slot and only one may take it."""
        self.load.report(policy_case.report(1, running=3), 1.0)
        self.assertTrue(self.load.has_room(1.0))
        for _ in range(2):
            self.load.sent(10, now=1.0)
        self.assertFalse(self.load.has_room(1.0))

    def test_own_pace_beats_old_report(self):
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
        """Whatever order events come in, no estimate falls below own calls."""
        load = policy_case.view('t', entries=2).load
        flights = []
        for sequence, (event, number) in enumerate(events):
            now = sequence / 10
            if event == 'send':
                flights.append(load.sent(10 * number, now))
            if event == 'report':
                stale = policy_case.report(
                    sequence, running=number, age_ms=100 * number
                )
                load.report(stale, now)
            if flights and event == 'start':
                load.first_token(flights[number % len(flights)], now)
            if flights and event == 'end':
                load.finished(flights[number % len(flights)], now)
            self.assertGreaterEqual(load.occupancy(now), load.own_calls)
            self.assertGreaterEqual(load.waiting_tokens(now), 0)
            self.assertGreaterEqual(load.own_calls, 0)


def held(*prefixes):
    return [
        messages.PrefixNote(prefix=prefix, held=True) for prefix in prefixes
    ]


class TestPrefixView(unittest.TestCase):
    """Believe cache events only as far as they go."""

    def setUp(self):
        self.view = affinity.PrefixView()
        self.view.observe(held(1, 2), 2)

    def test_prefix_ends_at_first_miss(self):
        tokens = self.view.cached_tokens((1, 9, 2))
        self.assertEqual(tokens, affinity.BLOCK_TOKENS)

    def test_doubled_events(self):
        gone = [messages.PrefixNote(prefix=1, held=False)]
        self.view.observe(gone, 2)
        self.assertEqual(
            self.view.cached_tokens((1, 2)), 2 * affinity.BLOCK_TOKENS
        )

    def test_overtaken_events(self):
        """An old report comes after a newer one, and then the next.

        Were the count turned back by the old one, the next would look like
        a gap and weaken what is known for certain.
        """
        self.view.observe(held(1), 1)
        self.view.observe(held(3), 3)
        self.assertEqual(
            self.view.cached_tokens((1, 2)), 2 * affinity.BLOCK_TOKENS
        )

    def test_overlapping_events(self):
        gone = [messages.PrefixNote(prefix=1, held=False)]
        self.view.observe(gone + held(2, 3), 3)
        self.assertEqual(
            self.view.cached_tokens((1, 2, 3)), 3 * affinity.BLOCK_TOKENS
        )

    def test_gap_weakens_only(self):
        """Events are lost, perhaps that a prefix was dropped.

        Forgetting all would send each call to a cold cache; trusting all
        would hold calls on a target for a prefix that is gone.
        """
        self.view.observe(held(7), 6)
        self.assertEqual(self.view.cached_tokens((1, 2)), affinity.BLOCK_TOKENS)
        self.assertEqual(self.view.cached_tokens((7,)), affinity.BLOCK_TOKENS)

    def test_memory_is_bounded(self):
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
