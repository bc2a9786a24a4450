"""Test that a caller takes away only headers of its own connection."""

from __future__ import annotations

import asyncio
import random

from tests import direct_case

SEEDS = range(20)
# What the entry tells a target, whatever its caller sends.
OWN = ('Attempt-Id', 'Expect-Replica', 'Deadline-Ms', 'Tenant')
FORGED = ('Expect-Replica: other', 'Tenant: other', 'tenant: other')
PASSED = ('X-One: 1', 'x-two: 2', 'X-Three: 3')


def spelled(rng, name):
    """Return a name as a Connection header may have it."""
    space = rng.choice(('', ' ', '\t'))
    return space + rng.choice((name, name.lower(), name.upper())) + space


class HeadersCase(direct_case.DirectCase):
    async def test_drawn_headers(self):
        """Guards against a caller who removes its organisation's name."""
        self.serve(direct_case.ONCE)
        fake = await self.add(direct_case.whole('yes'))
        for seed in SEEDS:
            rng = random.Random(seed)
            passed = rng.sample(PASSED, rng.randint(0, 3))
            named = rng.sample(
                (*OWN, 'Close', 'X-One', 'X-Two'), rng.randint(1, 5)
            )
            lines = [*passed, *rng.sample(FORGED, rng.randint(0, 2))]
            for name in named:
                lines.append(f'Connection: {spelled(rng, name)}')
            rng.shuffle(lines)
            with self.subTest(seed=seed):
                await self._send(f'c{seed}', lines)
                self._check(fake, f'c{seed}', passed, named)

    async def _send(self, call_id, lines):
        host, _, port = self.address.rpartition(':')
        reader, writer = await asyncio.open_connection(host, int(port))
        head = (
            'POST /a/b HTTP/1.1',
            f'Host: {direct_case.HOST}',
            f'Attempt-Id: {call_id}',
            'Authorization: Bearer secret',
            'Deadline-Ms: 4000',
            'Content-Length: 0',
            *lines,
        )
        writer.write('\r\n'.join((*head, '', '')).encode())
        self.assertIn(b' 200 ', await reader.readline())
        writer.close()

    def _check(self, fake, call_id, passed, named):
        rows = [
            line.split(': ', 1)
            for line in fake.heads[-1].strip().split('\r\n')[1:]
        ]
        sent = {}
        for key, value in rows:
            sent.setdefault(key.lower(), []).append(value)
        self.assertEqual([call_id], sent['attempt-id'])
        self.assertEqual([fake.name], sent['expect-replica'])
        self.assertEqual(['org'], sent['tenant'])
        self.assertEqual(1, len(sent['deadline-ms']))
        dropped = {name.lower() for name in named}
        for line in passed:
            name, _, text = line.partition(': ')
            expected = None if name.lower() in dropped else [text]
            self.assertEqual(expected, sent.get(name.lower()), name)
