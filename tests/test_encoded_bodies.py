"""Test that encoded bodies of requests are passed on byte for byte."""

from __future__ import annotations

import asyncio
import gzip
import unittest
import zlib

from aiohttp import web

from tests import direct_case, loopback

TEXT = b'ration order ' * 400
# Codings and bodies, of which some aren't what the coding says.
BODIES = (
    ('gzip', gzip.compress(TEXT)),
    ('deflate', zlib.compress(TEXT)),
    ('gzip', b'not packed'),
    ('gzip', gzip.compress(TEXT)[:-9]),
    ('br', b'\x0b\x02\x80packed\x03'),
    ('zstd', TEXT),
    ('x-own', TEXT),
)


async def send(address, path, coding, body, token):
    """Send a request as it is; return the first line of the answer."""
    host, _, port = address.rpartition(':')
    reader, writer = await asyncio.open_connection(host, int(port))
    head = (
        f'POST {path} HTTP/1.1',
        f'Host: {direct_case.HOST}',
        'Attempt-Id: c1',
        f'Authorization: Bearer {token}',
        'Connection: close',
        f'Content-Encoding: {coding}',
        f'Content-Length: {len(body)}',
    )
    writer.write('\r\n'.join((*head, '', '')).encode() + body)
    line = await reader.readline()
    writer.close()
    return line


class DirectWayCase(direct_case.DirectCase):
    async def test_bodies(self):
        """Guards against a target that gets another body than was sent."""
        found = []

        async def keeping(target, head, writer):
            coding = direct_case.header(head, 'Content-Encoding')
            found.append((coding, await target.body(head)))
            await direct_case.whole('yes')(target, head, writer)

        self.serve(direct_case.ONCE)
        await self.add(keeping)
        for coding, body in BODIES:
            line = await send(self.address, '/a/b', coding, body, 'secret')
            self.assertIn(b' 200 ', line)
        self.assertEqual(list(BODIES), found)


async def report(request):
    return web.json_response({'running': 0, 'queued': 0, 'batch_slots': 8})


class AgentsWayCase(unittest.IsolatedAsyncioTestCase):
    async def test_bodies(self):
        """Guards against an agent that gets another body than was sent."""
        found = []

        async def keep(request):
            coding = request.headers['Content-Encoding']
            found.append((coding, await request.read()))
            return web.Response(text='yes')

        app = web.Application()
        app.router.add_post('/stock', keep)
        app.router.add_get('/load', report)
        agent = loopback.Agent('a', app)
        async with loopback.running([agent]) as (entry, _):
            for coding, body in BODIES:
                line = await send(
                    entry.address, '/stock', coding, body, loopback.TOKEN
                )
                self.assertIn(b' 200 ', line)
        self.assertEqual(list(BODIES), found)
