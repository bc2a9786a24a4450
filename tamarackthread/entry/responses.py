"""Write responses and errors to callers."""

from __future__ import annotations

import abc
import asyncio
import collections.abc
import contextlib
import json
import math
import types

import attrs
from aiohttp import http, web

from tamarackthread.entry import failures
from tamarackthread.generated.messages import ttypes as messages
from tamarackthread.shared import connection_reset, errors

REQUEST_ID_HEADER = 'X-Request-Id'
RAN_HEADER = 'X-Tamarackthread-Ran'
_RAN_NAMES = types.MappingProxyType(
    {
        messages.Ran.NOT_RUN: 'not_run',
        messages.Ran.COMPLETE: 'complete',
        messages.Ran.MAY_HAVE_RUN: 'may_have_run',
    }
)


@attrs.frozen
class Head:
    """The status and headers of a response."""

    status: int
    headers: tuple[tuple[str, str], ...]


class Sink(abc.ABC):
    """Receive one response, streamed or at once."""

    @property
    @abc.abstractmethod
    def started(self) -> bool:
        """Return whether any of the response was sent to the caller."""

    @abc.abstractmethod
    async def start(self, head: Head) -> None:
        """Send the head of a streamed response."""

    @abc.abstractmethod
    async def write(self, payload: bytes) -> None:
        """Send a chunk of the body."""

    @abc.abstractmethod
    async def finish(self) -> None:
        """End a streamed response as complete."""

    @abc.abstractmethod
    async def send(self, head: Head, body: bytes) -> None:
        """Send a complete response."""


def from_call_head(call_head: messages.CallHead) -> Head:
    """Convert an agent's message to the head of a response."""
    headers = tuple(
        (header.name, header.value) for header in call_head.headers or ()
    )
    return Head(status=call_head.status, headers=headers)


def error_body(failure: errors.CodedError, request_id: str) -> bytes:
    """Build the JSON body with the error and whether the call ran."""
    error = {
        'code': failure.code,
        'type': type(failure).__name__,
        'message': str(failure),
        'ran': _RAN_NAMES[failure.ran],
        'retry_after_ms': int(failure.retry_after * 1000),
        'request_id': request_id,
    }
    return json.dumps({'error': error}).encode()


def error_head(failure: errors.CodedError, request_id: str) -> Head:
    """Build the head of an error response."""
    headers = [
        ('Content-Type', 'application/json'),
        (REQUEST_ID_HEADER, request_id),
        (RAN_HEADER, _RAN_NAMES[failure.ran]),
    ]
    if failure.retry_after > 0:
        headers.append(('Retry-After', str(math.ceil(failure.retry_after))))
    return Head(status=failure.status, headers=tuple(headers))


@contextlib.asynccontextmanager
async def _caller_errors() -> collections.abc.AsyncIterator[None]:
    """Convert timeouts and socket errors to coded errors."""
    try:
        yield
    except TimeoutError as exc:
        raise failures.CallerTooSlow from exc
    except OSError as exc:
        raise failures.CallerGone from exc


class HttpSink(Sink):
    """Write a response to an HTTP caller."""

    def __init__(
        self,
        request: web.BaseRequest,
        request_id: str,
        write_timeout: float,
    ) -> None:
        """Send nothing yet; ``write_timeout`` in seconds bounds a write."""
        self._request = request
        self._request_id = request_id
        self._write_timeout = write_timeout
        # The request loses its transport when the server closes it.
        self._transport = request.transport
        self._response: web.StreamResponse | None = None
        self._is_complete = False

    @property
    def started(self) -> bool:
        """Return whether the head was sent."""
        return self._response is not None

    @property
    def response(self) -> web.StreamResponse:
        """Return the response for the HTTP server."""
        assert self._response is not None
        return self._response

    async def start(self, head: Head) -> None:
        """Send the head; the body follows in chunks.

        To an HTTP/1.0 caller it follows as it is, until the connection ends.
        """
        response = web.StreamResponse(status=head.status)
        self._set_headers(response, head)
        if not self._takes_chunks:
            # aiohttp would keep the connection, and the response never ends.
            response.force_close()
        self._response = response
        async with _caller_errors():
            await response.prepare(self._request)

    async def write(self, payload: bytes) -> None:
        """Send a chunk; raise ``CallerTooSlow`` on a timeout."""
        async with _caller_errors(), asyncio.timeout(self._write_timeout):
            await self.response.write(payload)

    async def finish(self) -> None:
        """Send the last chunk, which marks the response as complete."""
        async with _caller_errors(), asyncio.timeout(self._write_timeout):
            await self.response.write_eof()
        self._is_complete = True

    async def send(self, head: Head, body: bytes) -> None:
        """Send a response with ``Content-Length``."""
        response = web.Response(status=head.status, body=body)
        self._set_headers(response, head)
        self._response = response
        async with _caller_errors(), asyncio.timeout(self._write_timeout):
            await response.prepare(self._request)
            await response.write_eof()
        self._is_complete = True

    async def abort(self, failure: errors.CodedError) -> None:
        """End an incomplete response so that clients report an error."""
        response = self.response
        if response.content_type == 'text/event-stream':
            body = error_body(failure, self._request_id)
            await self._try_write(b'event: error\ndata: %b\n\n' % body)
        self.close_incomplete()

    def close_incomplete(self) -> None:
        """Break the connection if the response has started and is incomplete."""
        if self._is_complete or not self.started:
            return
        if not self._takes_chunks:
            # A regular close would mark the response as complete.
            connection_reset.reset(self._transport)
        elif self._transport is not None:
            # Without the last chunk the response counts as incomplete.
            self._transport.close()

    @property
    def _takes_chunks(self) -> bool:
        return self._request.version >= http.HttpVersion11

    async def _try_write(self, payload: bytes) -> None:
        try:
            async with asyncio.timeout(1):
                await self.response.write(payload)
        except (OSError, TimeoutError):
            return

    def _set_headers(self, response: web.StreamResponse, head: Head) -> None:
        for name, value in head.headers:
            if name.lower() in {'date', 'server', 'content-length'}:
                continue
            if name.lower() == 'content-type':
                response.headers['Content-Type'] = value
                continue
            response.headers.add(name, value)
        response.headers[REQUEST_ID_HEADER] = self._request_id
