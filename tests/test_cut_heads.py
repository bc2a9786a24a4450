"""Test that an answer whose head was cut is no answer, at each byte."""

from __future__ import annotations

import types
import unittest

import aiohttp

from tamarackthread.shared import connection_reset, http_connection
from tests import direct_case

# What comes before the end of a head, by the framing of the body.
FRAMINGS = types.MappingProxyType(
    {
        'length': 'Content-Length: 5\r\n\r\n',
        'no body': 'Content-Length: 0\r\n\r\n',
        'chunks': 'Transfer-Encoding: chunked\r\n\r\n',
        'connection': 'Connection: close\r\n\r\n',
    }
)
INTERIM = 'HTTP/1.1 100 Continue\r\n\r\n'


def cutting(framing, size, *, before='', is_reset=False):
    """Send so many bytes of a head, then end the connection."""

    async def script(target, head, writer):
        answer = direct_case.head_of(target, head) + FRAMINGS[framing]
        assert size < len(answer)
        writer.write(f'{before}{answer[:size]}'.encode())
        if is_reset:
            await writer.drain()
            connection_reset.reset(writer.transport)
        writer.close()

    return script


def cuts(framing):
    """List the numbers of bytes at which a head of these tests can be cut."""
    head = direct_case.ANSWER.format(id='c1', name='t1')
    return range(len(head + FRAMINGS[framing]))


class EntryCase(direct_case.DirectCase):
    async def test_each_byte(self):
        """Guards against a cut head that reaches a caller as a whole answer."""
        fake = await self.add(None)
        kinds = {
            'length': direct_case.ONCE,
            'no body': direct_case.IDEMPOTENT,
            'chunks': direct_case.STREAM,
            'connection': direct_case.STREAM,
        }
        for framing, kind in kinds.items():
            self.serve(kind, attempts=1)
            for size in cuts(framing):
                fake._script = cutting(framing, size)
                self.assertEqual(502, (await self.ask())[0], size)

    async def test_other_ends(self):
        """Guards against cut heads after interim answers, and resets."""
        fake = await self.add(None)
        self.serve(direct_case.IDEMPOTENT, attempts=1)
        for size in cuts('length'):
            fake._script = cutting('length', size, before=INTERIM)
            self.assertEqual(502, (await self.ask())[0], size)
            fake._script = cutting('length', size, is_reset=True)
            self.assertEqual(502, (await self.ask())[0], size)

    async def test_kept_connection(self):
        """Guards against a cut head on a connection that had answers before."""
        fake = await self.add(None)
        self.serve(direct_case.IDEMPOTENT, attempts=1)
        for size in cuts('length'):
            fake._script = direct_case.whole('ok')
            self.assertEqual(200, (await self.ask())[0])
            fake._script = cutting('length', size)
            self.assertEqual(502, (await self.ask())[0], size)


class ReaderCase(unittest.IsolatedAsyncioTestCase):
    """The reader that agents, orders to ranks and load reports share."""

    async def test_each_byte(self):
        """Guards against a reader that takes a cut head for an answer."""
        for framing in FRAMINGS:
            for size in cuts(framing):
                with self.assertRaises(aiohttp.ClientError):
                    await self._ask(cutting(framing, size))

    async def _ask(self, script):
        target = direct_case.FakeTarget('t1', script)
        url = f'http://{await target.start()}/'
        session = http_connection.new_session({'force_close': True})
        try:
            async with session.post(
                url, headers={'Attempt-Id': 'c1'}
            ) as answer:
                await answer.read()
        finally:
            await session.close()
            target.close()
