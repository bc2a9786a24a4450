"""Clients that send ahead, read nothing, trickle, or say nothing at all."""

from __future__ import annotations

import asyncio
import collections.abc
import random
import socket

CLIENTS = 40
ROUND_SECONDS = 1.5
TRICKLE_SECONDS = 0.1
REQUESTS_AHEAD = 50
BODY_BYTES = 1 << 20
RECEIVE_BUFFER_BYTES = 4096
_Send = collections.abc.Callable[
    [socket.socket], collections.abc.Coroutine[None, None, None]
]


class Crowd:
    """Press one entry after the other with one kind of client at a time."""

    def __init__(
        self,
        rng: random.Random,
        addresses: list[str],
        host: str,
        paths: list[str],
    ) -> None:
        """Draw entries, paths and kinds from ``rng``."""
        self._rng = rng
        self._addresses = addresses
        self._host = host
        self._paths = paths

    async def press(self) -> None:
        """Open a round of clients, and close all of them a while later."""
        host, _, port = self._rng.choice(self._addresses).rpartition(':')
        kinds: list[_Send] = [
            self._say_nothing,
            self._send_ahead,
            self._stop_in_body,
            self._trickle_head,
        ]
        kind = self._rng.choice(kinds)
        clients = []
        sending = []
        for _ in range(CLIENTS):
            client = new_socket()
            clients.append(client)
            sending.append(
                asyncio.create_task(_serve(client, (host, int(port)), kind))
            )
        try:
            await asyncio.sleep(self._rng.uniform(0, ROUND_SECONDS))
        finally:
            await _close(clients, sending)

    async def _say_nothing(self, client: socket.socket) -> None:
        await asyncio.Event().wait()

    async def _send_ahead(self, client: socket.socket) -> None:
        requests = b''.join(self._head('0') for _ in range(REQUESTS_AHEAD))
        await asyncio.get_running_loop().sock_sendall(client, requests)
        await asyncio.Event().wait()

    async def _stop_in_body(self, client: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        await loop.sock_sendall(client, self._head(str(BODY_BYTES)))
        await loop.sock_sendall(client, b'b' * (BODY_BYTES - 1))
        await asyncio.Event().wait()

    async def _trickle_head(self, client: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        for byte in self._head('0'):
            await loop.sock_sendall(client, bytes((byte,)))
            await asyncio.sleep(TRICKLE_SECONDS)

    def _head(self, length: str) -> bytes:
        """Return a request that no target gets: it has no id."""
        return (
            f'POST {self._rng.choice(self._paths)} HTTP/1.1\r\n'
            f'Host: {self._host}\r\nContent-Length: {length}\r\n\r\n'
        ).encode()


def new_socket() -> socket.socket:
    """Return a socket that takes as little as the kernel lets it."""
    client = socket.socket()
    client.setblocking(False)
    client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    return client


async def _close(
    clients: list[socket.socket], sending: list[asyncio.Task[None]]
) -> None:
    for task in sending:
        task.cancel()
    await asyncio.gather(*sending, return_exceptions=True)
    for client in clients:
        client.close()


async def _serve(
    client: socket.socket, address: tuple[str, int], send: _Send
) -> None:
    try:
        await asyncio.get_running_loop().sock_connect(client, address)
        await send(client)
    except OSError:
        return
