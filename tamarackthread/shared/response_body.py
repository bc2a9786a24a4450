"""Read the body of an HTTP response and tell how it ended."""

from __future__ import annotations

import collections.abc
import enum

import aiohttp
import attrs

from tamarackthread.shared import byte_budget

_BODILESS_STATUSES = frozenset((204, 304))
_READ_ERRORS = (aiohttp.ClientError, OSError, ValueError)
# What reading a body within a budget raises, timeouts among them.
BOUNDED_READ_ERRORS = (*_READ_ERRORS, byte_budget.BudgetExceeded)


class Framing(enum.StrEnum):
    """How a response marks the end of its body."""

    LENGTH = 'length'
    CHUNKS = 'chunks'
    # The body lasts until the connection is closed.
    CONNECTION = 'connection'
    NO_BODY = 'no_body'


class Ending(enum.StrEnum):
    """How a body has ended."""

    # The body was not read to its end.
    OPEN = 'open'
    # By its length or its last chunk.
    COMPLETE = 'complete'
    # By a regular close of the connection.
    CLOSED = 'closed'
    RESET = 'reset'
    # Before its length or its last chunk, or with invalid bytes.
    CUT = 'cut'
    # With a connection that was released before its end could be seen.
    UNSEEN = 'unseen'


@attrs.define(eq=False)
class BodyTrace:
    """What was received of a body, for log lines."""

    framing: Framing
    ending: Ending = Ending.OPEN
    received_bytes: int = 0


class ResponseBody:
    """The body of a response whose head has arrived."""

    def __init__(self, response: aiohttp.ClientResponse) -> None:
        """Read nothing yet; the caller closes the response."""
        self._response = response
        connection = response.connection
        # A response that has arrived completely has released its connection.
        self._protocol = None if connection is None else connection.protocol
        self._trace = BodyTrace(_framing_of(response))

    @property
    def trace(self) -> BodyTrace:
        """Return what was received so far."""
        return self._trace

    async def pieces(self) -> collections.abc.AsyncIterator[bytes]:
        """Yield the body as it arrives.

        Raises ``aiohttp.ClientError``, ``OSError`` or ``ValueError`` if the
        body breaks off.
        """
        while True:
            piece = await self._next_piece()
            if not piece:
                break
            self._trace.received_bytes += len(piece)
            yield piece
        self._trace.ending = self._find_ending()
        if self._trace.ending is Ending.RESET:
            raise aiohttp.ClientPayloadError(
                'connection was reset before the answer had ended'
            )
        if self._trace.ending is Ending.UNSEEN:
            raise aiohttp.ClientPayloadError(
                'connection was released before its end was seen'
            )

    async def whole(self, held: byte_budget.Reservation) -> bytes:
        """Read the complete body; raise like ``pieces``.

        Raises ``BudgetExceeded`` as soon as the body exceeds what may be
        ``held``.
        """
        body = bytearray()
        try:
            async for piece in self.pieces():
                held.resize(len(body) + len(piece))
                body += piece
            return bytes(body)
        finally:
            # The traceback of an error would keep it until garbage is collected.
            body.clear()

    async def _next_piece(self) -> bytes:
        try:
            return await self._response.content.readany()
        except _READ_ERRORS:
            self._trace.ending = Ending.CUT
            raise

    def _find_ending(self) -> Ending:
        if self._trace.framing is not Framing.CONNECTION:
            return Ending.COMPLETE
        if self._protocol is None:
            return Ending.UNSEEN
        # Such a body ends with its connection, and aiohttp takes a reset for a
        # regular end: the answer of a crashed target would look complete.
        if isinstance(self._protocol.exception(), aiohttp.ClientOSError):
            return Ending.RESET
        return Ending.CLOSED


async def read_whole(
    response: aiohttp.ClientResponse, budget: byte_budget.ByteBudget
) -> bytes:
    """Read a complete body within a budget; raise like ``ResponseBody.whole``."""
    with budget.reserve() as held:
        return await ResponseBody(response).whole(held)


def _framing_of(response: aiohttp.ClientResponse) -> Framing:
    if response.method == 'HEAD' or response.status in _BODILESS_STATUSES:
        return Framing.NO_BODY
    coding = response.headers.get('Transfer-Encoding', '')
    if 'chunked' in coding.lower():
        return Framing.CHUNKS
    if 'Content-Length' in response.headers:
        return Framing.LENGTH
    return Framing.CONNECTION
