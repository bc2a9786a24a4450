"""Delay what goes between zones, count its bytes and isolate nodes.

Every process is dialled through a relay of this module.  The relay learns
from the first frame who dials, so that it knows both ends of a connection.
"""

from __future__ import annotations

import asyncio
import collections
import contextlib
import functools

import attrs

from bench import cluster
from tamarackthread.generated.messages import ttypes as messages
from tamarackthread.shared import wire

RELAY_HOST = '127.0.0.3'
READ_BYTES = 65536
SAME_ZONE_SECONDS = 0.0002


@attrs.define(eq=False)
class _Pipe:
    """One relayed connection."""

    dialler: str
    listener: str
    delay: float
    writers: list[asyncio.StreamWriter]


class Network:
    """Relay to each node with the delay between the zones of the ends."""

    def __init__(self, between_zones_seconds: float) -> None:
        """Start with no nodes; the delay is one way."""
        self.bytes_of: collections.Counter[str] = collections.Counter()
        self._between = between_zones_seconds
        self._zones: dict[str, str] = {}
        self._servers: list[asyncio.Server] = []
        self._pipes: set[_Pipe] = set()
        self._free: dict[str, asyncio.Event] = {}

    async def open(self, node: str, zone: str, port: int) -> None:
        """Relay to a node's port on loopback under the same port."""
        self._zones[node] = zone
        self._event(node)
        self._servers.append(
            await asyncio.start_server(
                functools.partial(self._accept, node, port),
                RELAY_HOST,
                port,
            ),
        )

    def isolate(self, node: str) -> None:
        """Let nothing pass to or from a node, and close nothing."""
        self._event(node).clear()

    def rejoin(self, node: str) -> None:
        """Deliver what was held back and pass everything on again."""
        self._event(node).set()

    def close(self) -> None:
        """Stop relaying."""
        for server in self._servers:
            server.close()
        for pipe in tuple(self._pipes):
            _close(pipe)

    def _event(self, node: str) -> asyncio.Event:
        if node not in self._free:
            self._free[node] = asyncio.Event()
            self._free[node].set()
        return self._free[node]

    async def _accept(
        self,
        node: str,
        port: int,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        pipe = _Pipe('', node, 0, [writer])
        self._pipes.add(pipe)
        try:
            with contextlib.suppress(OSError, EOFError):
                await self._serve(pipe, port, reader, writer)
        finally:
            _close(pipe)
            self._pipes.discard(pipe)

    async def _serve(
        self,
        pipe: _Pipe,
        port: int,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        header = await reader.readexactly(wire.HEADER_BYTES)
        size = wire.unpack_header(header)[0]
        payload = await reader.readexactly(size)
        greeting = wire.decode(messages.Greeting, payload)
        pipe.dialler = greeting.node
        same = greeting.zone == self._zones[pipe.listener]
        pipe.delay = SAME_ZONE_SECONDS if same else self._between
        await self._passing(pipe)
        there, back = await asyncio.open_connection(cluster.HOST, port)
        pipe.writers.append(back)
        back.write(header + payload)
        ways = [
            asyncio.ensure_future(self._pump(pipe, reader, back)),
            asyncio.ensure_future(self._pump(pipe, there, writer)),
        ]
        try:
            await asyncio.wait(ways, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for way in ways:
                way.cancel()

    async def _pump(
        self,
        pipe: _Pipe,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        late: asyncio.Queue[tuple[float, bytes]] = asyncio.Queue()
        delivering = asyncio.ensure_future(self._deliver(pipe, late, writer))
        loop = asyncio.get_running_loop()
        received = b' '
        try:
            while received:
                received = await reader.read(READ_BYTES)
                self.bytes_of[pipe.dialler] += len(received)
                self.bytes_of[pipe.listener] += len(received)
                late.put_nowait((loop.time() + pipe.delay, received))
        except OSError:
            return
        finally:
            delivering.cancel()

    async def _deliver(
        self,
        pipe: _Pipe,
        late: asyncio.Queue[tuple[float, bytes]],
        writer: asyncio.StreamWriter,
    ) -> None:
        loop = asyncio.get_running_loop()
        while True:
            due_at, received = await late.get()
            wait = due_at - loop.time()
            if wait > 0:
                await asyncio.sleep(wait)
            await self._passing(pipe)
            writer.write(received)

    async def _passing(self, pipe: _Pipe) -> None:
        await self._event(pipe.dialler).wait()
        await self._event(pipe.listener).wait()


def _close(pipe: _Pipe) -> None:
    for writer in pipe.writers:
        writer.close()
