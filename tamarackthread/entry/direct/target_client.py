"""Send calls to targets over HTTP and classify the responses."""

from __future__ import annotations

import asyncio
import collections.abc
import contextlib
import typing

import aiohttp
import attrs
import yarl

from tamarackthread.entry.direct import (
    calls,
    dialect,
    instances,
    target_log,
)
from tamarackthread.shared import (
    byte_budget,
    errors,
    header_bytes,
    http_connection,
    response_body,
)
from tamarackthread.shared.site import configuration, site_metrics

# Shorter than the retransmission timeout of a lost first packet, since trying
# another target is faster.
CONNECT_SECONDS = 0.35
# Shorter than the idle timeout of targets, so that they rarely close a
# connection just as it is reused.
KEEPALIVE_SECONDS = 2.0
# How long connections to a target that sent what belongs to no request aren't shared:
# it may do so again, and each time a call on the connection is lost.
FOREIGN_SECONDS = 10.0
# Bytes of answers that are held until they are complete: of one, and of all.
MAX_ANSWER_BYTES = 16 << 20
MAX_HELD_BYTES = 64 << 20
# Kinds of responses that tell nothing of the target that was asked.
_OF_OTHER_TARGETS = frozenset(
    (dialect.ResponseKind.MISDIRECTED, dialect.ResponseKind.MISMATCHED)
)


class TryFailure(errors.CodedError):
    """A try at a target gave the caller no answer."""

    # Label of the metric that counts repeats.
    reason = ''


class NotSent(TryFailure):
    """Connection to the target could not be made."""

    reason = 'not_sent'

    code = 'TT7220'
    status = 503


class Refused(TryFailure):
    """Target refused the call without running it."""

    reason = 'refused'

    code = 'TT7221'
    status = 503


class Elsewhere(Refused):
    """Another target answers at the address of the intended one."""

    reason = 'elsewhere'

    code = 'TT7222'


class Lost(TryFailure):
    """Target had the call, and its answer is missing or incomplete."""

    reason = 'lost'

    code = 'TT7223'
    status = 502


class Unanswered(Lost):
    """Connection to the target closed before any of its answer came."""

    reason = 'unanswered'

    code = 'TT7225'


@attrs.frozen
class ResponseHead:
    """The status and headers of a target's response."""

    status: int
    headers: list[tuple[str, str]]

    @property
    def is_success(self) -> bool:
        """Tell whether the target has done what it was asked for."""
        return self.status // 100 == 2

    @property
    def content_type(self) -> str:
        """Return the media type in lower case, empty if it is missing."""
        for name, value in self.headers:
            if name.lower() == 'content-type':
                return value.partition(';')[0].strip().lower()
        return ''


class TargetResponse:
    """A target's response whose head has arrived."""

    def __init__(
        self,
        head: ResponseHead,
        response: aiohttp.ClientResponse,
        held: byte_budget.Reservation,
    ) -> None:
        """Wrap a response; read its body with ``pieces`` or ``whole``."""
        self._head = head
        self._held = held
        self._body = response_body.ResponseBody(response)

    @property
    def head(self) -> ResponseHead:
        """Return the status and the headers for the caller."""
        return self._head

    @property
    def trace(self) -> response_body.BodyTrace:
        """Return what was received of the body so far."""
        return self._body.trace

    async def whole(self) -> bytes:
        """Read the complete body; raise ``Lost`` if it breaks off."""
        with _raising_lost():
            return await self._body.whole(self._held)

    def hold(self, size: int) -> None:
        """Count bytes that were read and can't be passed on yet.

        Raises ``Lost`` if this entry holds too many bytes of answers.
        """
        with _raising_lost():
            self._held.resize(size)

    async def pieces(self) -> collections.abc.AsyncIterator[bytes]:
        """Yield the body as it arrives; raise ``Lost`` if it breaks off."""
        arriving = self._body.pieces()
        while True:
            with _raising_lost():
                piece = await anext(arriving, b'')
            if not piece:
                return
            yield piece


class TargetClient:
    """Hold the connection pools for all targets."""

    def __init__(
        self, header_dialect: dialect.Dialect, max_held_bytes: int = 0
    ) -> None:
        """Open no connections until ``start``."""
        self._dialect = header_dialect
        self._held_bytes = byte_budget.ByteBudget(
            max_held_bytes or MAX_HELD_BYTES, MAX_ANSWER_BYTES
        )
        # When connections to an address are shared again.
        self._foreign_until: dict[str, float] = {}
        self._pooled: aiohttp.ClientSession | None = None
        self._unpooled: aiohttp.ClientSession | None = None

    async def start(self) -> None:
        """Create the pools; must be called in the running event loop."""
        header_bytes.install()
        self._pooled = _new_session(
            self._note_foreign, keepalive_timeout=KEEPALIVE_SECONDS
        )
        # Calls that must not repeat use a new connection each: a stale pooled
        # one may lose the call, and nobody knows whether it ran.
        self._unpooled = _new_session(self._note_foreign, force_close=True)

    async def close(self) -> None:
        """Close all connections."""
        for session in (self._pooled, self._unpooled):
            if session is not None:
                await session.close()

    @contextlib.asynccontextmanager
    async def send(
        self,
        call: calls.Call,
        target: instances.TargetInstance,
        last_event_id: str,
    ) -> collections.abc.AsyncIterator[TargetResponse]:
        """Send a call and yield the response once its head has arrived.

        Raises ``Lost`` if the call may have run, and ``NotSent``, ``Refused``
        or ``Elsewhere`` if not.
        """
        now = asyncio.get_running_loop().time()
        headers = self._dialect.request_headers(
            call, target.name, call.deadline - now, last_event_id
        )
        requesting = self._pool(call, target).request(
            call.request.method,
            yarl.URL(
                f'http://{target.announcement.address}{call.request.path}',
                encoded=True,
            ),
            headers=headers,
            data=call.body or None,
            allow_redirects=False,
        )
        response = typing.cast(
            http_connection.Response, await _await_head(requesting)
        )
        try:
            head = self._read_head(call, target, response)
            with self._held_bytes.reserve(call.connection) as held:
                yield TargetResponse(head, response, held)
        finally:
            # A response that was read completely has released its connection;
            # this closes the others.
            response.close()

    def _pool(
        self, call: calls.Call, target: instances.TargetInstance
    ) -> aiohttp.ClientSession:
        is_once = call.route.kind is configuration.RouteKind.ONCE
        is_pooled = not is_once and not self._sends_foreign(target)
        session = self._pooled if is_pooled else self._unpooled
        if session is None:
            raise errors.CodedError('target client is not started')
        return session

    def _note_foreign(self, address: str) -> None:
        """Stop sharing connections to an address for some seconds."""
        now = asyncio.get_running_loop().time()
        self._foreign_until = {
            known: until
            for known, until in self._foreign_until.items()
            if until > now
        }
        if address not in self._foreign_until:
            target_log.log_foreign(address)
        self._foreign_until[address] = now + FOREIGN_SECONDS
        site_metrics.FOREIGN_ANSWERS.inc()

    def _sends_foreign(self, target: instances.TargetInstance) -> bool:
        until = self._foreign_until.get(target.announcement.address, 0)
        return asyncio.get_running_loop().time() < until

    def _read_head(
        self,
        call: calls.Call,
        target: instances.TargetInstance,
        response: http_connection.Response,
    ) -> ResponseHead:
        """Return the head of an answer; raise what else a response means."""
        kind = self._kind_of(call, response)
        self._apply_backpressure(target, response, kind)
        if kind is dialect.ResponseKind.NOT_RUN:
            raise Refused(f'status {response.status}')
        if kind is dialect.ResponseKind.MISDIRECTED:
            raise Elsewhere(f'status {response.status}')
        if kind is dialect.ResponseKind.MISMATCHED:
            raise Lost(f'status {response.status} is no answer to this call')
        return ResponseHead(
            response.status, self._dialect.response_headers(response.headers)
        )

    def _kind_of(
        self, call: calls.Call, response: http_connection.Response
    ) -> dialect.ResponseKind:
        """Classify a response; one to another call ends its connection."""
        echoed_id = response.headers.get(self._dialect.id_header)
        if not response.belongs_to(call.request.call_id, echoed_id):
            return dialect.ResponseKind.MISMATCHED
        kind = self._dialect.classify(call, response.status, response.headers)
        if kind is dialect.ResponseKind.MISMATCHED:
            response.carrier.give_up()
        return kind

    def _apply_backpressure(
        self,
        target: instances.TargetInstance,
        response: aiohttp.ClientResponse,
        kind: dialect.ResponseKind,
    ) -> None:
        """Apply the backpressure of a response to its target."""
        if kind in _OF_OTHER_TARGETS:
            return
        now = asyncio.get_running_loop().time()
        requested = self._dialect.read_backpressure(
            response.status, response.headers
        )
        before = target.active_backpressure(now)
        target.apply_backpressure(
            requested, now, is_taken=kind is not dialect.ResponseKind.NOT_RUN
        )
        if target.active_backpressure(now) != before:
            target_log.log_backpressure(target, now)


async def _await_head(
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
def _raising_lost() -> collections.abc.Iterator[None]:
    try:
        yield
    except response_body.BOUNDED_READ_ERRORS as exc:
        raise Lost(str(exc) or type(exc).__name__) from exc


def _new_session(
    on_foreign: http_connection.OnForeign, **connector: object
) -> aiohttp.ClientSession:
    session = http_connection.new_session(
        {'limit': 0, **connector},
        on_foreign,
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
        read_bufsize=http_connection.READ_BYTES,
    )
    # aiohttp would resend idempotent methods on its own, outside the retry
    # budget.
    session._retry_connection = False
    return session
