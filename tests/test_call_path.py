"""Test what callers get when the path to the target fails."""

import asyncio
import unittest

from aiohttp import web

from bench import load
from bench.engines import batch, journal, plain, replica
from tests import loopback

QUICK = batch.EngineOptions(step_seconds=0.001)
CHAT = load.Chat(prompt='two sows, one barn', tokens=40)


class Booking:
    """A plain target that records the calls it started."""

    def __init__(self, answer=None):
        self.started = []
        self._answer = answer

    def application(self):
        app = web.Application()
        app.router.add_get('/load', self._load)
        app.router.add_route('*', '/{path:.*}', self._book)
        return app

    async def _load(self, request):
        report = {'running': 0, 'queued': 0, 'batch_slots': 8}
        return web.json_response(report)

    async def _book(self, request):
        self.started.append(await request.text())
        if self._answer is not None:
            return await self._answer(request)
        return web.json_response({'booked': self.started[-1]})


def engine(name, options=QUICK):
    emulated = replica.Replica(options, journal.Journal(None))
    app = emulated.application()
    return loopback.Agent(name, app, kind='model', service='draft')


async def cut(request):
    request.transport.abort()
    await asyncio.Event().wait()


class SuccessCase(unittest.IsolatedAsyncioTestCase):
    async def test_stream_is_complete(self):
        async with loopback.running([engine('a')]) as (entry, caller):
            answer = await caller.chat(entry.address, CHAT)
        self.assertEqual(answer.outcome, load.Outcome.COMPLETE)
        self.assertEqual(answer.text, load.expected_text(CHAT))

    async def test_plain_call_runs_once(self):
        service = plain.PlainService(journal.Journal(None), 0)
        agent = loopback.Agent('s', service.application())
        async with loopback.running([agent]) as (entry, caller):
            answer = await caller.plain(
                entry.address,
                'POST',
                '/stock/order',
                'feed',
            )
        self.assertEqual(answer.outcome, load.Outcome.COMPLETE)
        self.assertIn('feed', answer.text)

    async def test_unknown_credential_and_path(self):
        async with loopback.running([]) as (entry, caller):
            wrong = await caller.plain(entry.address, 'GET', '/nowhere')
            caller._token = 'other'
            unknown = await caller.plain(entry.address, 'GET', '/stock')
        self.assertEqual((wrong.status, wrong.code), (404, 'TT7002'))
        self.assertEqual((unknown.status, unknown.code), (401, 'TT7001'))


class LostCallCase(unittest.IsolatedAsyncioTestCase):
    async def test_lost_after_hand_over_is_not_repeated(self):
        """Guards against a retry of a call that may have run."""
        first = Booking(cut)
        second = Booking(cut)
        agents = [
            loopback.Agent('a', first.application()),
            loopback.Agent('b', second.application()),
        ]
        async with loopback.running(agents) as (entry, caller):
            answer = await caller.plain(
                entry.address,
                'POST',
                '/stock/order',
                'feed',
            )
        self.assertEqual(answer.outcome, load.Outcome.MAY_HAVE_RUN)
        self.assertEqual(len(first.started) + len(second.started), 1)

    async def test_lookup_is_repeated_elsewhere(self):
        """Guards against a failed idempotent call if a target breaks."""
        broken = Booking(cut)
        sound = Booking()
        agents = [
            loopback.Agent('a', broken.application()),
            loopback.Agent('b', sound.application()),
        ]
        async with loopback.running(agents) as (entry, caller):
            answers = [
                await caller.plain(entry.address, 'GET', '/stock')
                for _ in range(4)
            ]
        outcomes = {answer.outcome for answer in answers}
        self.assertEqual(outcomes, {load.Outcome.COMPLETE})
        self.assertTrue(broken.started)

    async def test_lost_attempt_makes_the_call_may_have_run(self):
        """Guards against 'not run' from a refusal after a lost attempt."""
        broken = Booking(cut)
        agents = [loopback.Agent('a', broken.application())]
        async with loopback.running(agents) as (entry, caller):

            async def cut_and_leave(request):
                agents[0].gate.set_leaving()
                await cut(request)

            broken._answer = cut_and_leave
            answer = await caller.plain(entry.address, 'GET', '/stock')
        self.assertTrue(broken.started)
        self.assertEqual(answer.outcome, load.Outcome.MAY_HAVE_RUN)

    async def test_deadline_after_hand_over_may_have_run(self):
        """Guards against 'not run' if the deadline ends a running call."""

        async def never_respond(request):
            await asyncio.Event().wait()

        booking = Booking(never_respond)
        agents = [loopback.Agent('a', booking.application())]
        async with loopback.running(agents) as (entry, caller):
            answer = await caller.plain(
                entry.address,
                'POST',
                '/stock',
                'feed',
                X_Deadline_Ms='300',
            )
        self.assertEqual(answer.code, 'TT7009')
        self.assertEqual(answer.outcome, load.Outcome.MAY_HAVE_RUN)


class LeavingCase(unittest.IsolatedAsyncioTestCase):
    async def test_leaving_target_gets_no_new_call(self):
        """Guards against failed calls while a target drains."""
        leaving = Booking()
        staying = Booking()
        agents = [
            loopback.Agent('a', leaving.application()),
            loopback.Agent('b', staying.application()),
        ]
        async with loopback.running(agents) as (entry, caller):
            agents[0].gate._leaving = True
            for number in range(6):
                answer = await caller.plain(
                    entry.address,
                    'POST',
                    '/stock',
                    str(number),
                )
                self.assertEqual(answer.outcome, load.Outcome.COMPLETE)
        self.assertEqual(leaving.started, [])
        self.assertEqual(len(staying.started), 6)

    async def test_leaving_agent_waits_for_its_streams(self):
        async with loopback.running([engine('a')]) as (entry, caller):
            agent = entry.fleet.connection('draft', 'a')
            self.assertTrue(agent.is_linked)
            request = asyncio.ensure_future(
                caller.chat(entry.address, CHAT),
            )
            while not agent.view.load.own_calls:
                await asyncio.sleep(0)
            agent.current_link.notify(loopback.messages.Request())
            answer = await request
        self.assertEqual(answer.outcome, load.Outcome.COMPLETE)


class BrokenStreamCase(unittest.IsolatedAsyncioTestCase):
    async def test_stream_resumes_on_another_target(self):
        """Guards against lost or repeated tokens after a lost agent."""
        agents = [engine('a'), engine('b')]
        long = load.Chat(prompt='go on', tokens=400)
        async with loopback.running(agents) as (entry, caller):
            request = asyncio.ensure_future(caller.chat(entry.address, long))
            busy = [agent for agent in agents if agent.gate.open_calls]
            while not busy:
                await asyncio.sleep(0)
                busy = [agent for agent in agents if agent.gate.open_calls]
            for _ in range(200):
                await asyncio.sleep(0)
            busy[0].listener.close()
            answer = await request
        self.assertEqual(answer.outcome, load.Outcome.COMPLETE)
        self.assertEqual(answer.text, load.expected_text(long))

    async def test_break_without_resume_is_visible(self):
        """Guards against a truncated stream that looks complete."""

        async def send_half(request):
            response = web.StreamResponse(
                headers={'Content-Type': 'text/event-stream'},
            )
            await response.prepare(request)
            token = '{"choices": [{"delta": {"content": "x"}}]}'
            await response.write(f'data: {token}\n\n'.encode())
            await response.write_eof()
            return response

        target = Booking(send_half)
        agent = loopback.Agent(
            'a',
            target.application(),
            kind='model',
            service='draft',
        )
        profile = {'resume': {'enabled': False}}
        async with loopback.running([agent], profile) as (entry, caller):
            answer = await caller.chat(entry.address, CHAT)
        self.assertEqual(answer.outcome, load.Outcome.BROKEN)
        self.assertTrue(target.started)
