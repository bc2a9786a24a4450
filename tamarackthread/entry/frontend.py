"""Serve callers and health checks over HTTP."""

from __future__ import annotations

import asyncio
import collections.abc
import contextlib
import logging

from aiohttp import web

from tamarackthread.entry import (
    calls,
    connections,
    failures,
    request_reader,
    responses,
)
from tamarackthread.generated import settings as generated
from tamarackthread.generated.messages import ttypes as messages
from tamarackthread.shared import errors, logs, metrics

HEALTH_PATH = '/-/health'
READY_PATH = '/-/ready'
RETRY_AFTER_SECONDS = 1.0
SAFE_METHODS = frozenset(('GET', 'HEAD', 'OPTIONS'))
_log = logging.getLogger('tamarackthread.entry')

# Raises a coded error if this entry must refuse the call.
AdmissionCheck = collections.abc.Callable[[calls.Call, int], None]
Readiness = collections.abc.Callable[[], bool]


class Frontend:
    """Accept requests, run their calls and respond."""

    def __init__(
        self,
        limits: generated.Entry,
        reader: request_reader.RequestReader,
        runner: calls.CallRunner,
        check: AdmissionCheck,
        is_ready: Readiness,
        counters: metrics.Metrics | None = None,
    ) -> None:
        """Serve nothing until ``start``."""
        self._metrics = counters or metrics.Metrics()
        self._limits = limits
        self._reader = reader
        self._runner = runner
        self._check = check
        self._is_ready = is_ready
        self._leaving = False
        self._refusing = False
        self._open_calls = 0
        self._idle = asyncio.Event()
        self._idle.set()
        self._server: web.ServerRunner | None = None

    @property
    def open_calls(self) -> int:
        """Return the number of open calls."""
        return self._open_calls

    async def start(self) -> str:
        """Bind and return the address; port 0 picks a free port."""
        self._http_server = connections.LimitedServer(
            self._handle_request,
            self._limits,
            access_log=None,
            handler_cancellation=True,
            keepalive_timeout=self._limits.keepalive_seconds,
            max_field_size=self._limits.header_limit_bytes,
            max_line_size=self._limits.header_limit_bytes,
            lingering_time=0,
            # Bodies are passed on byte for byte.
            auto_decompress=False,
        )
        self._server = web.ServerRunner(
            self._http_server,
            handle_signals=False,
        )
        await self._server.setup()
        site = web.TCPSite(self._server, self._limits.host, self._limits.port)
        await site.start()
        host, port = self._server.addresses[0][:2]
        return f'{host}:{port}'

    def fail_readiness(self) -> None:
        """Fail the readiness check and continue to serve calls."""
        self._leaving = True

    def refuse_calls(self) -> None:
        """Refuse new calls as not run."""
        self._refusing = True

    async def wait_idle(self) -> None:
        """Wait until no call is open."""
        await self._idle.wait()

    async def stop(self) -> None:
        """Close the listening socket and all connections."""
        if self._server is not None:
            await self._server.cleanup()

    async def _handle_request(
        self, request: web.BaseRequest
    ) -> web.StreamResponse:
        self._http_server.note_request(request.protocol)
        if request.path == HEALTH_PATH:
            return web.Response(text='alive\n')
        if request.path == READY_PATH:
            return self._readiness_response()
        return await self._handle_call(request)

    def _readiness_response(self) -> web.Response:
        if self._leaving:
            return web.Response(status=503, text='leaving\n')
        if not self._is_ready():
            return web.Response(status=503, text='configuration lapsed\n')
        return web.Response(text='ready\n')

    async def _handle_call(
        self, request: web.BaseRequest
    ) -> web.StreamResponse:
        request_id = request_reader.request_id_of(request)
        sink = responses.HttpSink(
            request,
            request_id,
            self._limits.slow_caller_seconds,
        )
        began = asyncio.get_running_loop().time()
        self._open_calls += 1
        self._idle.clear()
        self._metrics.count(metrics.Counter.CALL_ASKED)
        try:
            with logs.request(request_id):
                await self._run_call(request, request_id, sink)
        finally:
            # Also if this entry stops in the middle of a response.
            sink.close_incomplete()
            self._record_end(began)
        return sink.response

    def _record_end(self, began: float) -> None:
        duration = asyncio.get_running_loop().time() - began
        self._metrics.time(metrics.Timer.CALL, duration)
        self._open_calls -= 1
        if self._open_calls == 0:
            self._idle.set()

    async def _run_call(
        self,
        request: web.BaseRequest,
        request_id: str,
        sink: responses.HttpSink,
    ) -> None:
        try:
            await self._admit_and_run(request, request_id, sink)
        except errors.CodedError as exc:
            await self._send_error(request_id, sink, exc)
        except Exception:
            _log.exception('entry: call failed with an internal error')
            await self._send_error(request_id, sink, failures.EntryFault())
        else:
            self._metrics.count(metrics.Counter.CALL_COMPLETE)

    async def _send_error(
        self,
        request_id: str,
        sink: responses.HttpSink,
        failure: errors.CodedError,
    ) -> None:
        _log.info('entry: call ended, %s %s', failure.code, failure)
        counter = metrics.Counter.CALL_MAY_HAVE_RUN
        if failure.ran == messages.Ran.NOT_RUN:
            counter = metrics.Counter.CALL_NOT_RUN
        self._metrics.count(counter)
        if sink.started:
            await sink.abort(failure)
            return
        with contextlib.suppress(failures.CallerGone, failures.CallerTooSlow):
            await sink.send(
                responses.error_head(failure, request_id),
                responses.error_body(failure, request_id),
            )

    async def _admit_and_run(
        self,
        request: web.BaseRequest,
        request_id: str,
        sink: responses.HttpSink,
    ) -> None:
        if not _may_have_run(request):
            self._check_leaving()
        if self._open_calls > self._limits.call_limit:
            refusal = failures.ConnectionsFull(retry_after=RETRY_AFTER_SECONDS)
            if _may_have_run(request):
                refusal.ran = messages.Ran.MAY_HAVE_RUN
            raise refusal
        call = await self._reader.read(request, request_id)
        try:
            self._check_call(call)
        except errors.CodedError as exc:
            await self._runner.correct_refusal(call, exc)
            raise
        await self._runner.run(call, sink)

    def _check_call(self, call: calls.Call) -> None:
        self._check_leaving()
        self._check(call, self._open_calls)

    def _check_leaving(self) -> None:
        if self._refusing:
            raise failures.EntryLeaving(retry_after=RETRY_AFTER_SECONDS)


def _may_have_run(request: web.BaseRequest) -> bool:
    """Return whether an earlier request with this key may have run."""
    # Told 'not run', the caller would repeat it under another key.
    has_key = request_reader.KEY_HEADER in request.headers
    return has_key and request.method not in SAFE_METHODS
