"""Test over real sockets that a keyed call runs at most once."""

import asyncio
import contextlib
import unittest

import aiohttp
from aiohttp import web

from bench import load
from tamarackthread.control import failures
from tamarackthread.generated.messages import ttypes as messages
from tests import shards, loopback

State = messages.ClaimState
Outcome = load.Outcome


class Orders:
    """A target that accepts orders and can hold or cut its responses."""

    def __init__(self):
        self.started = []
        self.begun = asyncio.Event()
        self.free = asyncio.Event()
        self.free.set()
        self.status = 201
        self.cut = False

    def application(self):
        app = web.Application()
        app.router.add_get('/load', self._load)
        app.router.add_route('*', '/{path:.*}', self._book)
        return app

    async def _load(self, request):
        return web.json_response({'running': 0, 'queued': 0})

    async def _book(self, request):
        body = await request.text()
        self.started.append(body)
        self.begun.set()
        # As a real target, complete the order after a disconnect too.
        await asyncio.shield(self.free.wait())
        if self.cut:
            request.transport.abort()
            await asyncio.Event().wait()
        return web.json_response({'booked': body}, status=self.status)


@contextlib.asynccontextmanager
async def two_entries(*targets):
    """Run two entries with the same shards in front of the targets."""
    agents = [
        loopback.Agent(f'target-{number}', target.application())
        for number, target in enumerate(targets)
    ]
    async with loopback.running(agents) as (first, caller):
        second = loopback.Entry('entry-2', first.shards)
        await second.start(agents)
        try:
            yield first, second, caller, agents
        finally:
            for target in targets:
                target.free.set()
            await second.stop()


def order(caller, entry, body='starter feed', **headers):
    """Send an order with an idempotency key."""
    headers = {'Idempotency_Key': 'order-7', **headers}
    return caller.plain(entry.address, 'POST', '/stock', body, **headers)


def state(entry):
    return shards.find(entry.shards, 'o', 'order-7')


def kill(entry, request=None):
    """Stop an entry as if its process was killed."""
    entry.shard_links.is_dead = True
    entry.keyed.run_in_background = lambda work: work.close()
    entry.peers.close()
    if request is not None:
        request.cancel()


def remove_targets(entry, agents):
    """Remove all targets from an entry's configuration."""
    entry.directory.apply(
        messages.Document(kind='target', name=agent.name, body='')
        for agent in agents
    )
    entry.fleet.update()


async def wait_for_state(entry, wanted):
    """Wait until the key's claim is in a state."""
    while state(entry) is None or state(entry).state != wanted:
        await asyncio.sleep(0.001)


class SecondTryCase(unittest.IsolatedAsyncioTestCase):
    async def test_after_the_answer(self):
        """Guards against a second run through another entry."""
        target = Orders()
        async with two_entries(target) as (first, second, caller, _):
            answered = await order(caller, first)
            await wait_for_state(first, State.COMPLETE)
            again = await order(caller, second)
        self.assertEqual(answered.outcome, Outcome.COMPLETE)
        self.assertEqual((again.status, again.text), (201, answered.text))
        self.assertEqual(again.headers['X-Tamarackthread-Replayed'], 'true')
        self.assertEqual(target.started, ['starter feed'])

    async def test_while_it_runs(self):
        """Guards against a second run while the first is in progress."""
        target = Orders()
        target.free.clear()
        async with two_entries(target) as (first, second, caller, _):
            request = asyncio.ensure_future(order(caller, first))
            await target.begun.wait()
            again = asyncio.ensure_future(order(caller, second))
            while 'claim' not in second.shard_links.requests:
                await asyncio.sleep(0)
            target.free.set()
            texts = {(await request).text, (await again).text}
        self.assertEqual(len(texts), 1)
        self.assertEqual(target.started, ['starter feed'])

    async def test_key_of_another_order(self):
        target = Orders()
        async with two_entries(target) as (first, second, caller, _):
            await order(caller, first)
            reused = await order(caller, second, body='sow feed')
        self.assertEqual((reused.status, reused.code), (422, 'TT4502'))
        self.assertEqual(target.started, ['starter feed'])

    async def test_refusal_after_a_run_may_have_run(self):
        """Guards against 'not run' for a completed key without targets."""
        target = Orders()
        async with two_entries(target) as (first, second, caller, agents):
            await order(caller, first)
            await wait_for_state(first, State.COMPLETE)
            remove_targets(second, agents)
            again = await order(caller, second, X_Deadline_Ms='300')
        self.assertEqual(again.outcome, Outcome.MAY_HAVE_RUN)

    async def test_stopping_entry_looks_the_key_up(self):
        """Guards against 'not run' from a stopping entry for a used key."""
        target = Orders()
        async with two_entries(target) as (first, second, caller, _):
            await order(caller, first)
            second.front.refuse_calls()
            again = await order(caller, second)
            key = {'Idempotency_Key': 'order-8'}
            fresh = await order(caller, second, **key)
            unkeyed = await caller.plain(second.address, 'POST', '/stock')
        self.assertEqual(again.outcome, Outcome.MAY_HAVE_RUN)
        self.assertEqual({again.code, fresh.code}, {'TT7008'})
        self.assertEqual(fresh.outcome, Outcome.REFUSED)
        self.assertEqual(unkeyed.outcome, Outcome.REFUSED)

    async def test_refusal_of_a_fresh_key_is_not_run(self):
        target = Orders()
        async with two_entries(target) as (first, _, caller, agents):
            remove_targets(first, agents)
            refused = await order(caller, first, X_Deadline_Ms='300')
        self.assertEqual(refused.outcome, Outcome.REFUSED)
        self.assertEqual(target.started, [])


class DeathCase(unittest.IsolatedAsyncioTestCase):
    async def test_entry_dies_before_hand_over(self):
        """Guards against a lost call if its entry dies before the handover."""
        target = Orders()
        async with two_entries(target) as (first, second, caller, _):
            claimed = asyncio.Event()
            claim = first.claims.claim

            async def claim_and_hang(claimant, handover):
                reply = await claim(claimant, handover)
                claimed.set()
                await asyncio.Event().wait()
                return reply

            first.claims.claim = claim_and_hang
            request = asyncio.ensure_future(order(caller, first))
            await claimed.wait()
            kill(first, request)
            again = await order(caller, second)
        self.assertEqual(again.outcome, Outcome.COMPLETE)
        self.assertEqual(target.started, ['starter feed'])

    async def test_entry_dies_while_it_runs(self):
        """Guards against a second run if the entry dies after the handover."""
        target = Orders()
        target.free.clear()
        async with two_entries(target) as (first, second, caller, _):
            request = asyncio.ensure_future(order(caller, first))
            await target.begun.wait()
            kill(first, request)
            again = asyncio.ensure_future(order(caller, second))
            while 'lookup' not in second.shard_links.requests:
                await asyncio.sleep(0)
            target.free.set()
            answered = await again
        self.assertEqual((answered.status, answered.code), (201, ''))
        self.assertEqual(target.started, ['starter feed'])

    async def test_entry_dies_before_it_records_the_answer(self):
        target = Orders()
        async with two_entries(target) as (first, second, caller, _):
            first.keyed.run_in_background = lambda work: work.close()
            answered = await order(caller, first)
            kill(first)
            again = await order(caller, second)
        self.assertEqual((again.status, again.text), (201, answered.text))
        self.assertEqual(target.started, ['starter feed'])

    async def test_target_dies_while_it_runs(self):
        """Guards against a second run after a target dropped the call."""
        targets = (Orders(), Orders())
        for target in targets:
            target.cut = True
        async with two_entries(*targets) as (first, second, caller, _):
            lost = await order(caller, first)
            again = await order(caller, second)
        self.assertEqual(lost.outcome, Outcome.MAY_HAVE_RUN)
        self.assertEqual(again.outcome, Outcome.MAY_HAVE_RUN)
        started = targets[0].started + targets[1].started
        self.assertEqual(started, ['starter feed'])

    async def test_agent_dies_while_it_runs(self):
        """Guards against 'not run' if the agent dies with a running call."""
        target = Orders()
        target.free.clear()
        async with two_entries(target) as (first, second, caller, agents):
            limits = {'X_Deadline_Ms': '4000'}
            request = asyncio.ensure_future(order(caller, first, **limits))
            await target.begun.wait()
            agents[0].listener.close()
            again = await order(caller, second, **limits)
            lost = await request
        self.assertEqual(lost.outcome, Outcome.MAY_HAVE_RUN)
        self.assertEqual(again.outcome, Outcome.MAY_HAVE_RUN)
        self.assertEqual(target.started, ['starter feed'])

    async def test_caller_leaves_while_it_runs(self):
        target = Orders()
        target.free.clear()
        async with two_entries(target) as (first, second, caller, _):
            request = asyncio.ensure_future(order(caller, first))
            await target.begun.wait()
            request.cancel()
            again = asyncio.ensure_future(order(caller, second))
            while 'lookup' not in second.shard_links.requests:
                await asyncio.sleep(0)
            target.free.set()
            answered = await again
        self.assertEqual(answered.outcome, Outcome.COMPLETE)
        self.assertEqual(target.started, ['starter feed'])


def drop_first_call(agent, lost):
    """Return a ``serve`` that closes the link at the first call of all."""
    serve = agent.gate.serve

    async def drop(call, opening):
        if lost:
            await serve(call, opening)
            return
        lost.append(opening.target)
        for held in agent.listener.links:
            held.close('broken on the way')

    return drop


class LostLinkCase(unittest.IsolatedAsyncioTestCase):
    async def test_link_breaks_while_it_runs(self):
        """Guards against a lost response if the link breaks during a call."""
        target = Orders()
        target.free.clear()
        async with two_entries(target) as (first, _, caller, agents):
            request = asyncio.ensure_future(order(caller, first))
            await target.begun.wait()
            for held in agents[0].listener.links:
                held.close('broken on the way')
            while 'lookup' not in first.shard_links.requests:
                await asyncio.sleep(0)
            target.free.set()
            answered = await request
        self.assertEqual((answered.status, answered.code), (201, ''))
        self.assertEqual(target.started, ['starter feed'])

    async def test_link_breaks_before_the_agent_read_the_call(self):
        """Guards against 'may have run' for a call that its agent seals."""
        targets = (Orders(), Orders())
        async with two_entries(*targets) as (first, _, caller, agents):
            lost = []
            for agent in agents:
                agent.gate.serve = drop_first_call(agent, lost)
            answered = await order(caller, first)
        self.assertEqual(len(lost), 1)
        self.assertEqual((answered.status, answered.code), (201, ''))
        started = targets[0].started + targets[1].started
        self.assertEqual(started, ['starter feed'])


class KeylessCase(unittest.IsolatedAsyncioTestCase):
    def send(self, caller, entry):
        return caller.plain(entry.address, 'POST', '/stock', 'starter feed')

    async def test_link_breaks_while_it_runs(self):
        """Guards against a lost response of a call without a key."""
        target = Orders()
        target.free.clear()
        async with two_entries(target) as (first, _, caller, agents):
            request = asyncio.ensure_future(self.send(caller, first))
            await target.begun.wait()
            for held in agents[0].listener.links:
                held.close('broken on the way')
            target.free.set()
            answered = await request
        self.assertEqual((answered.status, answered.code), (201, ''))
        self.assertEqual(target.started, ['starter feed'])

    async def test_link_breaks_before_the_agent_read_the_call(self):
        """Guards against a lost or doubled call without a key."""
        targets = (Orders(), Orders())
        async with two_entries(*targets) as (first, _, caller, agents):
            lost = []
            for agent in agents:
                agent.gate.serve = drop_first_call(agent, lost)
            answered = await self.send(caller, first)
        self.assertEqual(len(lost), 1)
        self.assertEqual((answered.status, answered.code), (201, ''))
        started = targets[0].started + targets[1].started
        self.assertEqual(started, ['starter feed'])

    async def test_target_dies_while_it_runs(self):
        targets = (Orders(), Orders())
        for target in targets:
            target.cut = True
        async with two_entries(*targets) as (first, _, caller, _):
            lost = await self.send(caller, first)
        self.assertEqual(lost.outcome, Outcome.MAY_HAVE_RUN)
        started = targets[0].started + targets[1].started
        self.assertEqual(started, ['starter feed'])


class RefusedCase(unittest.IsolatedAsyncioTestCase):
    async def test_leaving_target_moves_the_claim(self):
        targets = (Orders(), Orders())
        async with two_entries(*targets) as (first, _, caller, agents):
            agents[0].gate._leaving = True
            for number in range(4):
                key = {'Idempotency_Key': f'order-{number}'}
                answer = await order(caller, first, **key)
                self.assertEqual(answer.outcome, Outcome.COMPLETE)
        self.assertEqual(targets[0].started, [])
        self.assertEqual(len(targets[1].started), 4)

    async def test_refused_order_may_be_sent_again(self):
        """Guards against a claim that is not released after a refusal."""
        target = Orders()
        async with two_entries(target) as (first, second, caller, agents):
            agents[0].gate._leaving = True
            refused = await order(caller, first, X_Deadline_Ms='500')
            self.assertEqual(state(first).state, State.RELEASED)
            agents[0].gate._leaving = False
            answered = await order(caller, second)
        self.assertEqual(refused.outcome, Outcome.REFUSED)
        self.assertEqual(answered.outcome, Outcome.COMPLETE)
        self.assertEqual(target.started, ['starter feed'])

    async def test_shard_without_quorum(self):
        """Guards against a handover without a recorded claim."""
        target = Orders()
        async with two_entries(target) as (first, _, caller, _):
            for shard in first.shards.values():
                shard.group.failure = failures.NotLeader()
            refused = await order(caller, first, X_Deadline_Ms='300')
        self.assertEqual(refused.outcome, Outcome.MAY_HAVE_RUN)
        self.assertEqual(target.started, [])

    async def test_lookup_and_keyless_order_claim_nothing(self):
        target = Orders()
        async with two_entries(target) as (first, _, caller, _):
            key = {'Idempotency_Key': 'order-7'}
            await caller.plain(first.address, 'GET', '/stock', **key)
            await caller.plain(first.address, 'POST', '/stock', 'feed')
            self.assertEqual(first.shard_links.requests, [])
        self.assertEqual(len(target.started), 2)


class ErrorAnswerCase(unittest.IsolatedAsyncioTestCase):
    async def test_error_of_the_target_is_an_answer_too(self):
        target = Orders()
        target.status = 409
        async with two_entries(target) as (first, second, caller, _):
            answers = [await order(caller, first)]
            await wait_for_state(first, State.COMPLETE)
            answers.append(await order(caller, second))
        self.assertEqual({answer.status for answer in answers}, {409})
        self.assertEqual(len(target.started), 1)
        self.assertIsInstance(answers[0], load.Answer)
        self.assertTrue(aiohttp.hdrs.CONTENT_TYPE in answers[1].headers)
