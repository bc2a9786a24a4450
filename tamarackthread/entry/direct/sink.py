"""Write a response to a caller over HTTP."""

from __future__ import annotations

import abc
import asyncio
import collections.abc

from aiohttp import http, web

from tamarackthread.entry.direct import stream_timing, target_client
from tamarackthread.shared import connection_reset


# A write that is longer waits until the caller takes it.
SLICE_BYTES = 64 << 10


class CallerDisconnected(Exception):
    """Caller has closed its connection and gets no response."""


class Sink(abc.ABC):
    """Write one response, whole or in pieces."""

    @property
    @abc.abstractmethod
    def has_started(self) -> bool:
        """Tell whether any part of the response was sent."""

    @property
    @abc.abstractmethod
    def timing(self) -> stream_timing.StreamTiming:
        """Return the times at which pieces of the body were sent."""

    @abc.abstractmethod
    async def start(self, head: target_client.ResponseHead) -> None:
        """Send the head; the body follows in pieces."""

    @abc.abstractmethod
    async def write(self, piece: bytes) -> None:
        """Send a piece of the body."""

    @abc.abstractmethod
    async def finish(self) -> None:
        """End the response as complete."""

    @abc.abstractmethod
    async def whole(
        self, head: target_client.ResponseHead, body: bytes
    ) -> None:
        """Send a complete response."""


class HttpSink(Sink):
    """Write a response to an HTTP caller."""

    def __init__(
        self,
        request: web.BaseRequest,
        is_closing: collections.abc.Callable[[], bool],
    ) -> None:
        """Send nothing yet; ``is_closing`` says whether to close afterwards."""
        self._request = request
        self._is_closing = is_closing
        # The request loses its transport when the server closes it.
        self._transport = request.transport
        self._response: web.StreamResponse | None = None
        self._timing = stream_timing.StreamTiming()
        self._is_complete = False

    @property
    def has_started(self) -> bool:
        """Tell whether the head was sent."""
        return self._response is not None

    @property
    def timing(self) -> stream_timing.StreamTiming:
        """Return the times at which pieces of a stream were sent."""
        return self._timing

    @property
    def response(self) -> web.StreamResponse:
        """Return the response that the HTTP server expects from its handler."""
        assert self._response is not None
        return self._response

    async def start(self, head: target_client.ResponseHead) -> None:
        """Send the head; the body follows in chunks.

        To an HTTP/1.0 caller it follows as it is, until the connection ends.
        """
        response = web.StreamResponse(status=head.status)
        self._fill(response, head)
        if not self._takes_chunks:
            # aiohttp would keep the connection, and the response never ends.
            response.force_close()
        elif self._request.method != 'HEAD':
            response.enable_chunked_encoding()
        self._response = response
        try:
            await response.prepare(self._request)
        except OSError as exc:
            raise CallerDisconnected from exc

    async def write(self, piece: bytes) -> None:
        """Send a piece, waiting while the caller's receive window is full."""
        self._timing.note(asyncio.get_running_loop().time())
        try:
            await self._write_slices(piece)
        except OSError as exc:
            raise CallerDisconnected from exc

    async def finish(self) -> None:
        """Send the last chunk, which marks the response as complete."""
        try:
            await self.response.write_eof()
        except OSError as exc:
            raise CallerDisconnected from exc
        self._is_complete = True

    async def whole(
        self, head: target_client.ResponseHead, body: bytes
    ) -> None:
        """Send head and body with a Content-Length."""
        is_long = len(body) > SLICE_BYTES
        response: web.StreamResponse
        if is_long:
            response = web.StreamResponse(status=head.status)
            response.content_length = len(body)
        else:
            response = web.Response(status=head.status, body=body)
            response.headers.popall('Content-Type', None)
        self._fill(response, head)
        self._response = response
        try:
            await response.prepare(self._request)
            if is_long:
                await self._write_slices(body)
            await response.write_eof()
        except OSError as exc:
            raise CallerDisconnected from exc
        self._is_complete = True

    def close_after_response(self) -> None:
        """Close the connection after this response."""
        if self._response is not None:
            self._response.force_close()

    def abort_incomplete(self) -> None:
        """Break the connection if the response has started and is incomplete."""
        if self._is_complete or not self.has_started:
            return
        if not self._takes_chunks:
            # A regular close would mark the response as complete.
            connection_reset.reset(self._transport)
        elif self._transport is not None:
            # Without the last chunk every HTTP client reports an error.
            self._transport.abort()

    @property
    def _takes_chunks(self) -> bool:
        return self._request.version >= http.HttpVersion11

    async def _write_slices(self, content: bytes) -> None:
        """Write so little at once that the transport doesn't hold it again."""
        view = memoryview(content)
        for start in range(0, len(content), SLICE_BYTES):
            await self.response.write(view[start : start + SLICE_BYTES])

    def _fill(
        self, response: web.StreamResponse, head: target_client.ResponseHead
    ) -> None:
        for name, value in head.headers:
            response.headers.add(name, value)
        if self._is_closing():
            response.force_close()
