"""Test that an entry applies the profile in force."""

import asyncio
import unittest

from bench import load
from bench.engines import batch, journal, replica
from tamarackthread.policy import routing
from tests import loopback, test_call_path

ONE_SLOT = batch.EngineOptions(step_seconds=0.002, slots=1)
DRAFT_TOKENS = 1500
HOUR_SECONDS = 3600


class HeldBatch(batch.Batch):
    """Keep the last token of a draft until it is released."""

    def __init__(self, options):
        super().__init__(options)
        self.is_released = False

    def _emit(self, call):
        is_last = call.position == DRAFT_TOKENS - 1
        if self.is_released or not is_last:
            super()._emit(call)


class ProfileCase(unittest.IsolatedAsyncioTestCase):
    async def test_new_profile_replaces_the_rules(self):
        agents = [test_call_path.engine('a')]
        async with loopback.running(agents) as (entry, caller):
            pool = entry.fleet.pool('draft')
            before = pool.admission
            view = pool.connections['a'].view
            changed = {'routing': {'policy': 'round_robin'}}
            entry.directory.apply([loopback.document('profile', 'p', changed)])
            entry.fleet.update()
            answer = await caller.chat(entry.address, test_call_path.CHAT)
            self.assertIsNot(pool.admission, before)
            self.assertIs(pool.connections['a'].view, view)
            self.assertIsInstance(
                pool._room._policy,
                routing.RoundRobin,
            )
        self.assertEqual(answer.outcome, load.Outcome.COMPLETE)

    async def test_unchanged_profile_keeps_the_queue(self):
        agents = [test_call_path.engine('a')]
        async with loopback.running(agents) as (entry, caller):
            before = entry.fleet.pool('draft').admission
            entry.fleet.update()
            self.assertIs(entry.fleet.pool('draft').admission, before)


class UrgentCase(unittest.IsolatedAsyncioTestCase):
    async def test_urgent_notice_does_not_queue_behind_a_draft(self):
        """An urgent call preempts a draft that holds the only slot, and the
        draft resumes at its position.
        """
        draft = load.Chat(prompt='a long narrative', tokens=DRAFT_TOKENS)
        notice = load.Chat(prompt='aurora now', tokens=5)
        # The draft can't end first, however slow the machine is; behind it,
        # the urgent calls would wait until their deadlines.
        held = HeldBatch(ONE_SLOT)
        emulated = replica.Replica(ONE_SLOT, journal.Journal(None))
        emulated._batch = held
        agents = [
            loopback.Agent(
                'a', emulated.application(), kind='model', service='draft'
            )
        ]
        async with loopback.running(agents) as (entry, caller):
            draft_task = asyncio.ensure_future(
                caller.chat(entry.address, draft, X_Priority='background'),
            )
            agents[0].gate.idle_seconds = HOUR_SECONDS
            while not held.running:
                await asyncio.sleep(0)
            urgent = []
            for _ in range(4):
                urgent.append(
                    asyncio.ensure_future(
                        caller.chat(
                            entry.address,
                            notice,
                            X_Priority='urgent',
                        ),
                    ),
                )
            answers = await asyncio.gather(*urgent)
            self.assertFalse(draft_task.done())
            held.is_released = True
            answer = await draft_task
        outcomes = {urgent_answer.outcome for urgent_answer in answers}
        self.assertEqual(outcomes, {load.Outcome.COMPLETE})
        self.assertEqual(answer.outcome, load.Outcome.COMPLETE)
        self.assertEqual(answer.text, load.expected_text(draft))
