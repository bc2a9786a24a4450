"""Test that calls queue for free slots, and the order in which they leave."""

from __future__ import annotations

import asyncio
import math
import random
import statistics
import unittest

import attrs

from bench.experiments import heavy
from tamarackthread.entry.direct import (
    admission_control,
    calls,
    failures,
    outlier_detection,
    targets,
)
from tamarackthread.policy import concurrency, outages
from tamarackthread.shared import stop_deadline
from tamarackthread.shared.site import announcements, configuration
from tests import policy_case

SERVICE = 's'
# Pass time of an empty group, and the longest pause that callers accept.
EMPTY = 0.02275
GAP = 0.15
SEEDS = (17, 18)


def group_load(call_count, ranks=10, places=50, pace=1.0):
    """Build the load of a group of ranks."""
    return concurrency.GroupLoad(
        calls=call_count, ranks=ranks, slots=places, pace=pace
    )


def call_of(latency_goal=0.5, timeout=8.0, priority=1, call_id='c'):
    """Build a streaming call that arrives now."""
    now = asyncio.get_running_loop().time()
    route = configuration.Route(
        name='r',
        host='h',
        prefix='/',
        kind=configuration.RouteKind.STREAM,
        shares=(configuration.TrafficShare(SERVICE, 1),),
        timeout=timeout,
        latency_goal=latency_goal,
        priority=priority,
        gap=GAP,
    )
    return calls.Call(
        request=calls.CallRequest(
            call_id=call_id, method='POST', host='h', path='/', headers=()
        ),
        body=b'',
        route=route,
        service=SERVICE,
        organisation='',
        arrived_at=now,
        deadline=now + timeout,
        priority=priority,
    )


class FixedLimit(concurrency.ConcurrencyLimit):
    """Limit the concurrency to a number that a test sets."""

    def __init__(self, most):
        super().__init__(GAP, EMPTY)
        self.allowed = most

    def max_calls(self, group_load, now):
        return self.allowed


class ConcurrencyLimitCase(unittest.TestCase):
    def test_pass_time_per_call(self):
        """The limit follows from the pass time that each call adds."""
        limit = _limit_after(group_load(30), GAP)
        each = (GAP - EMPTY) / 30
        max_pass = GAP * concurrency.GAP_SHARE
        self.assertAlmostEqual(
            (max_pass - EMPTY) / each, limit.max_calls(group_load(30), now=1)
        )

    def test_recently_admitted_calls(self):
        """Calls admitted during a pass don't raise the limit that it yields."""
        limit = _limit_after(group_load(20), 0.1)
        before = limit.max_calls(group_load(20), now=1)
        self.assertEqual(before, limit.max_calls(group_load(40), now=1.01))

    def test_even_ranks(self):
        """Short passes on full ranks: only the number of slots limits calls."""
        most = _limit_after(group_load(50), 0.08).max_calls(
            group_load(50), now=1
        )
        self.assertEqual(50 * concurrency.OVERCOMMIT, most)

    def test_calls_queued_at_ranks(self):
        """Calls queued at a rank beyond its slots don't lengthen its passes."""
        full, waiting = (
            _limit_after(group_load(call_count), GAP).max_calls(
                group_load(call_count), now=1
            )
            for call_count in (50, 90)
        )
        self.assertEqual(full, waiting)

    def test_slow_rank(self):
        """If even empty passes are too long, there is no limit but slots."""
        slow = group_load(20, pace=8)
        most = _limit_after(slow, 0.25).max_calls(slow, now=1)
        self.assertEqual(50 * concurrency.OVERCOMMIT, most)

    def test_old_passes(self):
        """Expired pass times don't limit calls."""
        most = _limit_after(group_load(30), GAP).max_calls(
            group_load(30), now=2
        )
        self.assertEqual(50 * concurrency.OVERCOMMIT, most)

    def test_no_targets(self):
        """Without ready ranks there is no limit, so that calls are tried."""
        limit = concurrency.LatencyLimit(GAP, EMPTY)
        self.assertTrue(math.isinf(limit.max_calls(group_load(0, 0, 0), now=1)))


class QueueCase(policy_case.PausedCase):
    def test_waits_for_free_slot(self):
        """At the limit, the next call is admitted when another one ends."""
        self.run_paused(self._waits_for_free_slot())

    def test_in_time_first(self):
        """A call that can meet its goal goes before an older one that can't."""
        self.run_paused(self._in_time_first())

    def test_urgent_first(self):
        """Of two calls that can be in time, the one of higher priority goes."""
        self.run_paused(self._urgent_first())

    def test_refused_when_too_late(self):
        """A queued call is refused once its deadline can't be met any more."""
        self.run_paused(self._refused_when_too_late())

    def test_caller_left(self):
        """A call whose caller disconnects leaves the queue to another one."""
        self.run_paused(self._caller_left())

    def test_shared_by_entries(self):
        """Of six free slots, each of three entries takes only its quota."""
        self.run_paused(self._shared_by_entries())

    def test_without_others(self):
        """Without an exchange, other entries are assumed to have equal load."""
        self.run_paused(self._without_others())

    def _queue(self, limit, entries=1):
        known = targets.Targets('z', 1.0, random.Random(1))
        for number in range(10):
            known.take(
                announcements.Announcement(
                    target=str(number),
                    service=SERVICE,
                    address=f'10.0.0.{number}:80',
                    zone='z',
                    slots=5,
                )
            )
        known.set_other_loads({})
        queue = admission_control.AdmissionQueue(
            SERVICE,
            limit,
            known,
            lambda: entries,
            stop_deadline.StopDeadline(),
        )
        return known, queue

    def test_entry_without_a_call(self):
        """An entry without calls may send one above the limit, and no more."""
        self.run_paused(self._without_a_call())

    async def _without_a_call(self):
        known, queue = self._queue(FixedLimit(4), entries=3)
        known.set_other_loads({'0': outlier_detection.TargetLoad(9)})
        queue.refill()
        await queue.admit(call_of())
        known.get('1').own_calls = 1
        second = asyncio.create_task(queue.admit(call_of()))
        await asyncio.sleep(0.2)
        queue.refill()
        self.assertFalse(second.done())
        second.cancel()

    async def _waits_for_free_slot(self):
        known, queue = self._queue(FixedLimit(1))
        queue.refill()
        await queue.admit(call_of())
        known.get('0').own_calls = 1
        second = asyncio.create_task(queue.admit(call_of()))
        await asyncio.sleep(0.2)
        queue.refill()
        self.assertFalse(second.done())
        known.get('0').own_calls = 0
        queue.release()
        await second

    async def _in_time_first(self):
        done = await self._two_waiting(
            call_of(latency_goal=0.05), call_of(latency_goal=0.9)
        )
        self.assertEqual([False, True], done)

    async def _urgent_first(self):
        done = await self._two_waiting(call_of(), call_of(priority=0))
        self.assertEqual([False, True], done)

    async def _two_waiting(self, *pair):
        known, queue = self._queue(FixedLimit(1))
        known.get('0').own_calls = 1
        tasks = [asyncio.create_task(queue.admit(call)) for call in pair]
        await asyncio.sleep(0.2)
        known.get('0').own_calls = 0
        queue.release()
        await asyncio.sleep(0.01)
        done = [task.done() for task in tasks]
        for task in tasks:
            task.cancel()
        return done

    async def _refused_when_too_late(self):
        known, queue = self._queue(FixedLimit(1))
        known.get('0').own_calls = 1
        queue.record_answer(2.0)
        began = asyncio.get_running_loop().time()
        try:
            await queue.admit(call_of(timeout=5.0))
        except failures.NoRoomInTime as exc:
            self.assertGreater(exc.retry_after, 0)
        else:
            self.fail('admitted without room')
        waited = asyncio.get_running_loop().time() - began
        self.assertAlmostEqual(3.0, waited, places=2)

    async def _caller_left(self):
        known, queue = self._queue(FixedLimit(1))
        known.get('0').own_calls = 1
        tasks = [
            asyncio.create_task(queue.admit(call_of(latency_goal=latency_goal)))
            for latency_goal in (0.5, 0.6)
        ]
        await asyncio.sleep(0.01)
        tasks[0].cancel()
        await asyncio.sleep(0.01)
        self.assertEqual(1, len(queue))
        known.get('0').own_calls = 0
        queue.release()
        await tasks[1]

    async def _shared_by_entries(self):
        limit = FixedLimit(11)
        known, queue = self._queue(limit, entries=3)
        known.get('1').own_calls = 1
        known.set_other_loads({'0': outlier_detection.TargetLoad(10)})
        tasks = [asyncio.create_task(queue.admit(call_of())) for _ in range(6)]
        await asyncio.sleep(0.01)
        known.set_other_loads({'0': outlier_detection.TargetLoad(4)})
        queue.refill()
        await asyncio.sleep(0.01)
        admitted = sum(task.done() for task in tasks)
        for task in tasks:
            task.cancel()
        self.assertIn(admitted, {2, 3})

    async def _without_others(self):
        known, queue = self._queue(FixedLimit(8), entries=4)
        known.forget_others()
        known.get('0').own_calls = 2
        waiting = asyncio.create_task(queue.admit(call_of()))
        await asyncio.sleep(0.01)
        queue.refill()
        await asyncio.sleep(0.01)
        self.assertFalse(waiting.done())
        known.get('0').own_calls = 1
        queue.release()
        await waiting


class AdmissionCase(policy_case.PausedCase):
    def test_changed_configuration(self):
        """A configuration change keeps the queue and updates its limit."""
        self.run_paused(self._changed_configuration())

    async def _changed_configuration(self):
        known = targets.Targets('z', 1.0, random.Random(1))
        admission = admission_control.AdmissionControl(
            known, lambda: 1, stop_deadline.StopDeadline()
        )
        for gap in (0.15, 0.3):
            admission.learn(_configuration(gap))
        call = call_of()
        await admission.admit(call)
        admission.release(call)


class UnevenLoadCase(unittest.TestCase):
    def test_limit_on_uneven_group(self):
        """The limit doubles the streams in time of an overloaded group."""
        bounded, unbounded = (
            statistics.mean(
                heavy._play(
                    _pattern('dense_uneven'), _variant(name), seed, 4.0
                )['on_time_share']
                for seed in SEEDS
            )
            for name in ('bounded_static', 'unbounded_static')
        )
        self.assertGreater(bounded, 2 * unbounded)


def _limit_after(load, seconds):
    """Return a limit that has seen one pass of a group, up to now = 1."""
    limit = concurrency.LatencyLimit(GAP, EMPTY)
    limit.max_calls(load, now=1 - seconds)
    limit.record_pass(seconds, now=1)
    return limit


def _configuration(gap):
    route = attrs.evolve(_route(), gap=gap)
    service = configuration.Service(
        name=SERVICE, step_timing=configuration.StepTiming(empty_seconds=EMPTY)
    )
    return configuration.Configuration(
        version=int(gap * 100), routes=(route,), services=(service,)
    )


def _route():
    return configuration.Route(
        name='r',
        host='h',
        prefix='/',
        kind=configuration.RouteKind.STREAM,
        shares=(configuration.TrafficShare(SERVICE, 1),),
        timeout=8.0,
        latency_goal=0.5,
    )


def _pattern(name):
    return next(one for one in heavy.PATTERNS if one.name == name)


def _variant(name):
    return next(one for one in heavy.VARIANTS if one.name == name)


class ClosedGroupCase(policy_case.PausedCase):
    """Detect from refusals that a group makes no passes."""

    def test_closed_group(self):
        """Refusals by two targets close a group, until a piece or a timeout."""
        self.run_paused(self._closed())

    def test_full_ranks(self):
        """Refusals by full ranks don't close a group whose streams go on."""
        self.run_paused(self._full())

    async def _closed(self):
        for opens in (True, False):
            queue = self._queue()
            queue.note_refusal('0')
            self.assertFalse(queue.is_closed)
            queue.note_refusal('1')
            self.assertTrue(queue.is_closed)
            if opens:
                queue.note_piece()
            else:
                await asyncio.sleep(2 * outages.REFUSAL_WINDOW_SECONDS)
            self.assertFalse(queue.is_closed)

    async def _full(self):
        queue = self._queue()
        for target in range(20):
            queue.note_refusal(str(target))
            queue.note_piece()
            self.assertFalse(queue.is_closed)
            await asyncio.sleep(0.1)

    def _queue(self):
        known = targets.Targets('z', 1.0, random.Random(1))
        return admission_control.AdmissionQueue(
            SERVICE,
            FixedLimit(1),
            known,
            lambda: 1,
            stop_deadline.StopDeadline(),
        )
