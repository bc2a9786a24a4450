"""Accept links from peers on one address."""

from __future__ import annotations

import asyncio
import logging
import socket

from tamarackthread.shared import connecting, errors, identity, link

_log = logging.getLogger('tamarackthread.link')


class Listener:
    """Accept connections and hold their links until they close."""

    def __init__(
        self,
        options: identity.LinkOptions,
        handler: link.Handler,
    ) -> None:
        """Create a listener that is not yet bound."""
        self._options = options
        self._handler = handler
        self._links: set[link.Link] = set()
        self._server: asyncio.Server | None = None

    @property
    def links(self) -> frozenset[link.Link]:
        """Return the open links."""
        return frozenset(self._links)

    async def start(self, host: str, port: int) -> str:
        """Bind and return the address; the kernel chooses for port 0."""
        return await self.start_on_socket(bind(host, port))

    async def start_on_socket(self, bound: socket.socket) -> str:
        """Accept on a bound socket and return its address."""
        self._server = await asyncio.start_server(
            self._accept,
            sock=bound,
            ssl=self._options.listen_tls,
        )
        return address_of(bound)

    def stop_accepting(self) -> None:
        """Accept no new connections and ask peers to open no more streams."""
        if self._server is not None:
            self._server.close()
        for accepted in self.links:
            accepted.announce_closing()

    async def drain(self, seconds: float) -> None:
        """Stop accepting, wait and close.  Calls that peers open before they read
        the closing notice are thus rejected as not run, and not cut off.
        """
        self.stop_accepting()
        await asyncio.sleep(seconds)
        self.close()

    def close(self) -> None:
        """Close the socket and every accepted link."""
        self.stop_accepting()
        for accepted in self.links:
            accepted.close('process is stopping')

    async def _accept(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        try:
            accepted = await connecting.accept(
                reader,
                writer,
                self._options,
                self._handler,
            )
        except errors.CodedError as exc:
            _log.warning('link: rejected a connection, %s %s', exc.code, exc)
            return
        self._links.add(accepted)
        try:
            await accepted.wait_closed()
        finally:
            self._links.discard(accepted)


def bind(host: str, port: int) -> socket.socket:
    """Bind a socket without accepting connections on it."""
    family = socket.AF_INET6 if ':' in host else socket.AF_INET
    # asyncio sets TCP_NODELAY on accepted connections only if the protocol is
    # given; else Nagle's algorithm delays small replies until an ACK arrives.
    bound = socket.socket(family, socket.SOCK_STREAM, socket.IPPROTO_TCP)
    bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    try:
        bound.bind((host, port))
    except OSError:
        bound.close()
        raise
    return bound


def address_of(bound: socket.socket) -> str:
    """Return the address of a bound socket as HOST:PORT."""
    host, port = bound.getsockname()[:2]
    return f'{host}:{port}'
