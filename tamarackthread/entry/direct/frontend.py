"""Serve callers over HTTP and the readiness probe of the platform."""

from __future__ import annotations

import asyncio
import collections.abc
import json
import logging
import math
import random

import attrs
from aiohttp import web

from tamarackthread.entry.direct import (
    call_log,
    call_runner,
    calls,
    dialect,
    failures,
    hop_headers,
    routing_table,
    sink,
    target_client,
)
from tamarackthread.shared import (
    bounded_protocol,
    bounded_server,
    connection_table,
    errors,
    logs,
    process_bounds,
    request_body,
    stop_deadline,
)
from tamarackthread.shared.site import configuration as site
from tamarackthread.shared.site import site_metrics

# Limit of one header.  Callers may send 16 KB of headers, which is over the
# default limit of aiohttp.
MAX_HEADER_BYTES = 32 << 10
# Exceptions that a bug in this entry or in a library may raise.
_UNEXPECTED_ERRORS = (
    OSError,
    ValueError,
    LookupError,
    TypeError,
    AttributeError,
)
_log = logging.getLogger('tamarackthread.entry')


class Frontend:
    """Accept requests, run them as calls and send the responses."""

    def __init__(
        self,
        header_dialect: dialect.Dialect,
        tables: routing_table.CurrentTable,
        runner: call_runner.CallRunner,
        generator: random.Random,
        call_logger: call_log.CallLog,
        stopping: stop_deadline.StopDeadline,
        bounds: connection_table.Bounds = process_bounds.SMALL,
    ) -> None:
        """Serve nothing until ``start``; ``bounds`` are those of callers."""
        self._stopping = stopping
        self._bounds = bounds
        self._call_log = call_logger
        self._dialect = header_dialect
        self._tables = tables
        self._runner = runner
        self._random = generator
        self._is_draining = False
        self._is_refusing = False
        self._open_calls = 0
        self._busy_connections: set[web.RequestHandler] = set()
        self._idle = asyncio.Event()
        self._idle.set()
        self._runners: list[web.ServerRunner] = []

    @property
    def open_calls(self) -> int:
        """Return the number of calls in progress."""
        return self._open_calls

    @property
    def _version(self) -> int:
        current = self._tables.current
        return 0 if current is None else current.version

    async def start(self, address: str) -> str:
        """Serve callers at HOST:PORT and return the address in use."""
        return await self._serve(self._handle, 'callers', address, self._bounds)

    async def start_readiness(self, address: str) -> str:
        """Serve the readiness probe and return the address in use."""
        return await self._serve(
            self._answer_readiness, 'readiness', address, process_bounds.FEW
        )

    def begin_drain(self) -> None:
        """Report not ready and ask callers to reconnect, but go on serving."""
        self._is_draining = True

    def refuse_new(self) -> None:
        """Refuse new calls without running them, and close idle connections."""
        # A call accepted late in the drain would be cut off at its end.
        self._is_refusing = True
        for runner in self._runners:
            if runner.server is None:
                continue
            # A graceful close in aiohttp leaves idle connections open and drops
            # the requests on them, which callers would wait for.
            for connection in runner.server.connections:
                if connection not in self._busy_connections:
                    connection.force_close()

    async def wait_idle(self) -> None:
        """Wait until no call is in progress."""
        await self._idle.wait()

    async def stop(self) -> None:
        """Close the listeners and all connections."""
        for runner in self._runners:
            await runner.cleanup()

    async def _serve(
        self,
        handler: collections.abc.Callable[
            [web.BaseRequest],
            collections.abc.Awaitable[web.StreamResponse],
        ],
        title: str,
        address: str,
        bounds: connection_table.Bounds,
    ) -> str:
        server = web.Server(handler, handler_cancellation=True)
        runner = web.ServerRunner(
            server, handle_signals=False, shutdown_timeout=0.1
        )
        await runner.setup()
        self._runners.append(runner)
        served = bounded_server.BoundedSite(
            title,
            runner,
            address,
            bounds,
            self._client_limits,
            # Idle connections are closed by the limit of the configuration.
            keepalive_timeout=math.inf,
            lingering_time=0,
            # Bodies are passed on byte for byte.
            auto_decompress=False,
            max_line_size=MAX_HEADER_BYTES,
            max_field_size=MAX_HEADER_BYTES,
        )
        await served.start()
        return served.address

    def _client_limits(self) -> connection_table.ClientLimits:
        table = self._tables.current
        limits = site.Limits() if table is None else table.config.limits
        return limits.clients

    async def _answer_readiness(
        self,
        request: web.BaseRequest,
    ) -> web.StreamResponse:
        has_table = self._tables.current is not None
        is_ready = has_table and not self._is_draining
        return web.Response(status=200 if is_ready else 503)

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        self._call_started(request)
        out = sink.HttpSink(request, lambda: self._is_draining)
        try:
            with request_body.releasing(request):
                await self._respond(request, out)
        except sink.CallerDisconnected:
            self._call_log.log_disconnected(out)
        finally:
            # Also if this entry stops or fails in the middle of a response.
            out.abort_incomplete()
            self._call_ended(request)
        if self._is_draining:
            out.close_after_response()
        return out.response

    def _call_started(self, request: web.BaseRequest) -> None:
        self._open_calls += 1
        site_metrics.OPEN_CALLS.set(self._open_calls)
        self._busy_connections.add(request.protocol)
        self._idle.clear()

    def _call_ended(self, request: web.BaseRequest) -> None:
        self._open_calls -= 1
        site_metrics.OPEN_CALLS.set(self._open_calls)
        self._busy_connections.discard(request.protocol)
        if not self._open_calls:
            self._idle.set()

    async def _respond(
        self,
        request: web.BaseRequest,
        out: sink.HttpSink,
    ) -> None:
        try:
            parsed = self._dialect.read_request(request)
            parsed = attrs.evolve(
                parsed, headers=hop_headers.end_to_end(parsed.headers)
            )
        except errors.CodedError as exc:
            await self._send_error('', None, out, exc)
            return
        with logs.request(parsed.call_id):
            await self._run_call(request, parsed, out)

    async def _run_call(
        self,
        request: web.BaseRequest,
        parsed: calls.CallRequest,
        out: sink.HttpSink,
    ) -> None:
        call: calls.Call | None = None
        try:
            call = await self._admit_in_time(request, parsed)
            progress = await self._runner.run(call, out)
        except errors.CodedError as exc:
            await self._send_error(parsed.call_id, call, out, exc)
        except _UNEXPECTED_ERRORS as exc:
            # A bug in this entry: whether the call ran is unknown.
            _log.exception('entry: unexpected error in a call')
            fault = failures.TargetFailed(str(exc))
            await self._send_error(parsed.call_id, call, out, fault)
        else:
            self._call_log.log_answered(
                call, self._version, out.timing, progress
            )

    async def _admit_in_time(
        self,
        request: web.BaseRequest,
        parsed: calls.CallRequest,
    ) -> calls.Call:
        """Route a request; raise ``EntryStops`` if its body comes too late."""
        try:
            async with self._stopping.timeout_at(math.inf):
                return await self._admit(request, parsed)
        except TimeoutError as exc:
            raise failures.EntryStops() from exc

    async def _admit(
        self,
        request: web.BaseRequest,
        parsed: calls.CallRequest,
    ) -> calls.Call:
        """Route a request; raise a coded error if it is refused."""
        arrived = asyncio.get_running_loop().time()
        if self._is_refusing:
            raise failures.EntryStops()
        table = await self._tables.wait(calls.startup_wait(parsed.time_left))
        path = parsed.path.partition('?')[0]
        match = table.find(parsed.host, path, parsed.key)
        left = match.route.timeout
        if parsed.time_left is not None:
            left = min(left, parsed.time_left)
        body = await _read_body(
            request, table.config.limits.body_bytes, arrived + left
        )
        return calls.Call(
            request=parsed,
            body=body,
            route=match.route,
            service=routing_table.pick_service(match.route, self._random),
            organisation=match.organisation,
            arrived_at=arrived,
            deadline=arrived + left,
            priority=match.priority,
            connection=bounded_protocol.connection_of(request),
        )

    async def _send_error(
        self,
        call_id: str,
        call: calls.Call | None,
        out: sink.HttpSink,
        failure: errors.CodedError,
    ) -> None:
        self._call_log.log_failed(failure, call, self._version, out.has_started)
        if out.has_started:
            return
        headers = self._dialect.refusal_headers(call_id)
        headers.append(('Content-Type', 'application/json'))
        if failure.retry_after > 0:
            headers.append(('Retry-After', f'{failure.retry_after:.2f}'))
        body = {'error': {'code': failure.code, 'message': str(failure)}}
        await out.whole(
            target_client.ResponseHead(failure.status, headers),
            json.dumps(body).encode(),
        )


async def _read_body(
    request: web.BaseRequest, max_bytes: int, deadline: float
) -> bytes:
    """Read a body; raise ``BodyTooSlow`` and what ``request_body.read`` does."""
    try:
        async with asyncio.timeout_at(deadline):
            return await request_body.read(request, max_bytes)
    except TimeoutError as exc:
        raise failures.BodyTooSlow() from exc
