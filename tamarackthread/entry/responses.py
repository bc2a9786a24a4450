"""Write answers and errors to callers."""

from __future__ import annotations

import abc
import asyncio
import collections.abc
import contextlib
import json
import math
import types

import attrs
from aiohttp import web

from tamarackthread.entry import failures
from tamarackthread.generated.messages import ttypes as messages
from tamarackthread.shared import errors

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
    """The status and headers of an answer."""

    status: int
    headers: tuple[tuple[str, str], ...]


class Sink(abc.ABC):
    """Take one answer, piece by piece."""

    @property
    @abc.abstractmethod
    def started(self) -> bool:
        """Tell whether the caller has seen any of the answer."""

    @abc.abstractmethod
    async def start(self, head: Head) -> None:
        """Send the head; the body follows in pieces."""

    @abc.abstractmethod
    async def write(self, payload: bytes) -> None:
        """Send a piece of the body."""

    @abc.abstractmethod
    async def finish(self) -> None:
        """End the answer as whole."""

    @abc.abstractmethod
    async def send(self, head: Head, body: bytes) -> None:
        """Send a whole answer at once."""


def from_call_head(found: messages.CallHead) -> Head:
    """Turn an agent's head into the one for the caller."""
    headers = tuple(
        (header.name, header.value) for header in found.headers or ()
    )
    return Head(status=found.status, headers=headers)


def error_body(failure: errors.CodedError, request_id: str) -> bytes:
    """Build the JSON that tells a caller what failed and whether it ran."""
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
    """Build the head of an error answer."""
    headers = [
        ('Content-Type', 'application/json'),
        (REQUEST_ID_HEADER, request_id),
        (RAN_HEADER, _RAN_NAMES[failure.ran]),
    ]
    if failure.retry_after > 0:
        headers.append(('Retry-After', str(math.ceil(failure.retry_after))))
    return Head(status=failure.status, headers=tuple(headers))


@contextlib.asynccontextmanager
async def _reached() -> collections.abc.AsyncIterator[None]:
    """Say by a coded error that the caller can't be reached."""
    try:
        yield
    except TimeoutError as exc:
        raise failures.CallerTooSlow from exc
    except OSError as exc:
        raise failures.CallerGone from exc


class HttpSink(Sink):
    """Write an answer to an HTTP caller."""

    def __init__(
        self,
        request: web.BaseRequest,
        request_id: str,
        slow_seconds: float,
    ) -> None:
        """Send nothing yet; a caller may leave bytes unread so long."""
        self._request = request
        self._request_id = request_id
        self._slow_seconds = slow_seconds
        self._response: web.StreamResponse | None = None

    @property
    def started(self) -> bool:
        """Tell whether the head has left."""
        return self._response is not None

    @property
    def response(self) -> web.StreamResponse:
        """Give the response that the server must return."""
        assert self._response is not None
        return self._response

    async def start(self, head: Head) -> None:
        """Send the head; the body goes out in chunks."""
        response = web.StreamResponse(status=head.status)
        self._fill(response, head)
        self._response = response
        async with _reached():
            await response.prepare(self._request)

    async def write(self, payload: bytes) -> None:
        """Send a piece; raise ``CallerTooSlow`` if it is left unread."""
        async with _reached(), asyncio.timeout(self._slow_seconds):
            await self.response.write(payload)

    async def finish(self) -> None:
        """Send the closing chunk, which tells the caller that all came."""
        async with _reached(), asyncio.timeout(self._slow_seconds):
            await self.response.write_eof()

    async def send(self, head: Head, body: bytes) -> None:
        """Send head and body with their length."""
        response = web.Response(status=head.status, body=body)
        self._fill(response, head)
        self._response = response
        async with _reached(), asyncio.timeout(self._slow_seconds):
            await response.prepare(self._request)
            await response.write_eof()

    async def abort(self, failure: errors.CodedError) -> None:
        """End a started answer so that it cannot be taken for a whole one.

        An answer that just stopped would look complete to a caller that
        reads to the end.  The error event names the break, and the
        connection is cut without the closing chunk, which every HTTP client
        reports as an error.
        """
        response = self.response
        if response.content_type == 'text/event-stream':
            body = error_body(failure, self._request_id)
            await self._try_write(b'event: error\ndata: %b\n\n' % body)
        if self._request.transport is not None:
            self._request.transport.close()

    async def _try_write(self, payload: bytes) -> None:
        try:
            async with asyncio.timeout(1):
                await self.response.write(payload)
        except (OSError, TimeoutError):
            return

    def _fill(self, response: web.StreamResponse, head: Head) -> None:
        for name, value in head.headers:
            if name.lower() in {'date', 'server', 'content-length'}:
                continue
            if name.lower() == 'content-type':
                response.headers['Content-Type'] = value
                continue
            response.headers.add(name, value)
        response.headers[REQUEST_ID_HEADER] = self._request_id
