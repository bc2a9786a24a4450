"""Test that slow or invalid callers don't affect others."""

import asyncio
import contextlib
import unittest

from bench import load
from tests import loopback, test_call_path


HEALTH = b'GET /-/health HTTP/1.1\r\nHost: x\r\n\r\n'


async def send(address, raw):
    host, port = address.split(':')
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(raw)
    return reader, writer


async def wait_closed(reader):
    with contextlib.suppress(OSError):
        await reader.read()


class SlowCallerCase(unittest.IsolatedAsyncioTestCase):
    async def test_headers_a_byte_at_a_time(self):
        """Guards against connections that never complete their headers."""
        agents = [test_call_path.engine('a')]
        limits = {'slow_body_seconds': 0.3}
        async with loopback.running(agents, **limits) as (entry, caller):
            reader, writer = await send(entry.address, b'GET / HTTP/1.1\r\nX')
            answer = await caller.chat(entry.address, test_call_path.CHAT)
            await wait_closed(reader)
            writer.close()
        self.assertEqual(answer.outcome, load.Outcome.COMPLETE)

    async def test_body_that_stops(self):
        """Guards against a handover before the body is complete."""
        agents = [test_call_path.engine('a')]
        limits = {'slow_body_seconds': 0.3}
        raw = (
            b'POST /v1/completions HTTP/1.1\r\nHost: x\r\n'
            b'Authorization: Bearer token\r\nContent-Length: 9\r\n\r\n{'
        )
        async with loopback.running(agents, **limits) as (entry, _caller):
            reader, writer = await send(entry.address, raw)
            response = await reader.readuntil(b'}}')
            writer.close()
        self.assertIn(b'TT7004', response)
        self.assertIn(b'not_run', response)

    async def test_too_many_connections(self):
        agents = [test_call_path.engine('a')]
        async with loopback.running(agents, connection_limit=1) as running:
            address = running[0].address
            first = await send(address, HEALTH)
            await first[0].readuntil(b'alive')
            second = await send(address, HEALTH)
            await wait_closed(second[0])
            first[1].close()
            second[1].close()

    async def test_bad_values_are_named(self):
        agents = [test_call_path.engine('a')]
        async with loopback.running(agents) as (entry, caller):
            deadline = await caller.plain(
                entry.address,
                'GET',
                '/stock',
                X_Deadline_Ms='soon',
            )
            body = await caller.plain(
                entry.address,
                'POST',
                '/v1/completions',
                'no json',
            )
        self.assertEqual(deadline.code, 'TT7006')
        self.assertEqual(body.code, 'TT7005')
