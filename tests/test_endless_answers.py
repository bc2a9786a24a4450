"""Test that bytes without end from a target cost a bounded number of bytes."""

from __future__ import annotations

import asyncio
import types
import unittest
from unittest import mock

from tamarackthread.agent import engine_client, order_errors
from tamarackthread.agent import target as agent_target
from tamarackthread.control.site.maps import ranks
from tamarackthread.entry.direct import target_client
from tamarackthread.platform import ranks as platform_ranks
from tamarackthread.shared import byte_budget, events, target_errors
from tests import agent_client, direct_case

MEBIBYTE = 1 << 20
# More than any reader accepts with the bounds of these tests.
SPOUT_BYTES = 64 * MEBIBYTE
PIECE_BYTES = 64 << 10
MANY = 12
OK = 'HTTP/1.1 200 OK\r\n'
LONG = 'Content-Length: 999999999999\r\n\r\n'
CHUNKED = 'Transfer-Encoding: chunked\r\n\r\n'
# Where an answer goes on without end: what comes before, and what is repeated.
# ``{ids}`` stands for the headers that a target sends.
PLACES = types.MappingProxyType(
    {
        'status line': ('HTTP/1.1 200 ', 'a'),
        'header': (f'{OK}{{ids}}X: ', 'a'),
        'headers': (f'{OK}{{ids}}', 'X: a\r\n'),
        'interim answers': ('', 'HTTP/1.1 102 Wait\r\n\r\n'),
        'length': (f'{OK}{{ids}}{LONG}', 'a'),
        'unframed': (f'{OK}{{ids}}\r\n', 'a'),
        'chunks': (f'{OK}{{ids}}{CHUNKED}', '5\r\nabcde\r\n'),
        'chunk size': (f'{OK}{{ids}}{CHUNKED}', '0'),
        'chunk extension': (f'{OK}{{ids}}{CHUNKED}5;', 'a'),
        'trailers': (f'{OK}{{ids}}{CHUNKED}0\r\n', 'X: a\r\n'),
        'after an answer': (f'{OK}{{ids}}Content-Length: 0\r\n\r\n', 'a'),
        'no answer': ('', 'a'),
    }
)


async def spout(writer, start, repeated):
    """Write without end, until the reader closes the connection."""
    writer.write(start.encode())
    piece = repeated.encode() * (PIECE_BYTES // len(repeated))
    written = 0
    try:
        while written < SPOUT_BYTES:
            writer.write(piece)
            await writer.drain()
            written += len(piece)
    except OSError:
        return written
    return written


class Spouts:
    """Answer every request without end, at one place of an answer."""

    def __init__(self, place):
        start, repeated = PLACES[place]
        self.start = start
        self.repeated = repeated
        self.written = []

    async def script(self, target, head, writer):
        ids = direct_case.head_of(target, head).partition('\r\n')[2]
        await self._spout(writer, ids)

    async def serve(self, reader, writer):
        """Answer a rank's or an engine's requests."""
        try:
            head = (await reader.readuntil(b'\r\n\r\n')).decode()
            call_id = direct_case.header(head, 'X-Call-Id')
            await self._spout(writer, f'X-Call-Id: {call_id}\r\n')
        except asyncio.IncompleteReadError:
            return

    async def _spout(self, writer, ids):
        start = self.start.replace('{ids}', ids)
        self.written.append(await spout(writer, start, self.repeated))
        writer.close()


class EntryCase(direct_case.DirectCase):
    async def asyncSetUp(self):
        self.enterContext(
            mock.patch.multiple(
                target_client,
                MAX_ANSWER_BYTES=MEBIBYTE,
                MAX_HELD_BYTES=4 * MEBIBYTE,
            )
        )
        self.enterContext(
            mock.patch.object(events, 'MAX_EVENT_BYTES', MEBIBYTE)
        )
        await super().asyncSetUp()

    async def test_each_place(self):
        """Guards against an answer that is read until a memory limit."""
        self.serve(direct_case.ONCE)
        for place in PLACES:
            with self.subTest(place=place):
                statuses, spouts = await self._ask_many(place, 1)
                expected = 200 if place == 'after an answer' else 502
                self.assertEqual([expected], statuses, place)
                self.assertLess(spouts.written[0], SPOUT_BYTES)

    async def test_many_at_once(self):
        """Guards against many endless answers that share no bound."""
        self.serve(direct_case.ONCE)
        peak = 0
        change = byte_budget.ByteBudget.change

        def watched(budget, before, after):
            nonlocal peak
            change(budget, before, after)
            peak = max(peak, budget.held_bytes)

        with mock.patch.object(byte_budget.ByteBudget, 'change', watched):
            statuses, _ = await self._ask_many('length', MANY)
        self.assertEqual({502}, set(statuses))
        self.assertLessEqual(peak, target_client.MAX_HELD_BYTES)
        self.assertEqual(0, self.sender._held_bytes.held_bytes)

    async def test_endless_event(self):
        """Guards against an event of a stream that is kept until its end."""
        self.serve(direct_case.STREAM)
        statuses, spouts = await self._ask_many('unframed', 1)
        self.assertNotEqual([200], statuses)
        self.assertLess(spouts.written[0], SPOUT_BYTES)

    async def test_one_byte_at_a_time(self):
        """Guards against a slow answer that is read past its call's deadline."""
        self.serve(direct_case.ONCE)
        for place in ('headers', 'chunks', 'length'):
            with self.subTest(place=place):
                fake = await self.add(_slow_script(place))
                status = (await self.ask(left='150'))[0]
                self.assertIn(status, {502, 504})
                await fake.closed.wait()
                self.known.mark_gone(self.known.get(fake.name))

    async def _ask_many(self, place, count):
        spouts = Spouts(place)
        fake = await self.add(spouts.script)
        found = await asyncio.gather(
            *(self._status(f'c{number}') for number in range(count))
        )
        while len(spouts.written) < count:
            await asyncio.sleep(0)
        self.known.mark_gone(self.known.get(fake.name))
        return found, spouts

    async def _status(self, call_id):
        headers = {'Attempt-Id': call_id, 'left': '60000'}
        try:
            return (await self.ask(**headers))[0]
        except (OSError, ValueError, direct_case.aiohttp.ClientError):
            # A stream that has begun is broken off.
            return 0


def _slow_script(place):
    """Write one byte after the other, until the reader closes."""

    async def script(target, head, writer):
        start, repeated = PLACES[place]
        ids = direct_case.head_of(target, head).partition('\r\n')[2]
        writer.write(start.replace('{ids}', ids).encode())
        while not writer.transport.is_closing():
            for byte in repeated.encode():
                writer.write(bytes((byte,)))
                await writer.drain()
                await asyncio.sleep(0)
        target.closed.set()

    return script


class OtherReadersCase(unittest.IsolatedAsyncioTestCase):
    """Ask ranks, engines and an agent's target, of which each spouts."""

    async def test_ranks(self):
        """Guards against a rank whose answer fills a control host's memory."""
        client = platform_ranks.PlatformRanks()
        self.addAsyncCleanup(client.close)
        order = ranks.Order(
            operation=ranks.HOLD, epoch=1, fence=1, timeout_seconds=60
        )
        with mock.patch.object(ranks, 'ANSWER_TIMEOUT_SECONDS', 60):
            async for place, address in self._spouting():
                rank = ranks.Rank('t', address)
                self.assertIsNone(await client.report(rank), place)
                if place != 'after an answer':
                    outcome = await client.order(rank, order)
                    self.assertEqual(ranks.Outcome.UNKNOWN, outcome, place)

    async def test_engines(self):
        """Guards against an engine whose answer fills an agent's memory."""
        with mock.patch.object(engine_client, 'ASK_SECONDS', 60):
            async for place, address in self._spouting():
                client = engine_client.EngineClient(f'http://{address}', 9)
                await client.start()
                with self.assertRaises(order_errors.EngineFailed, msg=place):
                    await client.ask('GET', '/', seconds=60)
                await client.stop()

    async def test_load_reports(self):
        """Guards against a target whose load report fills an agent's memory."""
        with mock.patch.object(agent_target, 'LOAD_TIMEOUT_SECONDS', 60):
            async for place, address in self._spouting():
                with self.assertRaises(target_errors.TargetSilent, msg=place):
                    await _load(address)

    async def _spouting(self):
        """Yield each place and the address that spouts there."""
        for place in PLACES:
            spouts = Spouts(place)
            server = await asyncio.start_server(spouts.serve, '127.0.0.1', 0)
            host, port = server.sockets[0].getsockname()
            with self.subTest(place=place):
                yield place, f'{host}:{port}'
                while not spouts.written:
                    await asyncio.sleep(0)
                self.assertLess(max(spouts.written), SPOUT_BYTES)
            server.close()


async def _load(address):
    async with agent_client.asking(address) as client:
        return await client.load()
