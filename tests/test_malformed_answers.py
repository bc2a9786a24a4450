"""Test that a malformed answer is none, for each reader of answers."""

from __future__ import annotations

import asyncio
import json
import unittest
from unittest import mock

from tamarackthread.agent import engine_client
from tamarackthread.agent import target as agent_target
from tamarackthread.control.site.maps import ranks
from tamarackthread.generated.messages import ttypes as messages
from tamarackthread.platform import ranks as platform_ranks
from tamarackthread.shared import http_connection, target_errors
from tests import agent_client, direct_case

OK_LINE = b'HTTP/1.1 200 OK'
# RFC 9112, section 4, and RFC 9110, section 15.
STATUS_LINES = (
    b'HTTP/1.1 000 OK',
    b'HTTP/1.1 001 OK',
    b'HTTP/1.1 099 OK',
    b'HTTP/1.1 600 OK',
    b'HTTP/1.1 999 OK',
    b'HTTP/1.1 0 OK',
    b'HTTP/1.1 20 OK',
    b'HTTP/1.1 2000 OK',
    b'HTTP/1.1 0200 OK',
    b'HTTP/1.1 -20 OK',
    b'HTTP/1.1 200OK',
    b'HTTP/1.1  200 OK',
    b'HTTP/1.1 2 0 OK',
    b'HTTP/1.1\t200 OK',
    b'HTTP/1.1 200 O\0K',
    b'HTTP/1.1 200 O\x7fK',
    b'HTTP/2.0 200 OK',
    b'HTTP/0.9 200 OK',
    b'RTSP/1.0 200 OK',
    b'ICE/1.0 200 OK',
    b'http/1.1 200 OK',
    b' HTTP/1.1 200 OK',
    # No request asks for another protocol.
    b'HTTP/1.1 101 Switching Protocols',
)
CONTROL_BYTES = tuple(bytes((code,)) for code in (*range(0x20), 0x7F))
# RFC 9110, section 5.6.2.
FORBIDDEN_IN_NAMES = (*CONTROL_BYTES, b' ', b'"', b'(', b'@', b'\x80')
# RFC 9110, section 5.5.
FORBIDDEN_IN_VALUES = tuple(
    byte for byte in CONTROL_BYTES if byte not in {b'\t', b'\n'}
)
FIELD_LINES = (
    *(b'X%bNote: 1' % byte for byte in FORBIDDEN_IN_NAMES),
    # A line break before a name ends the line before, and is none of its bytes.
    *(b'%bX-Note: 1' % byte for byte in FORBIDDEN_IN_NAMES if byte != b'\n'),
    *(b'X-Note%b: 1' % byte for byte in FORBIDDEN_IN_NAMES),
    *(b'X-Note: 1%b2' % byte for byte in FORBIDDEN_IN_VALUES),
    # A reader that repairs or skips them takes another body.
    b'Content-Length : 3',
    b'Content-Length\t: 3',
    b'Content-\0Length: 3',
    b' Content-Length: 3',
    b'Transfer-Encoding : chunked',
    b'Transfer-\x0bEncoding: chunked',
    b': 1',
    b'X-Note',
)
# After another line.
FOLDED_LINES = (b' 2', b'\t2', b' X-Note: 2', b'\tContent-Length: 3')
MALFORMED = (
    *((line,) for line in STATUS_LINES),
    *((OK_LINE, line) for line in FIELD_LINES),
    *((OK_LINE, b'X-Note: 1', line) for line in FOLDED_LINES),
)
WELL_FORMED = (
    (b'HTTP/1.0 200 OK',),
    (b'HTTP/1.1 200',),
    (b'HTTP/1.1 200 \t\xe9t\xe9',),
    (OK_LINE, b'X-Note:'),
    (OK_LINE, b'X-Note: \t1\t2 '),
    (OK_LINE, b'X-Note: \xe9\x80'),
    (OK_LINE, b"!#$%&'*+-.^_`|~09azAZ: 1"),
)
MALFORMED_CHUNKS = (
    '+5\r\nhello\r\n',
    '0x5\r\nhello\r\n',
    '\r\nhello\r\n',
    '5\0\r\nhello\r\n',
    '5;a=\1\r\nhello\r\n',
    '5\r\nhello 0\r\n\r\n',
    '0\r\nX Note: 1\r\n\r\n',
    '0\r\n: 1\r\n\r\n',
)
# No request accepts them (RFC 9112, section 7.4).
CODINGS = (
    'xchunked',
    'chunkedx',
    '"chunked"',
    'chunked;a=b',
    'gzip, chunked',
    'chunked, gzip',
    'chunked, chunked',
    'chunked\r\nTransfer-Encoding: gzip',
    'identity',
    '',
)
CHUNKED_CODINGS = ('chunked', 'Chunked', '  chunked ')
CHUNKED = b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
# More than are parsed before they are read.
MANY_CHUNKS = 20000
INTERIM = b'HTTP/1.1 102 Wait\r\n\r\n'
# A whole event, so that all kinds of calls have it for an answer.
EVENT = 'data: a\n\n'
# What ranks, engines and targets report.
REPORT = json.dumps(
    {
        'group': {
            'name': 'g',
            'epoch': 1,
            'rank': 0,
            'size': 1,
            'state': 'open',
        },
        'map': 1,
        'running': 0,
        'queued': 0,
    }
)
WHOLE_CHUNKS = f'{len(EVENT):x}\r\n{EVENT}\r\n0\r\n\r\n'


def answering(*lines, before=b'', body=EVENT, piece_bytes=0):
    """Answer with a status line and more lines of a head, in pieces if set."""

    async def script(target, head, writer):
        _, _, ids = direct_case.head_of(target, head).partition('\r\n')
        start = b'\r\n'.join((*lines, ids.encode()))
        rest = f'Content-Length: {len(body)}\r\n\r\n{body}'.encode()
        answer = before + start + rest
        size = piece_bytes or len(answer)
        for offset in range(0, len(answer), size):
            if writer.transport.is_closing():
                return
            writer.write(answer[offset : offset + size])
            await asyncio.sleep(0)

    return script


def chunking(first, end, coding='chunked'):
    """Answer with a chunk and an end, framed by a transfer coding."""

    async def script(target, head, writer):
        start = direct_case.head_of(target, head)
        answer = f'{start}Transfer-Encoding: {coding}\r\n\r\n{first}{end}'
        writer.write(answer.encode())
        if coding != 'chunked':
            # Else a reader that looks for the end of the connection finds none.
            writer.close()

    return script


def _resuming(begins, goes_on):
    """Begin a stream by one script, and resume it by another."""

    async def script(target, head, writer):
        is_resumed = direct_case.header(head, 'Last-Event-Id')
        chosen = goes_on if is_resumed else begins
        await chosen(target, head, writer)

    return script


class EntryCase(direct_case.DirectCase):
    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.target = await self.add(None)

    async def test_malformed(self):
        """Guards against a malformed head that reaches a caller."""
        for lines in MALFORMED:
            found = await self._ask_each_way(*lines)
            self.assertEqual({502}, set(found), lines)

    async def test_well_formed(self):
        """Guards against answers that are taken for malformed ones."""
        for lines in WELL_FORMED:
            found = await self._ask_each_way(*lines)
            self.assertEqual({200}, set(found), lines)

    async def test_interim_answers(self):
        """Guards against a malformed interim answer that is skipped."""
        self.serve(direct_case.ONCE, attempts=1)
        self.target._script = answering(OK_LINE, before=INTERIM)
        self.assertEqual(200, (await self.ask())[0])
        before = INTERIM.replace(b'102', b'010')
        self.target._script = answering(OK_LINE, before=before)
        self.assertEqual(502, (await self.ask())[0])

    async def test_other_target(self):
        """Guards against a malformed answer that ends a call which may repeat."""
        self.serve(direct_case.IDEMPOTENT)
        self.target._script = answering(STATUS_LINES[0])
        await self.add(direct_case.whole('ok'))
        while not self.target.heads:
            status, body, _ = await self.ask()
            self.assertEqual((200, b'ok'), (status, body))

    async def test_resumed_stream(self):
        """Guards against a malformed answer that goes on with a stream."""
        script = _resuming(
            direct_case.streaming(1, 2, is_whole=False),
            answering(STATUS_LINES[0]),
        )
        self.serve(direct_case.STREAM, is_resumable=True)
        self.target._script = script
        other = await self.add(script)
        with self.assertRaises(direct_case.aiohttp.ClientPayloadError):
            await self.ask()
        self.assertEqual([1, 1], [len(self.target.heads), len(other.heads)])

    async def _ask_each_way(self, *lines):
        """Return the statuses of a call of each kind, alone and after others."""
        found = []
        for kind in (direct_case.ONCE, direct_case.STREAM):
            self.serve(kind, attempts=1)
            found.append(await self._ask_for(answering(*lines)))
        found.append(await self._ask_for(answering(*lines, piece_bytes=1)))
        found.append(await self._ask_for(answering(*lines, before=INTERIM)))
        self.serve(direct_case.IDEMPOTENT, attempts=1)
        await self._ask_for(direct_case.whole('ok'))
        found.append(await self._ask_for(answering(*lines)))
        return found

    async def _ask_for(self, script):
        self.target._script = script
        try:
            return (await self.ask())[0]
        except direct_case.aiohttp.ClientError as exc:
            return exc


class ChunksCase(direct_case.DirectCase):
    """Send answers whose heads are well-formed and whose chunks aren't."""

    async def test_whole_answer(self):
        """Guards against a caller who waits for a body that can't go on."""
        self.serve(direct_case.IDEMPOTENT, attempts=1)
        fake = await self.add(None)
        for end in MALFORMED_CHUNKS:
            fake._script = chunking('5\r\nhello\r\n', end)
            self.assertEqual(502, (await self.ask())[0], end)

    async def test_stream(self):
        """Guards against a stream that is not resumed after malformed chunks."""
        self.serve(direct_case.STREAM, is_resumable=True)
        event = direct_case.chunk('id: 1\ndata: e1\n\n').decode()
        again = direct_case.streaming(1, 2, is_whole=True)
        for end in MALFORMED_CHUNKS:
            scripts = iter((chunking(event, end), again))

            async def script(*request, scripts=scripts):
                await next(scripts)(*request)

            fakes = [await self.add(script), await self.add(script)]
            _, body, _ = await self.ask()
            self.assertEqual(
                b'id: 1\ndata: e1\n\nid: 2\ndata: e2\n\n', body, end
            )
            for fake in fakes:
                self.known.mark_gone(self.known.get(fake.name))


class CodingsCase(direct_case.DirectCase):
    async def test_codings(self):
        """Guards against chunks, or what was encoded, as a caller's body."""
        fake = await self.add(None)
        for kind in (direct_case.ONCE, direct_case.STREAM):
            self.serve(kind, attempts=1)
            for coding in CODINGS:
                fake._script = chunking(WHOLE_CHUNKS, '', coding)
                self.assertEqual(502, (await self.ask())[0], coding)
                self.assertFalse(self.sender._foreign_until, coding)
            for coding in CHUNKED_CODINGS:
                fake._script = chunking(WHOLE_CHUNKS, '', coding)
                _, body, _ = await self.ask()
                self.assertEqual(EVENT.encode(), body, coding)


class PausedReaderCase(unittest.IsolatedAsyncioTestCase):
    async def test_chunks_after_a_pause(self):
        """Guards against a slow reader who never learns of malformed chunks."""
        chunks = MANY_CHUNKS * '1\r\nx\r\n'
        for end in MALFORMED_CHUNKS:
            loop = asyncio.get_running_loop()
            protocol = http_connection.AnswerProtocol(loop)
            transport = mock.Mock(spec=asyncio.Transport)
            protocol.connection_made(transport)
            protocol.set_response_params()
            protocol.data_received(CHUNKED + f'{chunks}{end}'.encode())
            transport.pause_reading.assert_called()
            _, body = await protocol.read()
            received = 0
            with self.assertRaises(direct_case.aiohttp.ClientPayloadError):
                while piece := body.read_nowait():
                    received += len(piece)
            self.assertLessEqual(received, MANY_CHUNKS)


class OtherReadersCase(unittest.IsolatedAsyncioTestCase):
    """Ask ranks, engines and an agent's target with malformed answers."""

    async def test_ranks(self):
        """Guards against an order that passes for done or refused by no status."""
        client = platform_ranks.PlatformRanks()
        self.addAsyncCleanup(client.close)
        order = ranks.Order(
            operation=ranks.HOLD, epoch=1, fence=1, timeout_seconds=60
        )
        whole = ranks.Rank('t', await self._start((OK_LINE,)))
        self.assertIsNotNone(await client.report(whole))
        self.assertEqual(ranks.Outcome.DONE, await client.order(whole, order))
        for lines in MALFORMED:
            rank = ranks.Rank('t', await self._start(lines))
            self.assertIsNone(await client.report(rank), lines)
            outcome = await client.order(rank, order)
            self.assertEqual(ranks.Outcome.UNKNOWN, outcome, lines)

    async def test_engines(self):
        """Guards against an agent that takes a malformed answer of its engine."""
        found = await self._ask_engine((OK_LINE,))
        self.assertEqual(json.loads(REPORT), found)
        for lines in MALFORMED:
            with self.assertRaises(engine_client.EngineSilent, msg=lines):
                await self._ask_engine(lines)

    async def test_agents(self):
        """Guards against an agent that passes a malformed answer on."""
        await self._ask_target((OK_LINE,), _send_call)
        for lines in MALFORMED:
            with self.assertRaises(target_errors.TargetBroke, msg=lines):
                await self._ask_target(lines, _send_call)

    async def test_load_reports(self):
        """Guards against an agent that takes a malformed load report."""
        report = agent_target.TargetClient.load
        await self._ask_target((OK_LINE,), report)
        for lines in MALFORMED:
            with self.assertRaises(target_errors.TargetSilent, msg=lines):
                await self._ask_target(lines, report)

    async def _ask_engine(self, lines):
        address = await self._start(lines)
        client = engine_client.EngineClient(f'http://{address}', 9)
        await client.start()
        try:
            return await client.ask('GET', '/', seconds=60)
        finally:
            await client.stop()

    async def _ask_target(self, lines, ask):
        async with agent_client.asking(await self._start(lines)) as client:
            return await ask(client)

    async def _start(self, lines):
        """Start a target whose answers begin with these lines."""
        script = answering(*lines, body=REPORT)
        target = direct_case.FakeTarget('t', script)
        self.addCleanup(target.close)
        return await target.start()


async def _send_call(client):
    opening = messages.OpenCall(
        call_id=b'c', idempotent=True, method='POST', path='/'
    )
    return await client.send_call(opening, b'', 9)
