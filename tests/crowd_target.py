"""Run a target by itself: ``python -m tests.crowd_target CONTROL...``."""

import asyncio
import sys
import uuid

import aiohttp

from tamarackthread.platform import wire
from tests import direct_case

MEBIBYTE = 1 << 20
ORDINARY = b'an ordinary answer'
# Sizes of answers, by what the path contains.
BIG_ANSWER_BYTES = 4 * MEBIBYTE
MIDDLE_ANSWER_BYTES = 256 << 10
EVENT_BYTES = MEBIBYTE
EVENTS = 4
READ_BYTES = 64 << 10
BEAT_SECONDS = 0.6


# In a process of its own, since a busy crowd must not delay its heartbeats.
class Target:
    """Announce itself to control, and answer at the length of the path."""

    def __init__(self, controls):
        self._controls = controls
        self._name = f'target-{uuid.uuid4().hex}'

    async def start(self, session):
        """Serve at an address that the kernel picks, and announce it for ever."""
        self._server = await asyncio.start_server(
            self._serve, '127.0.0.1', 0, backlog=1024
        )
        host, port = self._server.sockets[0].getsockname()
        self._address = f'{host}:{port}'
        await self._beat(session)

    async def _beat(self, session):
        sequence = 0
        path = wire.HEARTBEAT.replace('{target}', self._name)
        while True:
            sequence += 1
            beat = {
                'service': 'app',
                'address': self._address,
                'zone': 'zone-0',
                'slots': 10000,
                'state': 'ready',
                'sequence': sequence,
            }
            for control in self._controls:
                await post(session, f'http://{control}{path}', beat)
            await asyncio.sleep(BEAT_SECONDS)

    async def _serve(self, reader, writer):
        try:
            while True:
                head = (await reader.readuntil(b'\r\n\r\n')).decode()
                await self._skip_body(reader, head)
                await self._answer(writer, head)
        except (asyncio.IncompleteReadError, OSError):
            writer.close()

    async def _skip_body(self, reader, head):
        left = int(direct_case.header(head, 'content-length') or 0)
        while left:
            left -= len(await reader.readexactly(min(left, READ_BYTES)))

    async def _answer(self, writer, head):
        path = head.split()[1]
        ids = (
            f'HTTP/1.1 200 OK\r\n{wire.SIGNATURE}: s\r\n'
            f'{wire.CALL_ID}: {direct_case.header(head, wire.CALL_ID)}\r\n'
        )
        if 'events' in path:
            await self._stream(writer, ids)
            return
        body = ORDINARY
        if 'big' in path:
            body = b'b' * BIG_ANSWER_BYTES
        if 'middle' in path:
            body = b'm' * MIDDLE_ANSWER_BYTES
        writer.write(f'{ids}Content-Length: {len(body)}\r\n\r\n'.encode())
        writer.write(body)
        await writer.drain()

    async def _stream(self, writer, ids):
        writer.write(f'{ids}Transfer-Encoding: chunked\r\n\r\n'.encode())
        for number in range(EVENTS):
            event = f'id: {number}\ndata: {"e" * EVENT_BYTES}\n\n'
            writer.write(f'{len(event):x}\r\n{event}\r\n'.encode())
            await writer.drain()
        writer.write(b'0\r\n\r\n')
        await writer.drain()


async def post(session, url, body):
    """Send an order; return the status, 0 without an answer."""
    try:
        async with session.post(url, json=body) as answer:
            await answer.read()
            return answer.status
    except (aiohttp.ClientError, OSError):
        return 0


async def main(controls):
    async with aiohttp.ClientSession() as session:
        await Target(controls).start(session)


if __name__ == '__main__':
    asyncio.run(main(sys.argv[1:]))
