"""Send a call to a target and judge what comes back."""

from __future__ import annotations

import asyncio
import collections.abc
import contextlib

import aiohttp
import attrs
import yarl

from tamarackthread.entry.direct import (
    calls,
    dialect,
    instances,
    target_log,
)
from tamarackthread.shared import errors
from tamarackthread.shared.site import configuration

# A way there and back takes some milliseconds and a target a few more to
# accept.  A first packet that is dropped is sent again after a second only,
# which another target or a second try can beat.
CONNECT_SECONDS = 0.35
# Targets close idle connections after some seconds.  One that is used no
# later than this is hardly ever closed in the very moment of its use.
KEEP_SECONDS = 2.0
READ_BYTES = 64 * 1024
# Headers that concern one connection only, besides those that it names.
_HOP = frozenset(
    (
        'connection',
        'keep-alive',
        'proxy-connection',
        'transfer-encoding',
        'content-length',
        'te',
        'trailer',
        'upgrade',
        'expect',
    ),
)


class NotSent(errors.CodedError):
    """No connection to the target could be made."""

    code = 'TT7220'
    status = 503


class Refused(errors.CodedError):
    """Target refused the call and says that it did not run."""

    code = 'TT7221'
    status = 503


class Elsewhere(Refused):
    """Another target answers at the address of the one that was meant."""

    code = 'TT7222'


class Lost(errors.CodedError):
    """Target had the call, and its answer did not come or is not whole."""

    code = 'TT7223'
    status = 502


class Unanswered(Lost):
    """Connection to the target ended before any of its answer had come."""

    code = 'TT7225'


@attrs.frozen
class ResponseHead:
    """The head of a target's own answer to a call."""

    status: int
    headers: list[tuple[str, str]]


class TargetResponse:
    """A target's answer whose head has come."""

    def __init__(
        self, head: ResponseHead, response: aiohttp.ClientResponse
    ) -> None:
        """Read the body with ``pieces`` or ``whole``."""
        self._head = head
        self._response = response
        connection = response.connection
        # An answer that has come whole has let its connection go already.
        self._protocol = None if connection is None else connection.protocol

    @property
    def head(self) -> ResponseHead:
        """Return status and headers for the caller."""
        return self._head

    async def whole(self) -> bytes:
        """Read the body to its end; raise ``Lost`` if it broke off."""
        with _losing():
            body = await self._response.read()
        self._require_end()
        return body

    async def pieces(self) -> collections.abc.AsyncIterator[bytes]:
        """Yield the body as it comes; raise ``Lost`` if it breaks off."""
        content = self._response.content
        while True:
            with _losing():
                piece = await content.readany()
            if not piece:
                self._require_end()
                return
            yield piece

    def _require_end(self) -> None:
        """Raise ``Lost`` if the end of the connection was not a planned one.

        An answer without a length ends with its connection.  The library
        takes a reset for that end too, and a target that crashed half way
        would seem to have said all.
        """
        if self._protocol is None or _is_framed(self._response):
            return
        if isinstance(self._protocol.exception(), aiohttp.ClientOSError):
            raise Lost('connection was reset before the answer had ended')


class TargetClient:
    """Hold the connections to all targets."""

    def __init__(self, spoken: dialect.Dialect) -> None:
        """Open nothing until ``start``."""
        self._dialect = spoken
        self._kept: aiohttp.ClientSession | None = None
        self._fresh: aiohttp.ClientSession | None = None

    async def start(self) -> None:
        """Make the pools; call it from inside the running loop."""
        self._kept = _session(keepalive_timeout=KEEP_SECONDS)
        # The failure: a kept connection that something on its way has lost
        # track of, or that the target closes in this moment, swallows the
        # call, and nobody knows whether it ran.  A call that must not repeat
        # cannot be sent again then.  It goes over a connection of its own,
        # which has just shown that it works.
        self._fresh = _session(force_close=True)

    async def close(self) -> None:
        """Close all connections."""
        for session in (self._kept, self._fresh):
            if session is not None:
                await session.close()

    @contextlib.asynccontextmanager
    async def send(
        self,
        call: calls.Call,
        target: instances.TargetInstance,
        position: str,
    ) -> collections.abc.AsyncIterator[TargetResponse]:
        """Send a call and give the target's answer once its head has come.

        Raises ``NotSent``, ``Refused`` or ``Elsewhere`` where the call did not
        run, and ``Lost`` where it may have.  Leaving the context before the
        body has ended closes the connection, at which a target stops.
        """
        now = asyncio.get_running_loop().time()
        headers = self._dialect.outgoing(
            call, target.name, call.deadline - now, position
        )
        requesting = self._pool(call).request(
            call.asked.method,
            yarl.URL(
                f'http://{target.said.address}{call.asked.path}', encoded=True
            ),
            headers=_without_hops(headers),
            data=call.body or None,
            allow_redirects=False,
        )
        response = await _head_of(requesting)
        try:
            yield self._judged(call, target, response)
        finally:
            # A response that was read to its end has given its connection
            # back already; this closes one that was not.
            response.close()

    def _pool(self, call: calls.Call) -> aiohttp.ClientSession:
        session = self._kept
        if call.route.kind is configuration.Kind.ONCE:
            session = self._fresh
        if session is None:
            raise errors.CodedError('sender is not started')
        return session

    def _judged(
        self,
        call: calls.Call,
        target: instances.TargetInstance,
        response: aiohttp.ClientResponse,
    ) -> TargetResponse:
        said = self._dialect.judge(call, response.status, response.headers)
        self._hear(target, response, said)
        if said is dialect.ResponseKind.NOT_RUN:
            raise Refused(f'status {response.status}')
        if said is dialect.ResponseKind.ELSEWHERE:
            raise Elsewhere(f'status {response.status}')
        if said is dialect.ResponseKind.STRAY:
            raise Lost(f'status {response.status} is no answer to this call')
        head = ResponseHead(
            response.status, self._dialect.answer(response.headers)
        )
        return TargetResponse(head, response)

    def _hear(
        self,
        target: instances.TargetInstance,
        response: aiohttp.ClientResponse,
        said: dialect.ResponseKind,
    ) -> None:
        """Give a target what its answer asks for, whatever else it says.

        What another target answers at its address is not its word.
        """
        if said is dialect.ResponseKind.ELSEWHERE:
            return
        now = asyncio.get_running_loop().time()
        asked = self._dialect.asked(response.status, response.headers)
        before = target.asking(now)
        target.hear(
            asked, now, is_taken=said is not dialect.ResponseKind.NOT_RUN
        )
        if target.asking(now) != before:
            target_log.tell_asking(target, now)


async def _head_of(
    requesting: collections.abc.Awaitable[aiohttp.ClientResponse],
) -> aiohttp.ClientResponse:
    try:
        return await requesting
    except (
        aiohttp.ConnectionTimeoutError,
        aiohttp.ClientConnectorError,
    ) as exc:
        raise NotSent(str(exc)) from exc
    except (aiohttp.ServerDisconnectedError, OSError) as exc:
        raise Unanswered(str(exc) or type(exc).__name__) from exc
    except (aiohttp.ClientError, ValueError) as exc:
        raise Lost(str(exc) or type(exc).__name__) from exc


@contextlib.contextmanager
def _losing() -> collections.abc.Iterator[None]:
    try:
        yield
    except (aiohttp.ClientError, OSError, ValueError) as exc:
        raise Lost(str(exc) or type(exc).__name__) from exc


def _is_framed(response: aiohttp.ClientResponse) -> bool:
    """Tell whether the answer itself says where it ends."""
    if 'Content-Length' in response.headers:
        return True
    coding = response.headers.get('Transfer-Encoding', '')
    return 'chunked' in coding.lower()


def _session(**connector: object) -> aiohttp.ClientSession:
    session = aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(limit=0, **connector),
        timeout=aiohttp.ClientTimeout(
            total=None, connect=CONNECT_SECONDS, sock_connect=CONNECT_SECONDS
        ),
        skip_auto_headers=(
            'User-Agent',
            'Accept',
            'Accept-Encoding',
            'Content-Type',
        ),
        auto_decompress=False,
        cookie_jar=aiohttp.DummyCookieJar(),
        read_bufsize=READ_BYTES,
    )
    # The library sends some methods again by itself when a connection breaks.
    # That second run would be counted nowhere and may be one too many.
    session._retry_connection = False
    return session


def _without_hops(headers: calls.Headers) -> calls.Headers:
    """Leave out headers that concern only the caller's connection."""
    named = set(_HOP)
    for header, text in headers:
        if header.lower() == 'connection':
            named.update(part.strip().lower() for part in text.split(','))
    return tuple(
        (name, value) for name, value in headers if name.lower() not in named
    )
