"""Prove that entries together keep to what a target in need takes.

The pattern: a target names a limit that many entries share, and callers press at
all of them at twice of it, at some much more than at others.
"""

import functools
import itertools
import unittest

import attrs
import hypothesis
from hypothesis import strategies

from tamarackthread.control.site import loads
from tamarackthread.policy import (
    backpressure,
    known_entries,
    rate_limit,
    sent_calls,
)
from tamarackthread.shared.site import configuration
from tests import direct_case as direct
from tests import policy_case, test_backpressure, test_load_exchange

TARGET = 't'
TICK = 0.05
SECONDS = 14.0
WINDOW = 4.0
# What a target bears beyond its limit before it is worse than without one.
MOST_FACTOR = 1.5
MOST_MORE = 5
PRESSED = 2.0


@attrs.define
class Sender:
    """An entry: its limit, what it sent, and its part."""

    part: rate_limit.EntryShare
    demand: float
    limit: rate_limit.RateLimit = attrs.field(factory=rate_limit.RateLimit)
    sent: sent_calls.SentCalls = attrs.field(factory=sent_calls.SentCalls)
    owed: float = 0

    def press(self, rate, now):
        """Send what callers want and the limit lets go; return how many."""
        self.owed = min(2 * rate + 1, self.owed + self.demand * TICK)
        count = 0
        while self.owed >= 1 and self.limit.allows(self.sent, self.part, now):
            self.sent.record(now)
            self.limit.update(rate, now)
            self.owed -= 1
            count += 1
        return count


def senders_of(weights, sides, rate):
    """Build entries that see those of their own side only."""
    names = tuple(f'e{number}' for number in range(len(weights)))
    found = []
    for number, name in enumerate(names):
        side = [
            weight
            for weight, where in zip(weights, sides, strict=True)
            if where == sides[number]
        ]
        fleet = known_entries.KnownEntries(
            name, functools.partial(tuple, names)
        )
        share = weights[number] / sum(side)
        part = rate_limit.EntryShare(
            rate_limit.Demand(share=share, entries=len(side)),
            fleet.count(),
            fleet.position(TARGET),
        )
        wanted = PRESSED * rate * weights[number] / sum(weights)
        sender = Sender(part, wanted)
        sender.limit.update(rate, 0)
        found.append(sender)
    return found


def play(senders, rate):
    """Press for some time; return the calls of each tick."""
    ticks = int(SECONDS / TICK)
    return [
        sum(sender.press(rate, 1 + tick * TICK) for sender in senders)
        for tick in range(ticks)
    ]


def worst(counts):
    """Return the most calls of any window."""
    width = int(WINDOW / TICK)
    sums = list(itertools.accumulate(counts, initial=0))
    return max(
        last - first for first, last in zip(sums, sums[width:], strict=False)
    )


def used(counts, rate):
    """Return which part of the limit was used, the first window apart."""
    width = int(WINDOW / TICK)
    late = counts[width:]
    return sum(late) / (rate * len(late) * TICK)


class SumCase(unittest.TestCase):
    @hypothesis.settings(
        max_examples=60, deadline=None, derandomize=True, database=None
    )
    @hypothesis.given(
        rate=strategies.floats(0, 40),
        weights=strategies.lists(
            strategies.floats(0.05, 10), min_size=1, max_size=39
        ),
        cuts=strategies.lists(
            strategies.integers(0, 2), min_size=39, max_size=39
        ),
    )
    def test_never_over(self, rate, weights, cuts):
        """Guards against entries that together send more than a target bears."""
        senders = senders_of(weights, cuts[: len(weights)], rate)
        most = MOST_FACTOR * rate * WINDOW + MOST_MORE
        self.assertLessEqual(worst(play(senders, rate)), most)

    def test_used_in_touch(self):
        """Guards against a limit that is left unused while calls wait."""
        weights = [1 + number % 4 for number in range(17)]
        for rate in (5.0, 12.0, 40.0):
            with self.subTest(rate=rate):
                found = play(
                    senders_of(weights, tuple(map(int, bytes(17))), rate), rate
                )
                self.assertGreaterEqual(used(found, rate), 0.8)

    def test_used_with_a_third_cut_off(self):
        """Guards against a limit left unused while a third is cut off."""
        weights = [1 + number % 4 for number in range(18)]
        sides = [int(number % 3 == 0) for number in range(18)]
        for rate in (5.0, 12.0, 40.0):
            with self.subTest(rate=rate):
                found = play(senders_of(weights, sides, rate), rate)
                self.assertGreaterEqual(used(found, rate), 0.5)


class TouchCase(policy_case.PausedCase):
    def test_entries_in_touch(self):
        """Guards against a part of the limit for an entry that is not heard."""
        self.run_paused(self._exchanged())

    async def _exchanged(self):
        hosts = {'h1': loads.Loads(1)}
        first, _, one = test_load_exchange.entry_of('e1', hosts)
        second, _, two = test_load_exchange.entry_of('e2', hosts)
        first.get('t0').limit.update(4, 0)
        first.get('t0').own_calls = 3
        second.get('t1').own_calls = 1
        for shared in (one, two, one):
            await shared.exchange()
        wanted = rate_limit.Demand(share=0.75, entries=2)
        self.assertEqual(wanted, first._eligibility._demands['s'])
        first.forget_others()
        self.assertEqual(1, first._eligibility._demands['s'].entries)


class EndCase(unittest.TestCase):
    def setUp(self):
        self.sent = sent_calls.SentCalls()
        self.limit = rate_limit.RateLimit()
        self.part = rate_limit.EntryShare(rate_limit.SOLE_ENTRY, 1, 0)

    def test_answer_without_a_limit(self):
        """Guards against a limit that outlives the target's need."""
        self.limit.update(0, 1)
        self.assertFalse(self.limit.allows(self.sent, self.part, 2))
        self.limit.update(None, 3)
        self.assertTrue(self.limit.allows(self.sent, self.part, 3))

    def test_nobody_answers(self):
        """Guards against a limit for ever, and against its end at once."""
        self.limit.update(0, 1)
        late = 1 + rate_limit.STALE_SECONDS + 0.1
        self.assertTrue(self.limit.allows(self.sent, self.part, late))
        self.sent.record(late)
        self.assertFalse(self.limit.allows(self.sent, self.part, late + 1))

    def test_values(self):
        """Guards against values that make no sense."""
        wanted = {'2.5': 2.5, '0': 0, '-1': None, '': None, 'nan': None}
        found = {text: backpressure.parse_rate(text) for text in wanted}
        self.assertEqual(wanted, found)


class LimitedCase(direct.DirectCase):
    async def test_limited_target(self):
        """Guards against calls beyond the limit that an answer has named."""
        self.serve(configuration.RouteKind.IDEMPOTENT)
        limited = await self.add(
            test_backpressure.naming('Server-Limit: 0.5', 'slow')
        )
        await self.add(direct.whole('yes'), zone='far')
        for _ in range(6):
            self.assertEqual(200, (await self.ask())[0])
        self.assertLessEqual(len(limited.heads), 3)
