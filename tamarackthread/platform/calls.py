"""Convert the headers of requests and of targets' responses."""

from __future__ import annotations

import multidict
from aiohttp import web

from tamarackthread.entry.direct import (
    calls,
    dialect,
    failures,
    header_values,
)
from tamarackthread.platform import wire
from tamarackthread.policy import backpressure

MILLISECONDS = 1000
_TRUE = '1'
# Request headers that only the entry sets.
_ENTRY_HEADERS = frozenset(
    name.lower()
    for name in (
        wire.CALL_ID,
        wire.DEADLINE,
        wire.LAST_EVENT_ID,
        wire.AUTHORIZATION,
        wire.EXPECTED_TARGET,
        wire.ORGANISATION,
    )
)
# Response headers for the entry, and hop-by-hop headers.
_STRIPPED_HEADERS = frozenset(
    name.lower()
    for name in (
        wire.NOT_EXECUTED,
        wire.LOAD,
        wire.TARGET,
        wire.AT_SERVER,
        'Connection',
        'Keep-Alive',
        'Transfer-Encoding',
        'Content-Length',
        'Trailer',
        'Upgrade',
    )
)


class PlatformDialect(dialect.Dialect):
    """Implement the platform's headers towards callers and targets."""

    def read_request(self, request: web.BaseRequest) -> calls.CallRequest:
        """Parse a request's head; raise ``CallInvalid`` without an id."""
        headers = request.headers
        call_id = headers.get(wire.CALL_ID, '')
        if not call_id:
            raise failures.CallInvalid(f'{wire.CALL_ID} is missing')
        left_ms = header_values.parse_number(headers.get(wire.DEADLINE, ''))
        return calls.CallRequest(
            call_id=call_id,
            method=request.method,
            host=header_values.hostname(headers.get('Host', '')),
            path=request.raw_path,
            headers=tuple(headers.items()),
            key=header_values.bearer_token(
                headers.get(wire.AUTHORIZATION, ''), wire.BEARER
            ),
            time_left=None if left_ms is None else left_ms / MILLISECONDS,
            last_event_id=headers.get(wire.LAST_EVENT_ID, ''),
            has_condition=wire.EXPECTED_VERSION in headers,
            shared_parts=_shared_parts(headers.get(wire.PROMPT, '')),
        )

    def request_headers(
        self,
        call: calls.Call,
        target: str,
        time_left: float,
        last_event_id: str,
    ) -> calls.Headers:
        """Build the request headers for a target."""
        headers = [
            (name, value)
            for name, value in call.request.headers
            if name.lower() not in _ENTRY_HEADERS
        ]
        left_ms = max(1, int(time_left * MILLISECONDS))
        headers.append((wire.CALL_ID, call.request.call_id))
        headers.append((wire.DEADLINE, str(left_ms)))
        headers.append((wire.EXPECTED_TARGET, target))
        if last_event_id:
            headers.append((wire.LAST_EVENT_ID, last_event_id))
        if call.organisation:
            headers.append((wire.ORGANISATION, call.organisation))
        return tuple(headers)

    @property
    def id_header(self) -> str:
        """Return the header of a call's id, which targets echo."""
        return wire.CALL_ID

    def classify(
        self,
        call: calls.Call,
        status: int,
        headers: multidict.CIMultiDictProxy[str],
    ) -> dialect.ResponseKind:
        """Classify a target's response by its head."""
        if status == wire.MISDIRECTED and not call.request.has_condition:
            return dialect.ResponseKind.MISDIRECTED
        if status == wire.MISDIRECTED or wire.NOT_EXECUTED in headers:
            return dialect.ResponseKind.NOT_RUN
        if wire.SIGNATURE not in headers or wire.CALL_ID not in headers:
            return dialect.ResponseKind.MISMATCHED
        if 'Content-Encoding' in headers:
            return dialect.ResponseKind.MISMATCHED
        return dialect.ResponseKind.ANSWER

    def read_backpressure(
        self,
        status: int,
        headers: multidict.CIMultiDictProxy[str],
    ) -> backpressure.Backpressure:
        """Read the backpressure headers of a response."""
        is_refusal = status == wire.REFUSAL_STATUS
        rest = headers.get(wire.RETRY_AFTER, '') if is_refusal else ''
        return backpressure.Backpressure(
            is_leaving=headers.get(wire.LEAVING) == _TRUE,
            cooldown=backpressure.parse_retry_after(rest),
            rate=backpressure.parse_rate(headers.get(wire.RATE_LIMIT, '')),
        )

    def response_headers(
        self,
        headers: multidict.CIMultiDictProxy[str],
    ) -> list[tuple[str, str]]:
        """Return the response headers to pass to the caller."""
        return [
            (name, value)
            for name, value in headers.items()
            if name.lower() not in _STRIPPED_HEADERS
        ]

    def refusal_headers(self, call_id: str) -> list[tuple[str, str]]:
        """Build the headers of the entry's own error response."""
        return [(wire.CALL_ID, call_id)] if call_id else []


def _shared_parts(prompt: str) -> tuple[str, ...]:
    """Return the ids of a prompt's parts but the last, the call's own."""
    ids = [part.partition(':')[0].strip() for part in prompt.split(',')]
    return tuple(filter(None, ids[:-1]))
