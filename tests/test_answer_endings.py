"""Test that no answer that was broken off is taken for whole."""

import asyncio
import itertools
import types
import unittest
from unittest import mock

import aiohttp

from tamarackthread.shared import (
    byte_budget,
    connection_reset,
    response_body,
)
from tamarackthread.shared.site import site_metrics
from tests import direct_case

HALF = 'id: 1\ndata: e1\n\nid: 2\ndata: e'
# Long enough that the target has begun to answer, on a busy machine too.
SILENT_MS = '800'
UNFRAMED = response_body.Framing.CONNECTION
FRAMINGS = types.MappingProxyType(
    {
        response_body.Framing.LENGTH: 'Content-Length: {size}\r\n\r\n',
        response_body.Framing.CHUNKS: 'Transfer-Encoding: chunked\r\n\r\n',
        UNFRAMED: 'Connection: close\r\n\r\n',
    }
)


def ending(framing, text, *, is_reset=False, missing=0, headers=''):
    """Send a body and end the connection ``missing`` bytes before its end."""

    async def script(target, head, writer):
        start = direct_case.head_of(target, head) + headers
        start += FRAMINGS[framing].format(size=len(text) + missing)
        body = text.encode()
        if framing is response_body.Framing.CHUNKS:
            body = direct_case.chunk(text) if text else b''
            body += b'' if missing else b'0\r\n\r\n'
        writer.write(start.encode() + body)
        await writer.drain()
        if is_reset:
            connection_reset.reset(writer.transport)
        writer.close()

    return script


def pausing(text, read):
    """Send an event and end the stream once it was read."""

    async def script(target, head, writer):
        start = direct_case.head_of(target, head)
        writer.write(f'{start}Connection: close\r\n\r\n{text}'.encode())
        await read.wait()
        writer.close()

    return script


def numbered(last):
    """Return a stream of numbered events."""
    return ''.join(f'id: {no}\ndata: e{no}\n\n' for no in range(1, last + 1))


class SightCase(direct_case.DirectCase):
    async def test_failed_try_tells_how_its_answer_ended(self):
        """Guards against a broken answer whose log line says nothing of it."""
        self.serve(direct_case.STREAM)
        await self.add(ending(UNFRAMED, HALF, is_reset=True))
        logged = self.enterContext(self.assertLogs('tamarackthread.entry'))
        before = self.counted('connection', 'reset')
        with self.assertRaises(aiohttp.ClientError):
            await self.ask()
        tries = [row for row in logged.records if row.event == 'try_failed']
        fields = tries[0].fields
        self.assertEqual('connection', fields['framing'])
        self.assertEqual('reset', fields['ending'])
        self.assertEqual(len(HALF), fields['body_bytes'])
        self.assertEqual(1, fields['events'])
        self.assertEqual(13, fields['partial_event_bytes'])
        self.assertEqual(before + 1, self.counted('connection', 'reset'))

    def counted(self, framing, how):
        counter = site_metrics.ANSWERS_ENDED.labels('s', framing, how)
        return counter._value.get()


class CutStreamCase(direct_case.DirectCase):
    async def test_stream_closed_inside_an_event_is_broken_visibly(self):
        """Guards against a cut stream that its caller takes for complete."""
        self.serve(direct_case.STREAM)
        await self.add(ending(UNFRAMED, HALF))
        with self.assertRaises(aiohttp.ClientError):
            await self.ask()

    async def test_stream_closed_inside_an_event_is_resumed(self):
        """Guards against a cut stream that is not resumed elsewhere."""
        self.serve(direct_case.STREAM, is_resumable=True)
        await self.add(ending(UNFRAMED, HALF))
        second = await self.add(
            direct_case.streaming(1, 3, is_whole=True), zone='far'
        )
        answer = await self.ask()
        self.assertEqual((200, numbered(3).encode()), answer[:2])
        self.assertEqual(
            '1', direct_case.header(second.heads[0], 'Last-Event-Id')
        )

    async def test_each_framing_cut_inside_an_event(self):
        """Guards against a cut stream whose framing says that it is whole."""
        self.serve(direct_case.STREAM)
        await self.add(None)
        cases = itertools.product(FRAMINGS, (False, True), (0, 5))
        for framing, is_reset, missing in cases:
            self.fakes[0]._script = ending(
                framing, HALF, is_reset=is_reset, missing=missing
            )
            with self.assertRaises(aiohttp.ClientError):
                await self.ask()


class PlainAnswerCase(direct_case.DirectCase):
    async def test_each_framing_and_ending(self):
        """Guards against a cut plain answer that its caller takes for whole."""
        await self.add(None)
        cases = itertools.product(
            (direct_case.ONCE, direct_case.IDEMPOTENT),
            FRAMINGS,
            (False, True),
            (0, 5),
        )
        for kind, framing, is_reset, missing in cases:
            is_whole = not missing
            if framing is UNFRAMED:
                is_whole = not is_reset
            self.serve(kind)
            self.fakes[0]._script = ending(
                framing, 'text', is_reset=is_reset, missing=missing
            )
            with self.subTest(kind=kind, framing=framing, reset=is_reset):
                answer = await self.ask()
                self.assertEqual(200 if is_whole else 502, answer[0])
                self.assertEqual(is_whole, answer[1] == b'text')

    async def test_events_on_other_routes(self):
        """Guards against a cut stream on a route that isn't for streams."""
        await self.add(None)
        head = 'Content-Type: text/event-stream; charset=utf-8\r\n'
        cases = itertools.product(
            (direct_case.ONCE, direct_case.IDEMPOTENT),
            FRAMINGS,
            ((HALF, 502), ('id: 1\r\ndata: a\r\n\r\n', 200), ('', 200)),
        )
        for kind, framing, (text, status) in cases:
            self.serve(kind)
            self.fakes[0]._script = ending(framing, text, headers=head)
            with self.subTest(kind=kind, framing=framing, text=text):
                self.assertEqual(status, (await self.ask())[0])

    async def test_silence(self):
        """Guards against an answer that a deadline ends as if it were whole."""
        await self.add(pausing('id: 1\ndata: a\n\n', asyncio.Event()))
        for kind in (direct_case.ONCE, direct_case.IDEMPOTENT):
            self.serve(kind)
            self.assertEqual(504, (await self.ask(left=SILENT_MS))[0])
        self.serve(direct_case.STREAM)
        with self.assertRaises(aiohttp.ClientError):
            await self.ask(left=SILENT_MS)


class ResumedStreamCase(direct_case.DirectCase):
    async def test_event_that_was_cut_must_follow(self):
        """Guards against an end that skips the event that was cut before."""
        self.serve(direct_case.STREAM, is_resumable=True)
        await self.add(ending(UNFRAMED, HALF))
        await self.add(ending(UNFRAMED, ''), zone='far')
        with self.assertRaises(aiohttp.ClientError):
            await self.ask()

    async def test_nothing_left_to_send(self):
        """Guards against a whole stream that is broken as it is resumed."""
        self.serve(direct_case.STREAM, is_resumable=True)
        for text in (numbered(2), f'{numbered(2)}: cut'):
            first = await self.add(ending(UNFRAMED, text, is_reset=True))
            last = await self.add(ending(UNFRAMED, ''), zone='far')
            answer = await self.ask(path=f'/a/{len(text)}')
            self.assertEqual((200, numbered(2).encode()), answer[:2])
            for fake in (first, last):
                self.known.mark_gone(self.known.get(fake.name))


class WholeStreamCase(direct_case.DirectCase):
    async def test_whole_stream_stays_whole(self):
        """Guards against a whole stream that is changed or broken off."""
        self.serve(direct_case.STREAM)
        texts = (
            'id: 1\r\ndata: a\r\n\r\nid: 2\r\ndata: b\r\n\r\n',
            'id: 1\rdata: a\r\rid: 2\rdata: b\r\r',
            'data: a\n\ndata: b\n\n',
            ': first\n\nid: 1\ndata: a\n\n: last\n',
            '\n',
            '',
        )
        for number, text in enumerate(texts):
            for framing in FRAMINGS:
                with self.subTest(framing=framing, text=text):
                    self.replace(ending(framing, text))
                    answer = await self.ask(path=f'/a/{number}')
                    self.assertEqual((200, text.encode()), answer[:2])

    async def test_other_content_on_a_streaming_route_is_whole(self):
        """Guards against a document that counts as a cut event."""
        self.serve(direct_case.STREAM)
        self.replace(
            ending(UNFRAMED, '{}', headers='Content-Type: application/json\r\n')
        )
        self.assertEqual((200, b'{}'), (await self.ask())[:2])

    async def test_events_are_passed_on_as_they_arrive(self):
        """Guards against events that are held back in some line endings."""
        self.serve(direct_case.STREAM)
        for text in ('data: a\n\n', 'data: a\r\n\r\n', 'data: a\r\r', ': a\n'):
            with self.subTest(text):
                read = asyncio.Event()
                self.replace(pausing(text, read))
                response = await self.requested()
                await response.content.readuntil(b'a')
                read.set()
                await response.read()

    async def test_stream_with_comments_is_resumed(self):
        """Guards against comments that count as events without an id."""
        self.serve(direct_case.STREAM, is_resumable=True)
        self.replace(
            ending(
                response_body.Framing.CHUNKS, f': hello\n\n{HALF}', missing=1
            )
        )
        await self.add(direct_case.streaming(1, 3, is_whole=True), zone='far')
        wanted = f': hello\n\n{numbered(3)}'
        self.assertEqual((200, wanted.encode()), (await self.ask())[:2])

    async def asyncSetUp(self):
        await super().asyncSetUp()
        await self.add(None)

    async def requested(self):
        return await self.session.post(
            f'http://{self.address}/a/b',
            headers={
                'Host': direct_case.HOST,
                'Attempt-Id': 'c1',
                'Deadline-Ms': '5000',
                'Authorization': 'Bearer secret',
            },
        )

    def replace(self, script):
        self.fakes[0]._script = script


class KeptConnectionCase(direct_case.DirectCase):
    async def test_cut_stream_after_a_whole_one(self):
        """Guards against a cut stream that ends with a last chunk."""
        self.serve(direct_case.STREAM)
        chunks = response_body.Framing.CHUNKS
        fake = await self.add(ending(chunks, numbered(1)))
        host, _, port = self.address.rpartition(':')
        reader, writer = await asyncio.open_connection(host, int(port))
        self.addCleanup(writer.close)
        request = (
            f'POST /a/b HTTP/1.1\r\nHost: {direct_case.HOST}\r\n'
            'Attempt-Id: c\r\nAuthorization: Bearer secret\r\n'
            'Content-Length: 0\r\n\r\n'
        )
        writer.write(request.encode())
        await reader.readuntil(b'\r\n0\r\n\r\n')
        fake._script = ending(UNFRAMED, HALF)
        writer.write(request.encode())
        answer = await reader.read()
        self.assertTrue(answer.endswith(b'id: 1\ndata: e1\n\n\r\n'))


class OldCallerCase(direct_case.DirectCase):
    """Callers that speak HTTP/1.0, to which nothing is sent in chunks."""

    async def test_whole_stream(self):
        """Guards against streams that fail for HTTP/1.0 callers."""
        self.serve(direct_case.STREAM)
        await self.add(direct_case.streaming(1, 3, is_whole=True))
        for header in ('', 'Connection: keep-alive\r\n'):
            head, body = await self.read_old(header)
            self.assertIn(b' 200 ', head)
            self.assertNotIn(b'Transfer-Encoding', head)
            self.assertEqual(numbered(3).encode(), body)

    async def test_cut_stream(self):
        """Guards against a cut stream that an HTTP/1.0 caller takes for whole."""
        self.serve(direct_case.STREAM)
        await self.add(direct_case.streaming(1, 3, is_whole=False))
        with self.assertRaises(ConnectionResetError):
            await self.read_old()

    async def test_entry_stops(self):
        """Guards against a stop that ends a stream as if it were whole."""
        self.serve(direct_case.STREAM)
        await self.add(pausing('data: a\n\n', asyncio.Event()))
        reader, _ = await self.ask_old()
        await reader.readuntil(b'data: a\n\n')
        await self.front.stop()
        with self.assertRaises(ConnectionResetError):
            await reader.read()

    async def ask_old(self, header=''):
        host, _, port = self.address.rpartition(':')
        reader, writer = await asyncio.open_connection(host, int(port))
        self.addCleanup(writer.close)
        writer.write(
            f'POST /a/b HTTP/1.0\r\nHost: {direct_case.HOST}\r\n{header}'
            'Attempt-Id: c\r\nAuthorization: Bearer secret\r\n'
            'Content-Length: 0\r\n\r\n'.encode()
        )
        return reader, writer

    async def read_old(self, header=''):
        reader, _ = await self.ask_old(header)
        return (await reader.read()).split(b'\r\n\r\n', 1)


class UnseenEndCase(unittest.IsolatedAsyncioTestCase):
    async def test_end_that_was_not_seen(self):
        """Guards against a lost connection whose end counts as regular."""
        released = mock.Mock(
            status=200, method='POST', headers={}, connection=None
        )
        released.content.readany = mock.AsyncMock(side_effect=(b'half', b''))
        budget = byte_budget.ByteBudget(99, 99)
        with self.assertRaises(aiohttp.ClientPayloadError):
            await response_body.read_whole(released, budget)
