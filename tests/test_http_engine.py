"""Test the handling of an engine's answers, refusals and lost answers."""

import asyncio
import json
import unittest

from aiohttp import web

from bench.engines import journal, ranked
from tamarackthread.agent import (
    engine_client,
    engine_tokens,
    http_engine,
    order_errors,
    switch_record,
)
from tamarackthread.policy import expert_map
from tamarackthread.shared import connection_reset

RECORD = switch_record.SwitchRecord(
    number=1,
    stage=switch_record.Stage.PREPARED,
    from_step=100,
    base='a',
    target='b',
)
SHAPE = expert_map.GroupShape(layers=1, experts=4, ranks=2, slots=2)


class FakeEngine:
    """Return the given answers in order and repeat the last one."""

    def __init__(self, path, *answers):
        self.app = web.Application()
        self.app.router.add_route('*', path, self._answer)
        self.requests = []
        self._answers = list(answers)

    async def _answer(self, request):
        self.requests.append(await request.text())
        answer = self._answers[0]
        if len(self._answers) > 1:
            self._answers.pop(0)
        return await answer(request)


def json_answer(body, status=200):
    async def answer(request):
        return web.json_response(body, status=status)

    return answer


def cut_refusal(is_reset):
    async def answer(request):
        request.transport.write(
            b'HTTP/1.1 409 No\r\nContent-Type: application/json\r\n'
            b'Connection: close\r\n\r\n{"reason": "too'
        )
        if is_reset:
            connection_reset.reset(request.transport)
        request.transport.close()
        return web.Response()

    return answer


def line_answer(*objects):
    async def answer(request):
        text = ''.join(f'{json.dumps(one)}\n' for one in objects)
        return web.Response(text=text)

    return answer


async def aborted_answer(request):
    request.transport.abort()
    return web.Response()


class EngineCase(unittest.IsolatedAsyncioTestCase):
    async def start_engine(self, path, *answers):
        fake = FakeEngine(path, *answers)
        runner = web.AppRunner(
            fake.app,
            access_log=None,
            handler_cancellation=True,
            shutdown_timeout=0,
        )
        await runner.setup()
        self.addAsyncCleanup(runner.cleanup)
        await web.TCPSite(runner, '127.0.0.1', 0).start()
        port = runner.addresses[0][1]
        return fake, await self.engine(f'127.0.0.1:{port}')

    async def engine(self, address):
        self.client = engine_client.EngineClient(f'http://{address}', 1)
        await self.client.start()
        self.addAsyncCleanup(self.client.stop)
        return http_engine.HttpEngine(self.client, 0)


class RecordCase(EngineCase):
    async def test_lost_answer(self):
        """A record whose answer is lost is sent again, or an armed engine
        might never get the outcome.
        """
        fake, engine = await self.start_engine(
            http_engine.RECORD_PATH,
            aborted_answer,
            json_answer({}, 503),
            json_answer({}),
        )
        await engine.apply_record(RECORD, 7)
        self.assertEqual(len(fake.requests), 3)
        sent = json.loads(fake.requests[0])
        self.assertEqual(sent['fence'], 7)
        self.assertEqual(set(fake.requests), {fake.requests[0]})

    async def test_too_late(self):
        refusal = json_answer({'reason': http_engine.TOO_LATE}, 409)
        fake, engine = await self.start_engine(http_engine.RECORD_PATH, refusal)
        with self.assertRaises(order_errors.ArmTooLate):
            await engine.apply_record(RECORD, 1)
        self.assertEqual(len(fake.requests), 1)

    async def test_refusal_that_is_cut(self):
        """Guards against a refusal whose reason was lost with its end."""
        for is_reset in (False, True):
            whole = json_answer({'reason': http_engine.TOO_LATE}, 409)
            fake, engine = await self.start_engine(
                http_engine.RECORD_PATH, cut_refusal(is_reset), whole
            )
            with self.assertRaises(order_errors.ArmTooLate):
                await engine.apply_record(RECORD, 1)
            self.assertEqual(len(fake.requests), 2)

    async def test_refused(self):
        fake, engine = await self.start_engine(
            http_engine.RECORD_PATH,
            json_answer({'reason': 'old number'}, 409),
        )
        with self.assertRaises(order_errors.EngineFailed):
            await engine.apply_record(RECORD, 1)
        self.assertEqual(len(fake.requests), 1)

    async def test_restarted_engine(self):
        """A restarted engine refuses a record until its weights are listed
        again, because it has lost those listed before.
        """
        group = ranked.RankedGroup(SHAPE, 0.01, journal.Journal(None))
        addresses = await group.start()
        self.addAsyncCleanup(group.stop)
        engine = await self.engine(addresses[0])
        await engine.loaded()
        emulated = group.group.engines[0]
        await emulated.restart(0)
        with self.assertRaises(engine_client.EngineRefused):
            await engine.apply_record(RECORD, 1)
        self.assertIsNone(emulated.record)
        await engine.loaded()
        await engine.apply_record(RECORD, 1)
        self.assertEqual(emulated.record, RECORD)


class OrderCase(EngineCase):
    async def execute(self, engine):
        self.reported = []
        return await engine.execute('set_role', '{}', 1, self.reported.append)

    async def test_progress_and_result(self):
        _, engine = await self.start_engine(
            http_engine.ORDERS_PATH,
            line_answer({'done': 0.5}, {'done': 1}, {'result': 'loaded'}),
        )
        self.assertEqual(await self.execute(engine), 'loaded')
        self.assertEqual(self.reported, [0.5, 1])

    async def test_failure(self):
        _, engine = await self.start_engine(
            http_engine.ORDERS_PATH,
            line_answer({'done': 0.5}, {'failed': 'no such model'}),
        )
        failure = order_errors.EngineFailed
        with self.assertRaisesRegex(failure, 'no such model'):
            await self.execute(engine)

    async def test_truncated_answer(self):
        _, engine = await self.start_engine(
            http_engine.ORDERS_PATH,
            line_answer({'done': 0.5}),
        )
        with self.assertRaises(engine_client.EngineSilent):
            await self.execute(engine)

    async def test_cancelled(self):
        """Cancelling an order stops it at the engine."""
        begun = asyncio.Event()
        stopped = asyncio.Event()

        async def endless(request):
            begun.set()
            try:
                await asyncio.Event().wait()
            finally:
                stopped.set()

        _, engine = await self.start_engine(http_engine.ORDERS_PATH, endless)
        work = asyncio.create_task(self.execute(engine))
        await begun.wait()
        work.cancel()
        await stopped.wait()


class AnswerCase(EngineCase):
    async def test_unreadable_status(self):
        for answer in (
            json_answer({}),
            json_answer([]),
            json_answer({'rank': 'x'}),
        ):
            _, engine = await self.start_engine(http_engine.STATUS_PATH, answer)
            with self.assertRaises(order_errors.EngineFailed):
                await engine.status()

    async def test_waits_for_a_start(self):
        """An engine without an answer is polled until it has started."""
        _, engine = await self.start_engine(
            http_engine.START_PATH,
            aborted_answer,
            json_answer({'incarnation': 3}),
            json_answer({'incarnation': 1}),
        )
        self.assertEqual(await engine.wait_started(3), 1)

    async def test_token_windows(self):
        """Windows are summed; invalid ones are skipped."""
        good = [
            {'age_ms': 2000, 'tokens': [[1, 2, 3, 4]]},
            {'age_ms': 1000, 'tokens': [[1, 1, 1, 1]]},
        ]
        bad = [{'age_ms': 1, 'tokens': [[1]]}]
        await self.start_engine(
            engine_tokens.TOKENS_PATH,
            json_answer({'sequence': 2, 'windows': good}),
            json_answer({'sequence': 3, 'windows': bad}),
            json_answer({}, 503),
        )
        source = engine_tokens.EngineTokenSource(self.client, SHAPE)
        windows = await source.windows()
        self.assertEqual(len(windows), 1)
        self.assertEqual(windows[0].tokens.tolist(), [[2, 3, 4, 5]])
        with self.assertLogs('tamarackthread.balancer'):
            self.assertEqual(await source.windows(), [])
        with self.assertLogs('tamarackthread.balancer'):
            self.assertEqual(await source.windows(), [])
