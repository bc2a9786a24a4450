"""Stand between processes and turn their connections silent.

Each process listens on one loopback address and is dialled on another, where
a relay passes the bytes on.  The relay reads the node's name from the first
frame that the dialling side sends, so that whole nodes can be isolated.
"""

from __future__ import annotations

import asyncio
import contextlib
import functools

import attrs

from bench import cluster
from tamarackthread.generated.messages import ttypes as messages
from tamarackthread.shared import errors, wire

RELAY_HOST = '127.0.0.2'
READ_BYTES = 65536


@attrs.define(eq=False)
class Pair:
    """One relayed connection; held bytes are delivered when it is freed."""

    dialler: str
    listener: str
    writers: list[asyncio.StreamWriter]
    free: asyncio.Event = attrs.field(factory=asyncio.Event)
    is_lost: bool = False

    def names(self, node: str) -> bool:
        """Tell whether a node is one of the two ends."""
        return node in {self.dialler, self.listener}


class Relays:
    """Run one relay before each process and steer what passes."""

    def __init__(self) -> None:
        """Relay nothing yet."""
        self._servers: dict[str, asyncio.Server] = {}
        self._pairs: set[Pair] = set()
        self._isolated: set[str] = set()

    async def open(self, node: str, port: int) -> None:
        """Relay to a node's port, in place of its port before."""
        old = self._servers.pop(node, None)
        if old is not None:
            old.close()
        self._servers[node] = await asyncio.start_server(
            functools.partial(self._relay, node, port),
            RELAY_HOST,
            port,
        )

    def silence(self, dialler: str, listener: str) -> int:
        """Lose track of all connections between two nodes, for good.

        They stay open and carry nothing any more, while new ones work.
        """
        lost = 0
        for pair in self._pairs:
            if pair.dialler == dialler and pair.listener == listener:
                pair.is_lost = True
                lost += 1
        return lost

    def isolate(self, node: str) -> None:
        """Hold back whatever goes to and from a node, new ones included."""
        self._isolated.add(node)
        for pair in self._pairs:
            if pair.names(node):
                pair.free.clear()

    def rejoin(self, node: str) -> None:
        """Deliver what was held back, late, and pass everything on again."""
        self._isolated.discard(node)
        for pair in self._pairs:
            if not self._is_isolated(pair):
                pair.free.set()

    def close(self) -> None:
        """Stop relaying."""
        for server in self._servers.values():
            server.close()
        for pair in tuple(self._pairs):
            _close(pair)

    def _is_isolated(self, pair: Pair) -> bool:
        return any(pair.names(node) for node in self._isolated)

    async def _relay(
        self,
        node: str,
        port: int,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        pair = Pair('', node, [writer])
        self._pairs.add(pair)
        try:
            await self._pass_on(pair, port, reader, writer)
        except (OSError, EOFError, errors.CodedError):
            return
        finally:
            _close(pair)
            self._pairs.discard(pair)

    async def _pass_on(
        self,
        pair: Pair,
        port: int,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        first = await _greeting(reader)
        payload = first[wire.HEADER_BYTES :]
        pair.dialler = wire.decode(messages.Greeting, payload).node
        if not self._is_isolated(pair):
            pair.free.set()
        await pair.free.wait()
        there, back = await asyncio.open_connection(cluster.HOST, port)
        pair.writers.append(back)
        back.write(first)
        ways = (
            asyncio.ensure_future(_pump(pair, reader, back)),
            asyncio.ensure_future(_pump(pair, there, writer)),
        )
        try:
            await asyncio.wait(ways, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for way in ways:
                way.cancel()


async def _greeting(reader: asyncio.StreamReader) -> bytes:
    header = await reader.readexactly(wire.HEADER_BYTES)
    size = wire.unpack_header(header)[0]
    return header + await reader.readexactly(size)


async def _pump(
    pair: Pair,
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> None:
    with contextlib.suppress(OSError):
        while True:
            received = await reader.read(READ_BYTES)
            if not received:
                return
            if pair.is_lost:
                continue
            await pair.free.wait()
            writer.write(received)
            await writer.drain()


def _close(pair: Pair) -> None:
    for writer in pair.writers:
        writer.close()
