"""Test that a request that was broken off is not taken for whole."""

import asyncio
import unittest
from unittest import mock

from tamarackthread.platform import http_api, wire
from tamarackthread.shared import connection_reset
from tests import direct_case, loopback, test_call_path

BODY = '{"version": 7}'
# Each lacks the end of its body: bytes of its length, or its last chunk.
CUT_BODIES = (
    f'Content-Length: {len(BODY) + 1}\r\n\r\n{BODY}',
    f'Transfer-Encoding: chunked\r\n\r\n{len(BODY):x}\r\n{BODY}\r\n',
)
CUT_REQUESTS = tuple(
    (body, is_reset) for body in CUT_BODIES for is_reset in (False, True)
)


async def send_cut(address, path, *headers):
    """Send requests that are cut, each on a connection of its own."""
    host, _, port = address.rpartition(':')
    for body, is_reset in CUT_REQUESTS:
        reader, writer = await asyncio.open_connection(host, int(port))
        lines = (f'POST {path} HTTP/1.1', 'Host: h.example', *headers, body)
        writer.write('\r\n'.join(lines).encode())
        await writer.drain()
        if is_reset:
            connection_reset.reset(writer.transport)
            continue
        writer.write_eof()
        await reader.read()
        writer.close()


class DirectCase(direct_case.DirectCase):
    async def test_cut_call_goes_nowhere(self):
        """Guards against a call that a target gets without its end."""
        self.serve(direct_case.ONCE)
        fake = await self.add(direct_case.measuring)
        await send_cut(
            self.address,
            '/a/b',
            'Attempt-Id: c1',
            'Authorization: Bearer secret',
        )
        await self.ask(body=b'whole')
        while self.front.open_calls:
            await asyncio.sleep(0)
        self.assertEqual(1, len(fake.heads))


class RelayedCase(unittest.IsolatedAsyncioTestCase):
    async def test_cut_call_goes_nowhere(self):
        """Guards against a call that an agent gets without its end."""
        booking = test_call_path.Booking()
        agent = loopback.Agent('a', booking.application())
        async with loopback.running([agent]) as (entry, caller):
            token = f'Authorization: Bearer {loopback.TOKEN}'
            await send_cut(entry.address, '/stock', token)
            await caller.plain(entry.address, 'POST', '/stock', 'whole')
            while entry.front.open_calls:
                await asyncio.sleep(0)
        self.assertEqual(['whole'], booking.started)


class OperatorCase(unittest.IsolatedAsyncioTestCase):
    async def test_cut_configuration_is_not_taken(self):
        """Guards against a configuration that was not sent to its end."""
        server = http_api.PlatformApi()
        site = mock.AsyncMock()
        address = await server.open('127.0.0.1:0', site, None, None)
        with self.assertLogs('aiohttp.server'):
            await send_cut(address, wire.REPLACE)
            await server.close()
        site.replace.assert_not_called()
