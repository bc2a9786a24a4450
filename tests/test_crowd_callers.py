"""Test that clients of an entry can't end it or lock out ordinary callers."""

import asyncio
import types

from tests import crowd_case, crowd_target

MEBIBYTE = crowd_case.MEBIBYTE
# The headers of one request inside the limits, in many small fields.
MANY_FIELDS = ''.join(
    f'X-Field-{number}: {"f" * 120}\r\n' for number in range(100)
)
PIPELINING_CLIENTS = 120
REQUESTS_AHEAD = 100
# Heads of four times the size that a head may have.
LONG_HEAD_CLIENTS = 60
LONG_FIELD_BYTES = 30000
LONG_FIELDS = 120
BODY_CLIENTS = 64
CHUNKED = 'Transfer-Encoding: chunked\r\n'
CHUNK_CLIENTS = 100
CHUNKS = 500_000
BIG_ANSWER_CLIENTS = 60
STREAM_CLIENTS = 150
SILENT_CLIENTS = 600
REFUSED_CLIENTS = 100
REFUSED_AHEAD = 4000
SLOW_CLIENTS = 20
PIECE_BYTES = 1000
PIECES_AT_ONCE = 500
TRICKLE_SECONDS = 0.05


class AheadCase(crowd_case.CrowdCase):
    async def test_requests_ahead(self):
        """Guards against requests parsed ahead of answers nobody reads."""
        one = crowd_case.head('/repeat/middle', extra=MANY_FIELDS)
        await self.crowd(
            self.world.callers_address(self.entry),
            PIPELINING_CLIENTS,
            one * REQUESTS_AHEAD,
        )
        await self.assert_unharmed()

    async def test_heads_without_end(self):
        """Guards against heads that are kept until they end."""
        field = f'X: {"f" * LONG_FIELD_BYTES}\r\n'.encode()
        begun = crowd_case.head('/repeat/x').removesuffix(b'\r\n')
        await self.crowd(
            self.world.callers_address(self.entry),
            LONG_HEAD_CLIENTS,
            begun + field * LONG_FIELDS,
        )
        await self.assert_unharmed()

    async def test_bodies_that_never_end(self):
        """Guards against bodies inside the limit whose sum is not."""
        size = 4 * MEBIBYTE
        begun = crowd_case.head('/repeat/x', length=size)
        await self.crowd(
            self.world.callers_address(self.entry),
            BODY_CLIENTS,
            begun.ljust(len(begun) + size - 1, b'b'),
        )
        await self.assert_unharmed()


class ProcessorCase(crowd_case.CrowdCase):
    async def test_tiny_chunks(self):
        """Guards against bodies whose parsing keeps all else waiting."""
        begun = crowd_case.head('/repeat/x', extra=CHUNKED, length=None)
        await self.crowd(
            self.world.callers_address(self.entry),
            CHUNK_CLIENTS,
            b''.join((begun, b'1\r\nb\r\n' * CHUNKS)),
        )
        await self.assert_unharmed()


class UnreadCase(crowd_case.CrowdCase):
    async def test_unread_answers(self):
        """Guards against whole answers held until slow clients read them."""
        await self.crowd(
            self.world.callers_address(self.entry),
            BIG_ANSWER_CLIENTS,
            crowd_case.head('/repeat/big'),
        )
        await self.assert_unharmed()

    async def test_unread_streams(self):
        """Guards against long events held for clients that don't read."""
        await self.crowd(
            self.world.callers_address(self.entry),
            STREAM_CLIENTS,
            crowd_case.head('/stream/events'),
        )
        await self.assert_unharmed()

    async def test_stop_with_crowd(self):
        """Guards against a stop that waits for clients that don't read."""
        await self.crowd(
            self.world.callers_address(self.entry),
            STREAM_CLIENTS,
            crowd_case.head('/stream/events'),
        )
        self.entry.process.terminate()
        self.assertEqual(0, await self.entry.process.wait())


class ConnectionsCase(crowd_case.CrowdCase):
    descriptors = crowd_case.SCARCE_DESCRIPTORS

    async def test_silent_connections(self):
        """Guards against connections that leave no descriptor for others."""
        await self.crowd(
            self.world.callers_address(self.entry), SILENT_CLIENTS, b'P'
        )
        await self.assert_unharmed()

    async def test_silent_readiness_connections(self):
        """Guards against silent clients of the readiness probe."""
        url = self.world.entries[0].host
        port = self.world.control_addresses[0].rpartition(':')[2]
        await self.crowd(f'{url}:{port}', SILENT_CLIENTS, b'G')
        await self.assert_unharmed()
        self.assertTrue(await self.world.is_ready(self.session, self.entry))


class TimeLimitsCase(crowd_case.CrowdCase):
    limits = types.MappingProxyType(
        {
            **crowd_case.CONFIGURED_LIMITS,
            'header-timeout-ms': 500,
            'idle-timeout-ms': 1000,
        }
    )

    async def test_limits_close_connections(self):
        """Guards against heads and pauses longer than the limits allow."""
        address = self.world.callers_address(self.entry)
        begun = crowd_case.head('/repeat/x').removesuffix(b'\r\n')
        kinds = {'silent': b'', 'slow head': begun}
        kinds['idle'] = crowd_case.head('/repeat/x')
        for kind, content in kinds.items():
            with self.subTest(kind=kind):
                self.clients.clear()
                await self.crowd(address, SLOW_CLIENTS, content)
                await self._assert_all_closed()
        self.assertEqual((200, crowd_target.ORDINARY), await self.ask())

    async def test_unread_refusals(self):
        """Guards against connections held for answers that nobody reads."""
        await self.crowd(
            self.world.callers_address(self.entry),
            REFUSED_CLIENTS,
            crowd_case.head('/unknown/x') * REFUSED_AHEAD,
        )
        await self.assert_unharmed()
        await self._assert_few_open()

    async def _assert_few_open(self):
        """Wait until the entry has closed all connections but its own few."""

        async def are_few():
            self.most_descriptors.clear()
            self.look()
            return self.most_descriptors[self.entry.host] < REFUSED_CLIENTS

        self.assertTrue(
            await self.wait_until(are_few),
            'connections without progress stay open',
        )

    async def test_trickled_heads(self):
        """Guards against heads that go on a byte at a time for ever."""
        address = self.world.callers_address(self.entry)
        begun = crowd_case.head('/repeat/x').removesuffix(b'\r\n')
        await self.crowd(address, SLOW_CLIENTS, b''.join((begun, b'X: ')))
        self.sending += [
            asyncio.create_task(client.send_for_ever(b'x', TRICKLE_SECONDS))
            for client in self.clients
        ]
        await self._assert_all_closed()

    async def _assert_all_closed(self):
        self.sending += [
            asyncio.create_task(client.wait_closed()) for client in self.clients
        ]

        async def are_closed():
            return all(client.is_closed for client in self.clients)

        self.assertTrue(
            await self.wait_until(are_closed),
            'connections over the time limits stay open',
        )


class AllowedCase(crowd_case.CrowdCase):
    async def _pieces(self, body):
        for start in range(0, len(body), PIECE_BYTES):
            yield body[start : start + PIECE_BYTES]
            if not start % (PIECES_AT_ONCE * PIECE_BYTES):
                await self.wait_until(self._never, polls=1)

    async def _never(self):
        return False

    async def test_largest_requests(self):
        """Guards against limits that the largest allowed request meets."""
        body = b'b' * (4 * MEBIBYTE)
        status, answer = await self.ask('/once/x', body)
        self.assertEqual((200, crowd_target.ORDINARY), (status, answer))
        # Slowly, in chunks.
        status, answer = await self.ask('/once/x', self._pieces(body))
        self.assertEqual((200, crowd_target.ORDINARY), (status, answer))
        status, answer = await self.ask('/repeat/big')
        self.assertEqual(200, status)
        self.assertEqual(crowd_target.BIG_ANSWER_BYTES, len(answer))
        status, answer = await self.ask('/stream/events')
        self.assertEqual(200, status)
        self.assertGreater(
            len(answer), crowd_target.EVENTS * crowd_target.EVENT_BYTES
        )
