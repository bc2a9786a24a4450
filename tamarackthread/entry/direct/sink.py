"""Write an answer to a caller over HTTP."""

from __future__ import annotations

import abc
import asyncio
import collections.abc

from aiohttp import web

from tamarackthread.entry.direct import stream_timing, target_client


class CallerDisconnected(Exception):
    """Caller has closed its connection; nobody waits for an answer."""


class Sink(abc.ABC):
    """Take one answer, piece by piece."""

    @property
    @abc.abstractmethod
    def has_started(self) -> bool:
        """Tell whether the caller has seen any of an answer."""

    @property
    @abc.abstractmethod
    def tempo(self) -> stream_timing.StreamTiming:
        """Return when the pieces of the body left."""

    @abc.abstractmethod
    async def start(self, head: target_client.ResponseHead) -> None:
        """Send the head; the body follows in pieces."""

    @abc.abstractmethod
    async def write(self, piece: bytes) -> None:
        """Send a piece of the body."""

    @abc.abstractmethod
    async def finish(self) -> None:
        """End the answer as whole."""

    @abc.abstractmethod
    async def whole(
        self, head: target_client.ResponseHead, body: bytes
    ) -> None:
        """Send a whole answer at once."""


class HttpSink(Sink):
    """Write to an HTTP caller."""

    def __init__(
        self,
        request: web.BaseRequest,
        is_last: collections.abc.Callable[[], bool],
    ) -> None:
        """Send nothing yet; ``is_last`` asks the caller to reconnect."""
        self._request = request
        self._is_last = is_last
        self._response: web.StreamResponse | None = None
        self._tempo = stream_timing.StreamTiming()

    @property
    def has_started(self) -> bool:
        """Tell whether the head has left."""
        return self._response is not None

    @property
    def tempo(self) -> stream_timing.StreamTiming:
        """Return when the pieces of a stream left."""
        return self._tempo

    @property
    def response(self) -> web.StreamResponse:
        """Give the response that the server must return."""
        assert self._response is not None
        return self._response

    async def start(self, head: target_client.ResponseHead) -> None:
        """Send the head; the body goes out in chunks."""
        response = web.StreamResponse(status=head.status)
        self._fill(response, head)
        if self._request.method != 'HEAD':
            response.enable_chunked_encoding()
        self._response = response
        try:
            await response.prepare(self._request)
        except OSError as exc:
            raise CallerDisconnected from exc

    async def write(self, piece: bytes) -> None:
        """Send a piece and wait while the caller's window is closed."""
        self._tempo.note(asyncio.get_running_loop().time())
        try:
            await self.response.write(piece)
        except OSError as exc:
            raise CallerDisconnected from exc

    async def finish(self) -> None:
        """Send the closing chunk, which tells the caller that all came."""
        try:
            await self.response.write_eof()
        except OSError as exc:
            raise CallerDisconnected from exc

    async def whole(
        self, head: target_client.ResponseHead, body: bytes
    ) -> None:
        """Send head and body with their length."""
        response = web.Response(status=head.status, body=body)
        response.headers.popall('Content-Type', None)
        self._fill(response, head)
        self._response = response
        try:
            await response.prepare(self._request)
            await response.write_eof()
        except OSError as exc:
            raise CallerDisconnected from exc

    def end_connection(self) -> None:
        """Let no further request come on this connection."""
        if self._response is not None:
            self._response.force_close()

    def break_off(self) -> None:
        """Cut the connection, so that the answer can't be taken for whole.

        Ended in good order, an answer that lacks its last part would look
        complete to a caller that reads to the end.  Without the closing chunk
        every HTTP client reports an error.
        """
        if self._request.transport is not None:
            self._request.transport.abort()

    def _fill(
        self, response: web.StreamResponse, head: target_client.ResponseHead
    ) -> None:
        for name, value in head.headers:
            response.headers.add(name, value)
        if self._is_last():
            response.force_close()
