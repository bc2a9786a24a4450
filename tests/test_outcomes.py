"""Test outcomes, retries, leased portions and load shedding."""

import itertools
import random
import unittest

from tamarackthread.generated.messages import ttypes as messages
from tamarackthread.policy import (
    buckets,
    calls,
    outcomes,
    overload,
    refusals,
    retries,
)
from tests import policy_case

NOT_RUN = messages.Ran.NOT_RUN
MAY_HAVE_RUN = messages.Ran.MAY_HAVE_RUN
COMPLETE = messages.Ran.COMPLETE


def classified(stage, cause, reported=None, has_all_events=False):
    ending = outcomes.Ending(
        stage=stage,
        cause=cause,
        reported=reported,
        has_all_events=has_all_events,
    )
    return outcomes.classify(ending)


class TestOutcomes(unittest.TestCase):
    """Classify no call with more certainty than is known."""

    def test_only_the_agent_grants_not_run(self):
        """A sent call is 'not run' only if its agent reports so, because a
        retry after any other failure could run it twice.
        """
        pairs = itertools.product(outcomes.CallStage, outcomes.Cause)
        for stage, cause in pairs:
            with self.subTest(stage=stage, cause=cause):
                expected = MAY_HAVE_RUN
                if stage < outcomes.CallStage.BYTES_SENT:
                    expected = NOT_RUN
                self.assertEqual(classified(stage, cause), expected)

    def test_agent_report(self):
        stage = outcomes.CallStage
        agent = outcomes.Cause.AGENT_REPORTED
        self.assertEqual(classified(stage.BYTES_SENT, agent, NOT_RUN), NOT_RUN)
        self.assertEqual(
            classified(stage.HEAD_RECEIVED, agent, NOT_RUN), MAY_HAVE_RUN
        )
        whole = classified(
            stage.END_RECEIVED, agent, COMPLETE, has_all_events=True
        )
        self.assertEqual(whole, COMPLETE)

    def test_short_answer_is_not_complete(self):
        """A call that ended as complete with missing events is not complete."""
        ended = classified(
            outcomes.CallStage.END_RECEIVED,
            outcomes.Cause.AGENT_REPORTED,
            COMPLETE,
        )
        self.assertEqual(ended, MAY_HAVE_RUN)


class TestRetries(unittest.TestCase):
    """Retry calls that may repeat, within limits."""

    def policy(self, **settings):
        chosen = retries.RetrySettings(**settings)
        budget = retries.RetryBudget(chosen, 0)
        generator = random.Random(policy_case.SEED)
        return budget, retries.BudgetedRetry(budget, generator, chosen)

    def test_what_may_repeat(self):
        _, policy = self.policy()
        order = policy_case.call()
        draft = policy_case.call(idempotent=True)
        self.assertIsNone(policy.delay(order, MAY_HAVE_RUN, 1, 0))
        self.assertIsNone(policy.delay(draft, COMPLETE, 1, 0))
        self.assertIsNotNone(policy.delay(order, NOT_RUN, 1, 0))
        self.assertIsNotNone(policy.delay(draft, MAY_HAVE_RUN, 1, 0))

    def test_attempts_and_deadline(self):
        _, policy = self.policy()
        call = policy_case.call(deadline=5.0)
        self.assertIsNone(policy.delay(call, NOT_RUN, 3, 0))
        self.assertIsNone(policy.delay(call, NOT_RUN, 1, 5.0))

    def test_failures_do_not_multiply(self):
        """The budget limits retries to a tenth of the calls, plus its reserve,
        if every call fails.
        """
        budget, policy = self.policy()
        allowed = 0
        for number in range(1000):
            now = number / 100
            budget.earn(now)
            delay = policy.delay(policy_case.call(deadline=99), NOT_RUN, 1, now)
            allowed += delay is not None
        self.assertLessEqual(allowed, 0.1 * 1000 + 10 + 10)


class TestPortions(unittest.TestCase):
    """Limit organisations by leased portions."""

    def test_lapsed_lease_falls_to_safe_share(self):
        """An entry cut off from control falls back to the safe rate once its
        lease has expired, so that the organisation stays within its cap.
        """
        portion = buckets.Portion(safe_rate=1.0, now=0.0)
        portion.grant(10.0, asked_at=0.0, lease=3.0)
        granted = {True: 0, False: 0}
        for tenth in range(80):
            now = tenth / 10
            granted[now < 3] += portion.take(1, now) == 0
        self.assertGreater(granted[True], 25)
        self.assertLessEqual(granted[False], 6)

    def test_lapse_never_raises_the_rate(self):
        portion = buckets.Portion(safe_rate=5.0, now=0.0)
        portion.grant(1.0, asked_at=0.0, lease=1.0)
        portion.take(1, 4.0)
        self.assertEqual(portion.rate, 1.0)

    def test_demand_counts_refused_calls(self):
        portion = buckets.Portion(safe_rate=1.0, now=0.0)
        for tenth in range(100):
            portion.take(1, tenth / 10)
        demand, used = portion.measure(10.0)
        self.assertAlmostEqual(demand, 10)
        self.assertLess(used, 1.5)


class TestOverload(unittest.TestCase):
    """Shed calls while the event loop lags."""

    def test_lag_refuses_and_recovers(self):
        """Calls are refused while the loop lags, and accepted after it."""
        meter = overload.LagMeter()
        guard = overload.OverloadGuard(meter)
        normal = policy_case.call()
        urgent = policy_case.call(priority=calls.Priority.URGENT)
        meter.expect(1.0)
        guard.check(normal, 10, 1.0)
        with self.assertRaises(refusals.EntryOverloaded):
            guard.check(normal, 10, 1.1)
        guard.check(urgent, 10, 1.1)
        meter.observe(1.1)
        for turn in range(8):
            meter.expect(2.0 + turn)
            meter.observe(2.0 + turn)
        guard.check(normal, 10, 9.0)

    def test_room_kept_for_urgent(self):
        guard = overload.OverloadGuard(overload.LagMeter())
        with self.assertRaises(refusals.EntryOverloaded):
            guard.check(policy_case.call(), 4000, 0)
        urgent = policy_case.call(priority=calls.Priority.URGENT)
        guard.check(urgent, 4100, 0)
