"""Send HTTP requests to the agent's target."""

from __future__ import annotations

import json
import logging
import typing

import aiohttp
import attrs
from aiohttp import client_exceptions

from tamarackthread.generated import settings as generated
from tamarackthread.generated.messages import ttypes as messages
from tamarackthread.shared import (
    byte_budget,
    http_connection,
    response_body,
    target_errors,
)

LOAD_PATH = '/load'
CANCEL_PATH = '/cancel'
CALL_HEADER = 'X-Call-Id'
RESUME_HEADER = 'X-Resume-Events'
PRIORITY_HEADER = 'X-Priority'
LOAD_TIMEOUT_SECONDS = 1.0
CANCEL_TIMEOUT_SECONDS = 1.0
_HOP_BY_HOP_HEADERS = frozenset(
    (
        'connection',
        'keep-alive',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
        'content-length',
        'host',
        'expect',
    ),
)
# Bytes of a load report, and of all that are read at once.
MAX_REPORT_BYTES = 4 << 20
MAX_HELD_BYTES = 8 << 20
_log = logging.getLogger('tamarackthread.agent')


@attrs.frozen
class TargetReport:
    """Load reported by the target; times in milliseconds."""

    running: int
    queued: int
    batch_slots: int
    queued_tokens: int
    step_ms: float
    tokens: int
    prefix_sequence: int
    prefixes: tuple[tuple[int, bool], ...]


class TargetClient:
    """Send calls to the target and poll its load.

    Calls that must not be repeated use new connections, since a pooled one may
    be half-open.  So do all calls to a target that doesn't echo their ids, and
    load polls: on a pooled connection a late answer would pass for the next.
    """

    def __init__(self, settings: generated.Agent) -> None:
        """Prepare the client; ``start`` opens the sessions."""
        self._settings = settings
        self._pooled: aiohttp.ClientSession | None = None
        self._fresh: aiohttp.ClientSession | None = None
        self._held_bytes = byte_budget.ByteBudget(
            MAX_HELD_BYTES, MAX_REPORT_BYTES
        )

    async def start(self) -> None:
        """Open two sessions, with and without connection reuse."""
        limit = self._settings.connection_limit
        self._pooled = http_connection.new_session(
            {
                'limit': limit,
                'keepalive_timeout': self._settings.idle_connection_seconds,
            },
            auto_decompress=False,
        )
        self._fresh = http_connection.new_session(
            {'limit': limit, 'force_close': True}, auto_decompress=False
        )

    async def stop(self) -> None:
        """Close all connections."""
        for session in (self._pooled, self._fresh):
            if session is not None:
                await session.close()

    async def send_call(
        self,
        opening: messages.OpenCall,
        body: bytes,
        idle_seconds: float,
    ) -> aiohttp.ClientResponse:
        """Send the call and wait for the head of the answer.  Raises
        ``TargetUnreachable`` if nothing was sent, else ``TargetBroke``.
        """
        session = self._pooled if opening.idempotent else self._fresh
        assert session is not None
        timeout = aiohttp.ClientTimeout(
            total=None,
            sock_connect=self._settings.connect_timeout_seconds,
            sock_read=idle_seconds,
        )
        try:
            response = await session.request(
                opening.method,
                self._settings.target_url + opening.path,
                data=body or None,
                headers=request_headers(opening),
                timeout=timeout,
                allow_redirects=False,
            )
        except (
            client_exceptions.ClientConnectorError,
            client_exceptions.ConnectionTimeoutError,
        ) as exc:
            raise target_errors.TargetUnreachable(str(exc)) from exc
        except (aiohttp.ClientError, OSError, TimeoutError) as exc:
            raise target_errors.TargetBroke(
                f'before its answer: {exc}'
            ) from exc
        own = typing.cast(http_connection.Response, response)
        echoed_id = own.headers.get(CALL_HEADER)
        if not own.belongs_to(opening.call_id.hex(), echoed_id):
            raise target_errors.TargetBroke('answer belongs to another call')
        return own

    async def load(self) -> TargetReport:
        """Poll the load; raise ``TargetSilent`` without a valid answer."""
        answer = await self._request(
            'GET', LOAD_PATH, None, LOAD_TIMEOUT_SECONDS
        )
        try:
            return _report(answer)
        except (KeyError, TypeError, ValueError) as exc:
            raise target_errors.TargetSilent(
                f'invalid load report: {exc}'
            ) from exc

    async def cancel(self, call_id: bytes) -> None:
        """Ask the engine to cancel a call; a failure is only logged."""
        order = {'call': call_id.hex()}
        try:
            await self._request(
                'POST', CANCEL_PATH, order, CANCEL_TIMEOUT_SECONDS
            )
        except target_errors.TargetSilent as exc:
            _log.debug('agent: cancel did not reach the target, %s', exc)

    async def _request(
        self,
        method: str,
        path: str,
        body: typing.Any,
        timeout_seconds: float,
    ) -> typing.Any:
        assert self._fresh is not None
        timeout = aiohttp.ClientTimeout(total=timeout_seconds)
        url = self._settings.target_url + path
        try:
            async with self._fresh.request(
                method,
                url,
                json=body,
                timeout=timeout,
            ) as response:
                response.raise_for_status()
                body = await response_body.read_whole(
                    response, self._held_bytes
                )
                return json.loads(body)
        except response_body.BOUNDED_READ_ERRORS as exc:
            raise target_errors.TargetSilent(f'{path}: {exc!r}') from exc


def request_headers(opening: messages.OpenCall) -> list[tuple[str, str]]:
    """Build the request headers from the caller's and the agent's own."""
    headers = [
        (header.name, header.value)
        for header in opening.headers or ()
        if header.name.lower() not in _HOP_BY_HOP_HEADERS
    ]
    headers.append((CALL_HEADER, opening.call_id.hex()))
    headers.append((PRIORITY_HEADER, str(opening.priority or 0)))
    headers.append(('X-Request-Id', opening.request_id or ''))
    if opening.resume_events:
        headers.append((RESUME_HEADER, str(opening.resume_events)))
    return headers


def response_headers(
    response: aiohttp.ClientResponse,
) -> list[messages.Header]:
    """Return the end-to-end headers of an answer."""
    return [
        messages.Header(name=name, value=value)
        for name, value in response.headers.items()
        if name.lower() not in _HOP_BY_HOP_HEADERS
    ]


def _report(answer: typing.Any) -> TargetReport:
    prefixes = []
    for prefix, held in answer.get('prefixes', ()):
        prefixes.append((int(prefix), bool(held)))
    return TargetReport(
        running=int(answer['running']),
        queued=int(answer['queued']),
        batch_slots=int(answer.get('batch_slots', 0)),
        queued_tokens=int(answer.get('queued_tokens', 0)),
        step_ms=float(answer.get('step_ms', 0)),
        tokens=int(answer.get('tokens', 0)),
        prefix_sequence=int(answer.get('prefix_sequence', 0)),
        prefixes=tuple(prefixes),
    )
