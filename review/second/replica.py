"""A replica as the users' pages describe it: it announces itself, and runs
what names it.  It keeps every request that it ran as it came in.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
import time
import typing

from review.second import bed, web

BEAT_SECONDS = 1.2
_ENDINGS = (
    EOFError,
    OSError,
    ValueError,
    asyncio.LimitOverrunError,
    asyncio.CancelledError,
)

Answer = typing.Callable[
    ['Replica', web.Message, asyncio.StreamWriter], typing.Awaitable[bool]
]


async def answer_plainly(
    replica: Replica, request: web.Message, writer: asyncio.StreamWriter
) -> bool:
    """Answer with a success; tell whether the connection is kept."""
    writer.write(
        replica.encode(request, 200, b'done', [('Content-Type', 'text/plain')])
    )
    await writer.drain()
    return True


class Replica:
    """One start of one replica."""

    def __init__(
        self,
        test_bed: bed.Bed,
        service: str,
        number: int,
        answer: Answer = answer_plainly,
        slots: int = 6,
        home: int | None = None,
    ) -> None:
        """Announce ``service`` from ``start`` on, at an address of its own.

        With ``home`` it picks that control host and stays there until a
        heartbeat fails; without, it picks one each time.
        """
        self._bed = test_bed
        self._home = home
        self._service = service
        self._answer = answer
        self._slots = slots
        self._sequence = 0
        self._server: asyncio.Server | None = None
        self._beats: asyncio.Task[None] | None = None
        self.host = test_bed.host(100 + number)
        self.zone = bed.ZONES[number % len(bed.ZONES)]
        self.name = f'i-{random.getrandbits(32):08x}'
        self.state = 'ready'
        self.address = ''
        self.is_announced = False
        # When each request that ran had arrived, on the steady clock.
        self.ran: list[tuple[float, web.Message]] = []

    async def start(self) -> None:
        """Serve and announce."""
        self._server = await asyncio.start_server(self._serve, self.host, 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f'{self.host}:{port}'
        self._beats = asyncio.create_task(self._announce())

    async def stop(self) -> None:
        """Stop announcing and serving."""
        if self._beats is not None:
            self._beats.cancel()
        if self._server is not None:
            self._server.close()

    def stop_announcing(self) -> None:
        """Send no more heartbeats, but go on serving."""
        if self._beats is not None:
            self._beats.cancel()

    async def beat(self, control: str) -> bool:
        """Send one heartbeat; return whether it was acknowledged."""
        self._sequence += 1
        answer = await web.post(
            control,
            f'/tamarackthread/replicas/{self.name}/heartbeat',
            {
                'service': self._service,
                'address': self.address,
                'zone': self.zone,
                'version': 'v1',
                'slots': self._slots,
                'state': self.state,
                'cold-remaining-ms': 0,
                'sequence': self._sequence,
            },
        )
        return answer.status == web.OK

    async def deregister(self, control: str) -> bool:
        """Say farewell; return whether that was acknowledged."""
        path = f'/tamarackthread/replicas/{self.name}/deregister'
        answer = await web.post(control, path, {})
        return answer.status == web.OK

    def encode(
        self,
        request: web.Message,
        status: int,
        body: bytes,
        headers: typing.Iterable[tuple[str, str]] = (),
    ) -> bytes:
        """Write an answer to a request, with a length and a signature."""
        head = [
            ('Attempt-Id', request.get('Attempt-Id') or ''),
            ('Response-Signature', f'{self.name}.{len(self.ran)}'),
            ('Replica-Id', self.name),
            ('Content-Length', str(len(body))),
            *headers,
        ]
        return web.encode(f'HTTP/1.1 {status} Status', head, body)

    async def _announce(self) -> None:
        while True:
            await self._announce_once()
            await asyncio.sleep(BEAT_SECONDS)

    async def _announce_once(self) -> None:
        controls = list(self._bed.controls)
        if self._home is None:
            random.shuffle(controls)
        else:
            first = self._home % len(controls)
            controls = controls[first:] + controls[:first]
        for control in controls:
            if await self.beat(control):
                self.is_announced = True
                if self._home is not None:
                    self._home = self._bed.controls.index(control)
                return

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(*_ENDINGS):
            is_kept = True
            while is_kept:
                is_kept = await self._serve_one(reader, writer)
        writer.close()

    async def _serve_one(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        request = await web.read_message(reader)
        expected = request.get('Expect-Replica')
        if expected not in {None, self.name}:
            writer.write(
                self.encode(request, 421, b'', [('Not-Executed', '1')])
            )
            return True
        self.ran.append((time.monotonic(), request))
        return await self._answer(self, request, writer)


async def wait_announced(replicas: typing.Iterable[Replica]) -> None:
    """Wait until every replica has been acknowledged once."""
    deadline = time.monotonic() + bed.START_SECONDS
    for replica in replicas:
        while not replica.is_announced:
            if time.monotonic() > deadline:
                raise bed.CannotRun('a replica was not acknowledged')
            await asyncio.sleep(bed.STEP_SECONDS)
