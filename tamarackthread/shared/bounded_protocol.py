"""Read the requests of a connection within limits, and account for it."""

from __future__ import annotations

import asyncio
import collections.abc
import typing

from aiohttp import streams, web, web_protocol

from tamarackthread.shared import connection_table
from tamarackthread.shared.site import site_metrics

# Requests that are parsed while the one before them is served.
REQUESTS_AHEAD = 2
# A turn of the event loop reads so much of a connection, more of one whose bytes are
# cheap to parse; an answer has about as much in the transport's buffer.
MIN_READ_BYTES = 4 << 10
READ_BYTES = 32 << 10
WRITE_BYTES = 16 << 10
# The headers of a request take about this many times their size.
HEAD_FACTOR = 8
# aiohttp parses small chunks one by one, stopping after each.  So many in a piece are
# no ordinary body; each has a rest of several times what it costs, by its count and
# not by the clock: a slow host is not the client's fault.
MANY_STEPS = 64
STEP_REST_SECONDS = 50e-6
# What may wait behind an answer that isn't read: in the buffers of its target's
# connection, and a piece that is written.
STALLED_BYTES = 192 << 10
# Time in which a client may take the refusal of its unfinished body.
REFUSAL_SECONDS = 1.0
# aiohttp has no other way to say how far it may read ahead.
web_protocol.MAX_MSG_QUEUE_SIZE = REQUESTS_AHEAD
_Phase = connection_table.Phase
_Purpose = connection_table.Purpose
_Reason = connection_table.Reason


class ParseTurns:
    """Share the processor among connections whose bytes take many steps to parse.

    Many small chunks cost far more than their size.  Read as they come, they
    would keep links and probes waiting.
    """

    def __init__(self) -> None:
        """Let the first one go on at once."""
        self._next_at: float = 0

    def take(self, now: float, steps: int) -> float:
        """Return how many seconds a connection waits after so many steps."""
        self._next_at = max(now, self._next_at) + STEP_REST_SECONDS * steps
        return self._next_at - now


Limits = collections.abc.Callable[[], connection_table.ClientLimits]


class BoundedProtocol(web.RequestHandler):
    """Read requests within limits, and keep account of what is held."""

    def __init__(
        self,
        manager: web.Server,
        table: connection_table.ConnectionTable,
        parse_turns: ParseTurns,
        limits: Limits,
        **options: typing.Any,
    ) -> None:
        """Take a place in ``table`` once connected; ``options`` are aiohttp's."""
        super().__init__(manager, access_log=None, **options)
        self._table = table
        self._limits = limits
        self._parse_turns = parse_turns
        self._carrier: asyncio.Transport | None = None
        self._record = connection_table.Connection(
            self._close_for, self._unsent_bytes
        )
        # Of a head that is not complete.
        self._partial_head_bytes = 0
        self._read_bytes = MIN_READ_BYTES
        self._steps = 0
        self._is_resting = False
        self._newest_body: streams.StreamReader = streams.EMPTY_PAYLOAD

    @property
    def record(self) -> connection_table.Connection:
        """Return what this connection holds."""
        return self._record

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Serve a connection, or close it before anything is read."""
        self._carrier = typing.cast(asyncio.Transport, transport)
        try:
            self._table.open(self._record)
        except connection_table.OutOfRoom:
            site_metrics.CONNECTIONS_CLOSED.labels(_Reason.CONNECTIONS).inc()
            self._carrier.abort()
            return
        self._read_at_once(MIN_READ_BYTES)
        self._carrier.set_write_buffer_limits(high=WRITE_BYTES)
        super().connection_made(transport)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Free what the connection held."""
        self._table.remove(self._record)
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Parse a piece, and count what it adds to the heads that are held."""
        is_of_head = self._newest_body.is_eof()
        requests_before = self._request_count
        if data:
            self._begin_piece(len(data))
        else:
            self._note_step()
        super().data_received(data)
        if self._request_count != requests_before:
            self._head_ended()
        elif is_of_head and data:
            self._head_goes_on(len(data))
        if is_of_head and data:
            self._hold_heads(HEAD_FACTOR * len(data))

    async def finish_response(
        self,
        request: web.BaseRequest,
        resp: web.StreamResponse,
        start_time: float | None,
    ) -> tuple[web.StreamResponse, bool]:
        """End a response and wait for the next request."""
        ended = await super().finish_response(request, resp, start_time)
        self._request_ended()
        return ended

    def pause_writing(self) -> None:
        """Note that the client doesn't take its answer."""
        super().pause_writing()
        self._record.enter(_Phase.STALLED)
        unsent = self._unsent_bytes()
        self._hold_or_abort(_Purpose.UNSENT, unsent + STALLED_BYTES)

    def resume_writing(self) -> None:
        """Note that the client has taken its answer so far."""
        super().resume_writing()
        self._hold_or_abort(_Purpose.UNSENT, 0)
        # A response may have ended meanwhile.
        is_served = self._current_request is not None
        self._record.enter(_Phase.CALL if is_served else self._next_phase)

    @property
    def _next_phase(self) -> connection_table.Phase:
        """Return what the connection waits for after a response."""
        if self._messages:
            return _Phase.CALL
        return _Phase.HEAD if self._partial_head_bytes else _Phase.IDLE

    def _head_ended(self) -> None:
        self._partial_head_bytes = 0
        if self._messages:
            self._newest_body = self._messages[-1][1]
        if self._record.phase in {_Phase.IDLE, _Phase.HEAD}:
            self._record.enter(_Phase.CALL)

    def _head_goes_on(self, size: int) -> None:
        self._partial_head_bytes += size
        if self._record.phase is _Phase.IDLE:
            self._record.enter(_Phase.HEAD)
        # Up to a whole read may belong to the request before.
        longest = self._limits().header_bytes + READ_BYTES
        if self._partial_head_bytes > longest:
            self._table.close(self._record, _Reason.LONG_HEAD)

    def _begin_piece(self, size: int) -> None:
        """Read more at once if the piece before was cheap to parse."""
        if size == self._read_bytes and not self._is_resting:
            self._read_at_once(min(2 * size, READ_BYTES))
        self._steps = 0

    def _note_step(self) -> None:
        """Read no more for a while after a piece of many steps."""
        self._steps += 1
        if self._steps < MANY_STEPS or self._carrier is None:
            return
        wait = self._parse_turns.take(self._loop.time(), self._steps)
        # The rest of the piece is counted by itself.
        self._steps = 0
        if self._is_resting:
            return
        self._is_resting = True
        self._read_at_once(MIN_READ_BYTES)
        self._carrier.pause_reading()
        self._loop.call_later(wait, self._end_rest)

    def _read_at_once(self, size: int) -> None:
        self._read_bytes = size
        # asyncio reads up to 256 KB at once; it has no setting for that.
        self._carrier.max_size = size  # type: ignore[union-attr]

    def _end_rest(self) -> None:
        """Read on, unless aiohttp has stopped reading meanwhile."""
        self._is_resting = False
        if not self._reading_paused and not self._buffer_paused:
            self._resume_transport_reading()

    def _resume_transport_reading(self) -> None:
        """Don't let aiohttp read on during a rest."""
        if not self._is_resting:
            super()._resume_transport_reading()

    def _hold_heads(self, size: int) -> None:
        held = self._record.held_for(_Purpose.HEADS)
        self._hold_or_abort(_Purpose.HEADS, held + size)

    def _request_ended(self) -> None:
        """Count the heads that are left, and wait for the next request."""
        waiting = len(self._messages)
        heads = self._record.held_for(_Purpose.HEADS)
        self._record.hold(_Purpose.HEADS, heads * waiting // (waiting + 1))
        if self._record.phase is not _Phase.STALLED:
            self._record.enter(self._next_phase)

    def _hold_or_abort(
        self, purpose: connection_table.Purpose, size: int
    ) -> None:
        try:
            self._record.hold(purpose, size)
        except connection_table.OutOfRoom:
            self._table.close(self._record, _Reason.BYTES)

    def _unsent_bytes(self) -> int:
        if self._carrier is None:
            return 0
        return self._carrier.get_write_buffer_size()

    def _close_for(self, reason: connection_table.Reason) -> None:
        assert self._carrier is not None
        site_metrics.CONNECTIONS_CLOSED.labels(reason.value).inc()
        is_read = self._current_request is not None
        if self._record.phase is not _Phase.BODY or not is_read:
            self._carrier.abort()
            return
        # The request has not run, which its client is told.
        request_body = self._current_request.content
        request_body.set_exception(connection_table.OutOfRoom(reason.value))
        self._loop.call_later(REFUSAL_SECONDS, self._carrier.abort)


def connection_of(request: web.BaseRequest) -> connection_table.Connection:
    """Return the connection that a request came on."""
    return typing.cast(BoundedProtocol, request.protocol).record
