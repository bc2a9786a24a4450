"""Serve callers' HTTP and the platform's question whether to send more."""

from __future__ import annotations

import asyncio
import collections.abc
import json
import logging
import random

from aiohttp import web

from tamarackthread.entry.direct import (
    call_log,
    call_runner,
    calls,
    dialect,
    failures,
    routing_table,
    sink,
    target_client,
)
from tamarackthread.shared import errors, logs
from tamarackthread.shared.site import figures

# Callers keep a connection that was idle for most of the idle limit; closing
# later than any of them costs a descriptor and cuts off nobody.
KEEP_SECONDS = 75.0
# Another entry takes the call at once.
STOPPING_RETRY_SECONDS = 0.01
# One header's most bytes; callers stay within 16 KB for all of theirs.  The
# library's own limit is half of that and would refuse a proper call.
HEADER_BYTES = 32 << 10
# What a fault of this entry's own code or of a library raises.
_FAULTS = (OSError, ValueError, LookupError, TypeError, AttributeError)
_log = logging.getLogger('tamarackthread.entry')


class Frontend:
    """Take requests, run them and answer."""

    def __init__(
        self,
        spoken: dialect.Dialect,
        tables: routing_table.CurrentTable,
        runner: call_runner.CallRunner,
        generator: random.Random,
        counted: call_log.CallLog,
    ) -> None:
        """Serve nothing until ``start``."""
        self._ledger = counted
        self._dialect = spoken
        self._tables = tables
        self._runner = runner
        self._random = generator
        self._is_leaving = False
        self._is_refusing = False
        self._open = 0
        self._busy: set[web.RequestHandler] = set()
        self._idle = asyncio.Event()
        self._idle.set()
        self._runners: list[web.ServerRunner] = []

    @property
    def open_calls(self) -> int:
        """Count the calls in this entry."""
        return self._open

    @property
    def _version(self) -> int:
        current = self._tables.current
        return 0 if current is None else current.version

    async def start(self, address: str) -> str:
        """Serve callers at HOST:PORT and return the address in use."""
        return await self._serve(self._handle, address)

    async def start_readiness(self, address: str) -> str:
        """Serve the platform's question and return the address in use."""
        return await self._serve(self._answer_readiness, address)

    def leave(self) -> None:
        """Say not ready and ask callers to reconnect; go on serving."""
        self._is_leaving = True

    def refuse_new(self) -> None:
        """Refuse new calls, which have then not run, and close what is idle.

        A call that is accepted late in a stop would be cut off at its end.
        """
        self._is_refusing = True
        for runner in self._runners:
            if runner.server is None:
                continue
            # The library's own way leaves idle connections open and drops
            # what comes on them, so that a caller waits for nothing.
            for connection in runner.server.connections:
                if connection not in self._busy:
                    connection.force_close()

    async def wait_idle(self) -> None:
        """Wait until no call is open."""
        await self._idle.wait()

    async def stop(self) -> None:
        """Close the addresses and all connections."""
        for runner in self._runners:
            await runner.cleanup()

    async def _serve(
        self,
        handler: collections.abc.Callable[
            [web.BaseRequest],
            collections.abc.Awaitable[web.StreamResponse],
        ],
        address: str,
    ) -> str:
        server = web.Server(
            handler,
            access_log=None,
            handler_cancellation=True,
            keepalive_timeout=KEEP_SECONDS,
            lingering_time=0,
            max_line_size=HEADER_BYTES,
            max_field_size=HEADER_BYTES,
        )
        runner = web.ServerRunner(
            server, handle_signals=False, shutdown_timeout=0.1
        )
        await runner.setup()
        self._runners.append(runner)
        host, _, port = address.rpartition(':')
        await web.TCPSite(runner, host, int(port), backlog=1024).start()
        bound_host, bound_port = runner.addresses[0][:2]
        return f'{bound_host}:{bound_port}'

    async def _answer_readiness(
        self,
        request: web.BaseRequest,
    ) -> web.StreamResponse:
        has_table = self._tables.current is not None
        is_ready = has_table and not self._is_leaving
        return web.Response(status=200 if is_ready else 503)

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        self._began(request)
        out = sink.HttpSink(request, lambda: self._is_leaving)
        try:
            await self._answer(request, out)
        except sink.CallerDisconnected:
            self._ledger.left(out)
            out.break_off()
        finally:
            self._ended(request)
        if self._is_leaving:
            out.end_connection()
        return out.response

    def _began(self, request: web.BaseRequest) -> None:
        self._open += 1
        figures.OPEN_CALLS.set(self._open)
        self._busy.add(request.protocol)
        self._idle.clear()

    def _ended(self, request: web.BaseRequest) -> None:
        self._open -= 1
        figures.OPEN_CALLS.set(self._open)
        self._busy.discard(request.protocol)
        if not self._open:
            self._idle.set()

    async def _answer(
        self,
        request: web.BaseRequest,
        out: sink.HttpSink,
    ) -> None:
        try:
            asked = self._dialect.read(request)
        except errors.CodedError as exc:
            await self._tell('', None, out, exc)
            return
        with logs.request(asked.call_id):
            await self._answer_asked(request, asked, out)

    async def _answer_asked(
        self,
        request: web.BaseRequest,
        asked: calls.CallRequest,
        out: sink.HttpSink,
    ) -> None:
        call: calls.Call | None = None
        try:
            call = await self._accept(request, asked)
            await self._runner.run(call, out)
        except errors.CodedError as exc:
            await self._tell(asked.call_id, call, out, exc)
        except _FAULTS as exc:
            # A fault of this entry: whether the call ran is not known.
            _log.exception('entry: call failed by a fault')
            fault = failures.TargetFailed(str(exc))
            await self._tell(asked.call_id, call, out, fault)
        else:
            self._ledger.answered(call, self._version, out.tempo)

    async def _accept(
        self,
        request: web.BaseRequest,
        asked: calls.CallRequest,
    ) -> calls.Call:
        """Find the call's place; raise a coded refusal if it has none."""
        arrived = asyncio.get_running_loop().time()
        if self._is_refusing:
            raise failures.EntryStops(retry_after=STOPPING_RETRY_SECONDS)
        held = await self._tables.wait(calls.patience(asked.left))
        path = asked.path.partition('?')[0]
        found = held.find(asked.host, path, asked.key)
        body = await _body_of(request, held.held.limits.body_bytes)
        left = found.route.timeout
        if asked.left is not None:
            left = min(left, asked.left)
        return calls.Call(
            asked=asked,
            body=body,
            route=found.route,
            service=routing_table.pick_service(found.route, self._random),
            organisation=found.organisation,
            arrived=arrived,
            deadline=arrived + left,
            priority=found.priority,
        )

    async def _tell(
        self,
        call_id: str,
        call: calls.Call | None,
        out: sink.HttpSink,
        failure: errors.CodedError,
    ) -> None:
        self._ledger.ended(failure, call, self._version, out.has_started)
        if out.has_started:
            out.break_off()
            return
        headers = self._dialect.refusal(call_id)
        headers.append(('Content-Type', 'application/json'))
        if failure.retry_after > 0:
            headers.append(('Retry-After', f'{failure.retry_after:.2f}'))
        body = {'error': {'code': failure.code, 'message': str(failure)}}
        await out.whole(
            target_client.ResponseHead(failure.status, headers),
            json.dumps(body).encode(),
        )


async def _body_of(request: web.BaseRequest, most: int) -> bytes:
    """Read a body; raise ``BodyOverLimit`` as soon as it is too long."""
    parts = []
    size = 0
    while not request.content.at_eof():
        part = await request.content.readany()
        size += len(part)
        if size > most:
            raise failures.BodyOverLimit(f'at most {most} bytes')
        parts.append(part)
    return b''.join(parts)
