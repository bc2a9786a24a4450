"""Accept links from peers on one address."""

from __future__ import annotations

import asyncio
import logging
import socket

from tamarackthread.shared import connecting, errors, identity, line_limit, link

# Peers whose handshake is under way, without a limit that follows from the host.
MAX_HANDSHAKES = 256
# Connections that wait in the kernel, and those accepted in a turn of the loop.
BACKLOG = 256
ACCEPTED_AT_ONCE = 16
_log = logging.getLogger('tamarackthread.link')


class Listener:
    """Accept connections and hold their links until they close."""

    def __init__(
        self,
        options: identity.LinkOptions,
        handler: link.Handler,
        max_handshakes: int = MAX_HANDSHAKES,
    ) -> None:
        """Create a listener that is not yet bound.

        Of more peers than ``max_handshakes`` that are not yet known, the one that
        has connected first is turned away.
        """
        self._options = options
        self._handler = handler
        self._max_handshakes = max_handshakes
        self._unknown: dict[asyncio.StreamWriter, None] = {}
        self._rejections = line_limit.LineLimit(1)
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
            backlog=ACCEPTED_AT_ONCE,
        )
        # asyncio accepts as many at once as may wait.
        bound.listen(BACKLOG)
        return address_of(bound)

    def stop_accepting(self) -> None:
        """Accept no new connections and ask peers to open no more streams."""
        if self._server is not None:
            self._server.close()
        for accepted in self.links:
            accepted.announce_closing()

    async def drain(self, seconds: float) -> None:
        """Stop accepting, wait and close.  Calls that peers open before they
        read the closing notice are thus rejected as not run, and not cut off.
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
        self._make_room()
        self._unknown[writer] = None
        try:
            accepted = await connecting.accept(
                reader,
                writer,
                self._options,
                self._handler,
            )
        except errors.CodedError as exc:
            self._log_rejected(exc)
            return
        finally:
            self._unknown.pop(writer, None)
        self._links.add(accepted)
        try:
            await accepted.wait_closed()
        finally:
            self._links.discard(accepted)

    def _make_room(self) -> None:
        """Turn away the peer that has been unknown for longest."""
        if len(self._unknown) < self._max_handshakes:
            return
        oldest = next(iter(self._unknown))
        self._unknown.pop(oldest)
        oldest.transport.abort()

    def _log_rejected(self, failure: errors.CodedError) -> None:
        """Log a rejection, unless another was logged a moment ago."""
        if not self._rejections.allows():
            return
        _log.warning(
            'link: rejected a connection, %s %s, and %d others before it',
            failure.code,
            failure,
            self._rejections.take_left_out(),
        )


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
