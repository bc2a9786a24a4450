"""Test the requests that are in an entry as it stops."""

from __future__ import annotations

import asyncio
import types

from tamarackthread.entry.direct import failures
from tests import direct_case


class RequestsCase(direct_case.DirectCase):
    """Stop an entry that has requests in each of its parts."""

    async def test_running_call(self):
        """Guards against a closed connection in place of an answer."""
        self.serve(direct_case.ONCE)
        fake = await self.add(direct_case.silent)
        asking = asyncio.create_task(self.ask(left='60000'))
        while not fake.heads:
            await asyncio.sleep(0)
        self.stopping.begin(0)
        status, body, _ = await asking
        self.assertEqual(502, status)
        self.assertIn(failures.CutByStop.code.encode(), body)

    async def test_waiting_call(self):
        """Guards against a call in a queue that gets no answer."""
        self.serve(direct_case.IDEMPOTENT)
        fake = await self.add(direct_case.whole('yes'))
        no_slots = types.SimpleNamespace(
            max_calls=lambda load, now: 0, median_pass=lambda now: 0.1
        )
        self.admission._set_limit('s', no_slots)
        asking = asyncio.create_task(self.ask(left='60000'))
        while not self.admission._queues['s']:
            await asyncio.sleep(0)
        self.stopping.begin(0)
        status, body, _ = await asking
        self.assertEqual(503, status)
        self.assertIn(failures.EntryStops.code.encode(), body)
        self.assertEqual([], fake.heads)

    async def test_half_read_body(self):
        """Guards against a slow upload that gets no answer."""
        self.serve(direct_case.IDEMPOTENT)
        await self.add(direct_case.whole('yes'))
        host, _, port = self.address.rpartition(':')
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(
            b'POST /a/b HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: c1\r\n'
            b'Authorization: Bearer secret\r\nContent-Length: 9\r\n\r\nhalf'
        )
        while not self.front.open_calls:
            await asyncio.sleep(0)
        self.stopping.begin(0)
        self.assertIn(b' 503 ', await reader.readline())
        writer.close()
