"""Test that entries together keep to the rate limit of a target."""

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
TICK_SECONDS = 0.05
DURATION_SECONDS = 14.0
WINDOW_SECONDS = 4.0
# Allowed excess over the limit in a window.
MAX_FACTOR = 1.5
MAX_EXTRA = 5
OVERLOAD_FACTOR = 2.0


@attrs.define
class Sender:
    """A simulated entry with its share of the limit."""

    part: rate_limit.EntryShare
    demand: float
    limit: rate_limit.RateLimit = attrs.field(factory=rate_limit.RateLimit)
    sent: sent_calls.SentCalls = attrs.field(factory=sent_calls.SentCalls)
    pending_calls: float = 0

    def send(self, rate, now):
        """Send as many calls as demand and limit allow; return the count."""
        self.pending_calls = min(
            2 * rate + 1, self.pending_calls + self.demand * TICK_SECONDS
        )
        count = 0
        while self.pending_calls >= 1 and self.limit.allows(
            self.sent, self.part, now
        ):
            self.sent.record(now)
            self.limit.update(rate, now)
            self.pending_calls -= 1
            count += 1
        return count


def build_senders(weights, sides, rate):
    """Build entries that see only those on their side of a partition."""
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
        wanted = OVERLOAD_FACTOR * rate * weights[number] / sum(weights)
        sender = Sender(part, wanted)
        sender.limit.update(rate, 0)
        found.append(sender)
    return found


def simulate(senders, rate):
    """Simulate all entries; return the calls sent in each tick."""
    ticks = int(DURATION_SECONDS / TICK_SECONDS)
    return [
        sum(sender.send(rate, 1 + tick * TICK_SECONDS) for sender in senders)
        for tick in range(ticks)
    ]


def max_in_window(counts):
    """Return the largest number of calls in any window."""
    width = int(WINDOW_SECONDS / TICK_SECONDS)
    sums = list(itertools.accumulate(counts, initial=0))
    return max(
        last - first for first, last in zip(sums, sums[width:], strict=False)
    )


def utilisation(counts, rate):
    """Return the utilisation of the limit after the first window."""
    width = int(WINDOW_SECONDS / TICK_SECONDS)
    late = counts[width:]
    return sum(late) / (rate * len(late) * TICK_SECONDS)


class SharedLimitCase(unittest.TestCase):
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
        """Guards against entries that together exceed the limit."""
        senders = build_senders(weights, cuts[: len(weights)], rate)
        most = MAX_FACTOR * rate * WINDOW_SECONDS + MAX_EXTRA
        self.assertLessEqual(max_in_window(simulate(senders, rate)), most)

    def test_used_in_touch(self):
        """Guards against an underused limit while calls wait."""
        weights = [1 + number % 4 for number in range(17)]
        for rate in (5.0, 12.0, 40.0):
            with self.subTest(rate=rate):
                found = simulate(
                    build_senders(weights, tuple(map(int, bytes(17))), rate),
                    rate,
                )
                self.assertGreaterEqual(utilisation(found, rate), 0.8)

    def test_used_with_a_third_cut_off(self):
        """Guards against an underused limit during a partition."""
        weights = [1 + number % 4 for number in range(18)]
        sides = [int(number % 3 == 0) for number in range(18)]
        for rate in (5.0, 12.0, 40.0):
            with self.subTest(rate=rate):
                found = simulate(build_senders(weights, sides, rate), rate)
                self.assertGreaterEqual(utilisation(found, rate), 0.5)


class ConnectedEntriesCase(policy_case.PausedCase):
    def test_entries_in_touch(self):
        """Guards against a share for an entry that can't be reached."""
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


class LimitExpiryCase(unittest.TestCase):
    def setUp(self):
        self.sent = sent_calls.SentCalls()
        self.limit = rate_limit.RateLimit()
        self.part = rate_limit.EntryShare(rate_limit.SOLE_ENTRY, 1, 0)

    def test_answer_without_a_limit(self):
        """Guards against a limit kept after an answer without one."""
        self.limit.update(0, 1)
        self.assertFalse(self.limit.allows(self.sent, self.part, 2))
        self.limit.update(None, 3)
        self.assertTrue(self.limit.allows(self.sent, self.part, 3))

    def test_nobody_answers(self):
        """Guards against a stale limit that is never, or fully, lifted."""
        self.limit.update(0, 1)
        late = 1 + rate_limit.STALE_SECONDS + 0.1
        self.assertTrue(self.limit.allows(self.sent, self.part, late))
        self.sent.record(late)
        self.assertFalse(self.limit.allows(self.sent, self.part, late + 1))

    def test_values(self):
        """Guards against accepting invalid rates."""
        wanted = {'2.5': 2.5, '0': 0, '-1': None, '': None, 'nan': None}
        found = {text: backpressure.parse_rate(text) for text in wanted}
        self.assertEqual(wanted, found)


class LimitedCase(direct.DirectCase):
    async def test_limited_target(self):
        """Guards against calls beyond the limit set by an answer."""
        self.serve(configuration.RouteKind.IDEMPOTENT)
        limited = await self.add(
            test_backpressure.answer_with_header('Server-Limit: 0.5', 'slow')
        )
        await self.add(direct.whole('yes'), zone='far')
        for _ in range(6):
            self.assertEqual(200, (await self.ask())[0])
        self.assertLessEqual(len(limited.heads), 3)
