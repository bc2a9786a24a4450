"""Test that an answer that broke off on an agent's way is not taken for whole."""

import asyncio
import unittest

import aiohttp
from aiohttp import web

from bench import load
from tamarackthread.shared import connection_reset
from tests import loopback

EVENT = b'data: {"choices": [{"delta": {"content": "x"}}]}\n\n'
STREAM_HEAD = b'Content-Type: text/event-stream\r\n'
NO_RESUME = {'resume': {'enabled': False}}  # noqa: WPS407  sent as JSON


def sending(body, *, head=STREAM_HEAD, is_reset=False, is_silent=False):
    """Answer with neither a length nor chunks, then end the connection."""

    async def answer(request):
        transport = request.transport
        transport.write(
            b'HTTP/1.1 200 OK\r\n%bConnection: close\r\n\r\n%b' % (head, body)
        )
        if is_reset:
            connection_reset.reset(transport)
        if not is_silent:
            transport.close()
        await asyncio.Event().wait()

    return answer


def agent_of(answer, kind):
    app = web.Application()
    app.router.add_get(
        '/load',
        lambda request: web.json_response(
            {'running': 0, 'queued': 0, 'batch_slots': 8}
        ),
    )
    app.router.add_route('*', '/{path:.*}', answer)
    service = 'draft' if kind == 'model' else 'stock'
    return loopback.Agent('a', app, kind=kind, service=service)


class ResetCase(unittest.IsolatedAsyncioTestCase):
    async def test_reset_does_not_end_an_answer(self):
        """Guards against a reset answer that counts as complete."""
        agent = agent_of(sending(b'half', head=b'', is_reset=True), 'plain')
        async with loopback.running([agent]) as (entry, caller):
            answer = await caller.plain(entry.address, 'POST', '/stock', 'x')
        self.assertEqual(load.Outcome.MAY_HAVE_RUN, answer.outcome)

    async def test_cut_answer_is_not_recorded(self):
        """Guards against a cut answer that a keyed call's retry is given."""
        agent = agent_of(sending(b'half', head=b'', is_reset=True), 'plain')
        async with loopback.running([agent]) as (entry, caller):
            for _ in range(2):
                answer = await caller.plain(
                    entry.address, 'POST', '/stock', 'x', Idempotency_Key='k'
                )
                self.assertEqual(load.Outcome.MAY_HAVE_RUN, answer.outcome)

    async def test_silence_does_not_end_an_answer(self):
        """Guards against a silent target whose answer counts as complete."""
        agent = agent_of(sending(b'half', head=b'', is_silent=True), 'plain')
        async with loopback.running([agent]) as (entry, caller):
            agent.gate.idle_seconds = 0.05
            answer = await caller.plain(entry.address, 'POST', '/stock', 'x')
        self.assertEqual(load.Outcome.MAY_HAVE_RUN, answer.outcome)

    async def test_closed_answer_is_whole(self):
        """Guards against a whole answer without a length that is broken."""
        agent = agent_of(sending(b'all of it', head=b''), 'plain')
        async with loopback.running([agent]) as (entry, caller):
            answer = await caller.plain(entry.address, 'POST', '/stock', 'x')
        self.assertEqual('all of it', answer.text)


class PlainStreamCase(unittest.IsolatedAsyncioTestCase):
    """Event streams of services that send no closing event."""

    async def test_stream_closed_inside_an_event(self):
        """Guards against a cut stream that counts as complete."""
        cut = sending(b'data: a\n\ndata: b')
        async with loopback.running([agent_of(cut, 'plain')]) as (
            entry,
            caller,
        ):
            with self.assertRaises(aiohttp.ClientError):
                await self.read(entry, caller)

    async def test_whole_streams(self):
        """Guards against a whole stream that is changed or broken off."""
        for body in (b'data: a\r\n\r\n', b'data: a\r\r', b': c\n', b''):
            agent = agent_of(sending(body), 'plain')
            async with loopback.running([agent]) as (entry, caller):
                self.assertEqual(body, await self.read(entry, caller))

    async def read(self, entry, caller):
        url = f'http://{entry.address}/stock'
        headers = {'Authorization': f'Bearer {loopback.TOKEN}'}
        async with caller._session.get(url, headers=headers) as response:
            return await response.read()


class OldCallerCase(unittest.IsolatedAsyncioTestCase):
    async def test_cut_stream(self):
        """Guards against a cut stream that an HTTP/1.0 caller takes for whole."""
        agent = agent_of(sending(EVENT), 'model')
        async with loopback.running([agent], NO_RESUME) as (entry, _):
            reader = await self.ask(entry, '/v1/completions')
            with self.assertRaises(ConnectionResetError):
                await reader.read()

    async def test_whole_stream(self):
        """Guards against a stream whose HTTP/1.0 caller waits for its end."""
        body = b'%bdata: [DONE]\n\n' % EVENT
        agent = agent_of(sending(body), 'model')
        async with loopback.running([agent], NO_RESUME) as (entry, _):
            reader = await self.ask(entry, '/v1/completions')
            self.assertTrue((await reader.read()).endswith(body))

    async def ask(self, entry, path):
        host, _, port = entry.address.rpartition(':')
        reader, writer = await asyncio.open_connection(host, int(port))
        self.addCleanup(writer.close)
        body = '{"prompt": "x", "stream": true}'
        writer.write(
            f'POST {path} HTTP/1.0\r\nConnection: keep-alive\r\n'
            f'Authorization: Bearer {loopback.TOKEN}\r\n'
            f'Content-Length: {len(body)}\r\n\r\n{body}'.encode()
        )
        return reader
