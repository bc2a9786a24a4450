"""Test admission, fair queueing and retry times under overload."""

import asyncio
import random

from tamarackthread.policy import (
    buckets,
    calls,
    fairness,
    migration,
    preemption,
    queue_rates,
    refusals,
    retries,
)
from tests import policy_case

HOLD = 0.1


class TestAdmission(policy_case.PausedCase):
    """Test admission, queueing and refusals on a virtual clock."""

    async def serve(self, admission, call, seconds=HOLD):
        ticket = await admission.submit(call)
        await asyncio.sleep(seconds)
        ticket.release()
        return asyncio.get_running_loop().time()

    def start(self, admission, count, **fields):
        return [
            asyncio.create_task(
                self.serve(admission, policy_case.call(**fields)),
            )
            for _ in range(count)
        ]

    def test_urgent_passes_full_queue(self):
        """Guards against urgent calls that wait behind queued ones."""

        async def scenario():
            admission = policy_case.build_admission([policy_case.view('t')])
            drafts = self.start(admission, 12)
            await asyncio.sleep(0)
            urgent = self.start(admission, 1, priority=calls.Priority.URGENT)
            ended = await urgent[0]
            self.assertAlmostEqual(ended, 2 * HOLD, places=2)
            await asyncio.gather(*drafts)

        self.run_paused(scenario())

    def test_large_organisation_waits_behind_itself(self):
        """Guards against one organisation starving another."""

        async def scenario():
            admission = policy_case.build_admission([policy_case.view('t')])
            flood = self.start(admission, 16, organisation='large')
            await asyncio.sleep(0)
            small = self.start(admission, 1, organisation='small')
            self.assertAlmostEqual(await small[0], 2 * HOLD, places=2)
            await asyncio.gather(*flood)

        self.run_paused(scenario())

    def test_refused_at_once(self):
        """Guards against excess calls that are refused only after a wait."""

        async def scenario():
            admission = policy_case.build_admission([policy_case.view('t')])
            loop = asyncio.get_running_loop()
            admitted = self.start(admission, 200)
            await asyncio.sleep(0.001)
            refused = [task for task in admitted if task.done()]
            self.assertLess(loop.time(), 0.01)
            self.assertGreater(len(refused), 150)
            times = [task.exception().retry_after for task in refused]
            self.assertGreater(min(times), 0)
            kept = [waiting for waiting in admitted if not waiting.done()]
            outcomes = await asyncio.gather(*kept, return_exceptions=True)
            self.assertFalse(
                [found for found in outcomes if isinstance(found, Exception)],
            )

        self.run_paused(scenario())

    def test_lost_target_sheds_queue(self):
        """Guards against holding calls until expiry after targets are lost."""

        async def scenario():
            views = [policy_case.view(f't-{rank}') for rank in range(4)]
            admission = policy_case.build_admission(views)
            tasks = self.start(admission, 70, deadline=3.0)
            await asyncio.sleep(0.001)
            for view in views[1:]:
                view.load.report(policy_case.report(1, leaving=True), 0.001)
            queued = admission.queued
            await asyncio.sleep(0.3)
            self.assertGreater(queued, 15)
            self.assertLess(admission.queued, queued / 2)
            await asyncio.gather(*tasks, return_exceptions=True)

        self.run_paused(scenario())

    def test_caller_leaves_as_it_is_admitted(self):
        """Guards against leaking the slot of a call cancelled on admission."""

        async def scenario():
            admission = policy_case.build_admission([policy_case.view('t')])
            holders = [
                await admission.submit(policy_case.call()) for _ in range(4)
            ]
            waiting = self.start(admission, 2)
            await asyncio.sleep(0)
            holders[0].release()
            waiting[0].cancel()
            waiting[1].cancel()
            await asyncio.gather(*waiting, return_exceptions=True)
            for holder in holders:
                holder.release()
            self.assertEqual((admission.running, admission.queued), (0, 0))
            await admission.submit(policy_case.call())

        self.run_paused(scenario())

    def test_preempts_newest_draft(self):
        """Guards against urgent calls that wait for running background ones."""

        async def scenario():
            admission = policy_case.build_admission(
                [policy_case.view('t')],
                preempt=preemption.LowestPriorityFirst(),
            )
            drafts = []
            for _ in range(4):
                background = policy_case.call(
                    priority=calls.Priority.BACKGROUND, answer_tokens=50
                )
                drafts.append(await admission.submit(background))
                await asyncio.sleep(0.01)
            drafts[3].advance(5)
            urgent = self.start(admission, 1, priority=calls.Priority.URGENT)
            await drafts[3].preempted.wait()
            self.assertFalse(drafts[0].preempted.is_set())
            drafts[3].release()
            await urgent[0]
            resumed = drafts[3].resumed
            self.assertEqual(
                (resumed.resume_offset, resumed.answer_tokens), (5, 45)
            )
            self.assertTrue(resumed.bypasses_queue)

        self.run_paused(scenario())

    def test_slow_target_does_not_refuse_for_others(self):
        """Guards against a refusal because the only free target is stalled."""

        async def scenario():
            good, bad = policy_case.view('good'), policy_case.view('bad')
            bad.load.report(policy_case.report(1, step_ms=500.0), 0)
            admission = policy_case.build_admission([good, bad])
            fields = {'deadline': 1.5, 'answer_tokens': 20}
            tasks = self.start(admission, 5, **fields)
            ended = await asyncio.gather(*tasks)
            self.assertAlmostEqual(max(ended), 2 * HOLD, places=2)

        self.run_paused(scenario())

    def test_late_stream_asks_to_move(self):
        """Guards against streams left to end late on a stalled target."""

        async def scenario():
            budget = retries.RetryBudget(retries.RetrySettings(), 0)
            admission = policy_case.build_admission(
                [policy_case.view(f't-{rank}') for rank in range(5)],
                move=migration.MigrateLateStreams(budget),
            )
            fields = {'deadline': 3.0, 'answer_tokens': 100}
            stream = await admission.submit(
                policy_case.call(idempotent=True, **fields)
            )
            order = await admission.submit(policy_case.call(**fields))
            for _ in range(10):
                await asyncio.sleep(0.1)
                stream.advance(2)
                order.advance(2)
            self.assertTrue(stream.preempted.is_set())
            self.assertFalse(order.preempted.is_set())
            self.assertIn(stream.target, stream.resumed.excluded)

        self.run_paused(scenario())

    def test_cap_and_hopeless_deadline(self):
        async def scenario():
            portions = buckets.Portions()
            portions.set_cap('capped', safe_rate=2.0, now=0)
            admission = policy_case.build_admission(
                [policy_case.view('t')], portions=portions
            )
            capped = policy_case.call(organisation='capped')
            for _ in range(2):
                await admission.submit(capped)
            refused = await asyncio.gather(
                admission.submit(capped), return_exceptions=True
            )
            self.assertIsInstance(refused[0], refusals.ShareExceeded)
            self.assertAlmostEqual(refused[0].retry_after, 0.5)
            with self.assertRaises(refusals.DeadlineTooClose):
                await admission.submit(policy_case.call(deadline=0.001))

        self.run_paused(scenario())

    def test_long_prompt_is_served(self):
        """Guards against always refusing prompts with a long prefill."""

        async def scenario():
            admission = policy_case.build_admission([policy_case.view('t')])
            await self.start(admission, 1, prompt_tokens=100_000)[0]

        self.run_paused(scenario())

    def test_no_target(self):
        async def scenario():
            with self.assertRaises(refusals.NoTarget):
                await policy_case.build_admission([]).submit(policy_case.call())

        self.run_paused(scenario())


class TestFairQueue(policy_case.PausedCase):
    """Test the order of service and its estimate."""

    def fill(self, queue, weights, count):
        for flow, weight in weights.items():
            for _ in range(count):
                entry = fairness.Entry(flow, flow, rank=1, cost=1)
                queue.push(entry, weight)

    def served(self, queue, count):
        order = []
        for _ in range(count):
            entry = queue.head()
            queue.dequeue(entry)
            order.append(entry.flow)
        return order

    def test_weights(self):
        queue = fairness.FairQueue()
        self.fill(queue, {'a': 3, 'b': 1}, 40)
        order = self.served(queue, 40)
        self.assertAlmostEqual(order.count('a'), 30, delta=1)

    def test_unserved_items_cost_nothing(self):
        queue = fairness.FairQueue()
        self.fill(queue, {'a': 1, 'b': 1}, 20)
        for entry in queue.first(40):
            if entry.flow == 'a' and entry.sequence % 2:
                queue.remove(entry)
        self.assertAlmostEqual(self.served(queue, 16).count('a'), 8, delta=1)

    def test_ahead_matches_service(self):
        queue = fairness.FairQueue()
        self.fill(queue, {'a': 1, 'b': 2}, 10)
        expected = queue.cost_ahead('a', 1, rank=1)
        last = fairness.Entry('last', 'a', rank=1, cost=1)
        queue.push(last, 1)
        turns = 0
        while queue.head() is not last:
            queue.dequeue(queue.head())
            turns += 1
        self.assertAlmostEqual(turns, expected, delta=1)


class TestRetryTimes(policy_case.PausedCase):
    """Test how retries are spread over time."""

    def test_not_all_at_once(self):
        """Guards against a retry storm of refused calls."""
        times = queue_rates.RetrySchedule(random.Random(policy_case.SEED))
        found = [
            times.reserve('a', cost=1, rate=10, wait=0.2, now=0)
            for _ in range(100)
        ]
        for second in range(8):
            within = [back for back in found if second <= back < second + 1]
            self.assertLessEqual(len(within), 14)
        other = times.reserve('b', cost=1, rate=10, wait=0.2, now=0)
        self.assertLess(other, 0.5)
