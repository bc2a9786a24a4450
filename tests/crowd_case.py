"""Press real processes of the product with a crowd of misbehaving clients.

The bounds are those of the smallest machine that the product runs on.
"""

import asyncio
import math
import pathlib
import resource
import sys
import tempfile
import types
import unittest
import uuid

import aiohttp

from bench.soak import crowd, world
from tamarackthread.platform import wire
from tests import crowd_target

# Memory of the smallest machine, which each process must stay within.
MACHINE_BYTES = 200 << 20
# Descriptors of a process on such a machine, and here if they are scarce; files
# keep some for themselves.
MACHINE_DESCRIPTORS = 4100
SCARCE_DESCRIPTORS = 400
FILE_DESCRIPTORS = 200
MEBIBYTE = 1 << 20
HTTP_OK = 200
HOST = 'crowd.example'
SEND_BYTES = 64 << 10
POLL_SECONDS = 0.05
# Polls without any progress of a crowd after which it has done its worst.
QUIET_POLLS = 30
# Polls in which something must happen that happens only once.
MANY_POLLS = 1200
# An operator gives up after so many tries.
MANY_ORDERS = 100
CONFIGURED_LIMITS = types.MappingProxyType(
    {
        'max-header-bytes': 16384,
        'max-body-bytes': 4 * MEBIBYTE,
        'header-timeout-ms': 3000,
        'idle-timeout-ms': 15000,
    }
)


class Client:
    """A connection that sends what it is told and reads nothing."""

    def __init__(self, address):
        host, _, port = address.rpartition(':')
        self._address = (host, int(port))
        self.sent_bytes = 0
        self._socket = crowd.new_socket()
        self.is_closed = False

    async def send(self, content):
        """Send until all is sent or the peer closes the connection."""
        loop = asyncio.get_running_loop()
        try:
            await loop.sock_connect(self._socket, self._address)
            for start in range(0, len(content), SEND_BYTES):
                piece = content[start : start + SEND_BYTES]
                await loop.sock_sendall(self._socket, piece)
                self.sent_bytes += len(piece)
        except OSError:
            self.is_closed = True

    async def send_for_ever(self, piece, pause):
        """Send a piece again and again until the peer closes."""
        loop = asyncio.get_running_loop()
        while not self.is_closed:
            try:
                await loop.sock_sendall(self._socket, piece)
            except OSError:
                self.is_closed = True
            self.sent_bytes += len(piece)
            await asyncio.sleep(pause)

    async def wait_closed(self):
        """Read until the peer closes the connection."""
        loop = asyncio.get_running_loop()
        try:
            while await loop.sock_recv(self._socket, SEND_BYTES):
                """Drop what the peer has sent."""
        except OSError:
            self.is_closed = True
        self.is_closed = True

    def close(self):
        self._socket.close()


class CrowdCase(unittest.IsolatedAsyncioTestCase):
    """A site of three control hosts, one entry and one target."""

    limits = CONFIGURED_LIMITS
    descriptors = MACHINE_DESCRIPTORS

    async def asyncSetUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)
        self.clients = []
        self.has_hung = False
        self.sending = []
        self.most_descriptors = {}
        self.world = world.World(self.folder, entries=1)
        self.entry = self.world.entries[0]
        self.addAsyncCleanup(self.world.close)
        self.session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0, force_close=True)
        )
        self.addAsyncCleanup(self.session.close)
        await self._start_processes()
        await self._start_target()
        self.addCleanup(self._leave)
        await self.configure(1)
        await self.world.wait_ready(self.session)
        self.assertTrue(await self.wait_until(self._is_served))

    async def configure(self, version):
        """Put a configuration in force."""
        kinds = {'once': 'non_idempotent', 'repeat': 'idempotent'}
        kinds['stream'] = 'streaming'
        routes = [
            {
                'name': name,
                'host': HOST,
                'path-prefix': f'/{name}/',
                'kind': kind,
                'timeout-ms': 30000,
                'service': 'app',
                'attempts': 2,
            }
            for name, kind in kinds.items()
        ]
        body = {
            'version': version,
            'routes': routes,
            'services': [{'name': 'app'}],
            'limits': dict(self.limits),
        }

        async def is_over():
            return await self._is_accepted(body) or self.has_hung

        is_over_in_time = await self.wait_until(is_over, MANY_ORDERS)
        if self.has_hung or not is_over_in_time:
            self.fail('no configuration was accepted')

    async def wait_until(self, is_over, polls=MANY_POLLS):
        """Look at the processes until a condition holds; tell whether it does."""
        while not await is_over():
            if not polls:
                return False
            polls -= 1
            await asyncio.sleep(POLL_SECONDS)
            self.look()
        return True

    def look(self):
        """Note how many descriptors each process has."""
        for node in (*self.world.controls, *self.world.entries):
            count = len(list(pathlib.Path(f'/proc/{pid(node)}/fd').iterdir()))
            most = self.most_descriptors.get(node.host, 0)
            self.most_descriptors[node.host] = max(most, count)

    async def crowd(self, address, count, content):
        """Send the same from many clients until none gets any further."""
        for _ in range(count):
            client = Client(address)
            self.clients.append(client)
            self.sending.append(asyncio.create_task(client.send(content)))
        await self.settle()

    async def settle(self):
        """Wait until the clients make no progress for some polls."""
        sums = []

        async def is_quiet():
            sums.append(sum(client.sent_bytes for client in self.clients))
            newest = sums[-QUIET_POLLS - 1 :]
            return len(newest) > QUIET_POLLS and len(set(newest)) == 1

        await self.wait_until(is_quiet, math.inf)

    async def ask(self, path='/repeat/x', body=b''):
        """Send one ordinary request; return the status and the body."""
        return await self._answer_of(self._ask(path, body), (0, b'no answer'))

    async def _ask(self, path, body):
        url = f'http://{self.world.callers_address(self.entry)}{path}'
        try:
            async with self.session.post(
                url, data=body, headers=ordinary_headers()
            ) as answer:
                return answer.status, await answer.read()
        except (aiohttp.ClientError, OSError) as exc:
            return 0, repr(exc).encode()

    async def assert_unharmed(self):
        """Check that processes live within their bounds and serve."""
        self.look()
        self.assertEqual((HTTP_OK, crowd_target.ORDINARY), await self.ask())
        self.look()
        for node in (*self.world.controls, *self.world.entries):
            with self.subTest(node=node.host):
                self.assertIsNone(node.process.returncode)
                self.assertLess(peak_bytes(node), MACHINE_BYTES)
                self.assertLess(
                    self.most_descriptors[node.host],
                    self.descriptors - FILE_DESCRIPTORS,
                )

    async def _start_processes(self):
        """Start all processes with few descriptors."""
        soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
        resource.setrlimit(resource.RLIMIT_NOFILE, (self.descriptors, hard))
        try:
            await self.world.start()
        finally:
            resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))

    async def _start_target(self):
        target = await asyncio.create_subprocess_exec(
            sys.executable,
            '-m',
            crowd_target.__name__,
            *self.world.control_addresses,
        )
        self.addAsyncCleanup(target.wait)
        self.addCleanup(target.kill)

    async def _is_accepted(self, body):
        url = f'http://{self.world.control_addresses[0]}{wire.REPLACE}'
        posting = crowd_target.post(self.session, url, body)
        return await self._answer_of(posting, 0) == HTTP_OK

    async def _answer_of(self, asking, otherwise):
        """Wait for an answer, but not for ever: a process may hang."""
        task = asyncio.create_task(asking)

        async def is_answered():
            return task.done()

        if await self.wait_until(is_answered):
            return task.result()
        task.cancel()
        self.has_hung = True
        return otherwise

    async def _is_served(self):
        return await self.ask() == (HTTP_OK, crowd_target.ORDINARY)

    def _leave(self):
        for task in self.sending:
            task.cancel()
        for client in self.clients:
            client.close()


def ordinary_headers():
    """Return the headers that a call needs."""
    return {'Host': HOST, wire.CALL_ID: uuid.uuid4().hex}


def head(path, *, length=0, extra=''):
    """Return the head of a request; without a length, ``extra`` has another."""
    if length is not None:
        extra = f'Content-Length: {length}\r\n{extra}'
    fields = ''.join(
        f'{name}: {value}\r\n' for name, value in ordinary_headers().items()
    )
    return (f'POST {path} HTTP/1.1\r\n{fields}{extra}\r\n').encode()


def pid(node):
    return node.process.pid


def peak_bytes(node):
    """Return the most memory that a process ever held, by the kernel."""
    peak = world.peak_bytes(node)
    if not peak:
        raise AssertionError(f'{node.host} has ended')
    return peak
