"""Accept links from other processes on one address."""

from __future__ import annotations

import asyncio
import logging
import socket

from tamarackthread.shared import connecting, errors, identity, link

_log = logging.getLogger('tamarackthread.link')


class Listener:
    """Accept, greet and keep the links that peers dial."""

    def __init__(
        self,
        options: identity.LinkOptions,
        handler: link.Handler,
    ) -> None:
        """Keep the options; nothing is bound yet."""
        self._options = options
        self._handler = handler
        self._links: set[link.Link] = set()
        self._server: asyncio.Server | None = None

    @property
    def links(self) -> frozenset[link.Link]:
        """Give the links that are open now."""
        return frozenset(self._links)

    async def start(self, host: str, port: int) -> str:
        """Bind and return the address; port 0 lets the kernel pick."""
        return await self.start_on_socket(bind(host, port))

    async def start_on_socket(self, bound: socket.socket) -> str:
        """Accept on a socket that is bound already and return its address."""
        self._server = await asyncio.start_server(
            self._accept,
            sock=bound,
            ssl=self._options.listen_tls,
        )
        return address_of(bound)

    def stop_accepting(self) -> None:
        """Take no new connection and ask peers to open nothing more."""
        if self._server is not None:
            self._server.close()
        for accepted in self.links:
            accepted.announce_closing()

    async def drain(self, seconds: float) -> None:
        """Close as a planned stop, answering what is still on its way.

        A call that a peer opened just before it was asked not to would die
        with its link, told as 'may have run' though it never started.  In
        the given time it arrives and is refused, which says 'not run'; no
        later call comes, because links that close open none.
        """
        self.stop_accepting()
        await asyncio.sleep(seconds)
        self.close()

    def close(self) -> None:
        """Close the address and every link on it."""
        self.stop_accepting()
        for accepted in self.links:
            accepted.close('this process stops')

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
            _log.warning('link: refused a peer, %s %s', exc.code, exc)
            return
        self._links.add(accepted)
        try:
            await accepted.wait_closed()
        finally:
            self._links.discard(accepted)


def bind(host: str, port: int) -> socket.socket:
    """Bind a socket, so that its address is known before it is greeted with."""
    family = socket.AF_INET6 if ':' in host else socket.AF_INET
    # Without the protocol's number asyncio takes the accepted connections for
    # something other than TCP and leaves them with delayed small writes: a
    # reply waits some 40 ms for the peer's acknowledgement of the one before.
    bound = socket.socket(family, socket.SOCK_STREAM, socket.IPPROTO_TCP)
    bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    try:
        bound.bind((host, port))
    except OSError:
        bound.close()
        raise
    return bound


def address_of(bound: socket.socket) -> str:
    """Give the address of a bound socket as HOST:PORT."""
    host, port = bound.getsockname()[:2]
    return f'{host}:{port}'
