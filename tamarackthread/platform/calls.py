"""Translate the headers of calls and of targets' answers."""

from __future__ import annotations

import multidict
from aiohttp import web

from tamarackthread.entry.direct import calls, dialect, failures
from tamarackthread.platform import wire
from tamarackthread.policy import backpressure

MILLISECONDS = 1000
_YES = '1'
# What callers may not set towards targets.
_OWN_HEADERS = frozenset(
    name.lower()
    for name in (
        wire.LEFT,
        wire.POSITION,
        wire.CREDENTIAL,
        wire.EXPECTED_TARGET,
        wire.ORGANISATION,
    )
)
# What a target says to the entry or to one connection, not to the caller.
_FOR_ENTRY = frozenset(
    name.lower()
    for name in (
        wire.REFUSAL,
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
    """Speak with callers and targets as the platform does."""

    def read(self, request: web.BaseRequest) -> calls.Asked:
        """Read a request's head; raise ``CallInvalid`` if it lacks an id."""
        headers = request.headers
        call_id = headers.get(wire.CALL_ID, '')
        if not call_id:
            raise failures.CallInvalid(f'{wire.CALL_ID} is missing')
        left_ms = _number(headers.get(wire.LEFT, ''))
        return calls.Asked(
            call_id=call_id,
            method=request.method,
            host=_host(headers.get('Host', '')),
            path=request.raw_path,
            headers=tuple(headers.items()),
            key=_key(headers.get(wire.CREDENTIAL, '')),
            left=None if left_ms is None else left_ms / MILLISECONDS,
            position=headers.get(wire.POSITION, ''),
        )

    def outgoing(
        self,
        call: calls.Call,
        target: str,
        left: float,
        position: str,
    ) -> calls.Headers:
        """Write the head for a target, with what callers may not set."""
        headers = [
            (name, value)
            for name, value in call.asked.headers
            if name.lower() not in _OWN_HEADERS
        ]
        headers.append((wire.LEFT, str(max(1, int(left * MILLISECONDS)))))
        headers.append((wire.EXPECTED_TARGET, target))
        if position:
            headers.append((wire.POSITION, position))
        if call.organisation:
            headers.append((wire.ORGANISATION, call.organisation))
        return tuple(headers)

    def judge(
        self,
        call: calls.Call,
        status: int,
        headers: multidict.CIMultiDictProxy[str],
    ) -> dialect.Said:
        """Tell what a target's head says of the call."""
        echoed = headers.get(wire.CALL_ID)
        # A second answer to an earlier call may lie on the connection and be read
        # as the answer to this one.  Only the echoed identity tells them apart.
        if echoed is not None and echoed != call.asked.call_id:
            return dialect.Said.STRAY
        if status == wire.MISDIRECTED:
            return dialect.Said.ELSEWHERE
        if wire.REFUSAL in headers:
            return dialect.Said.NOT_RUN
        if wire.SIGNATURE not in headers or echoed is None:
            return dialect.Said.STRAY
        if 'Content-Encoding' in headers:
            return dialect.Said.STRAY
        return dialect.Said.ANSWER

    def asked(
        self,
        status: int,
        headers: multidict.CIMultiDictProxy[str],
    ) -> backpressure.Backpressure:
        """Read what a target's head asks of this entry."""
        rest = headers.get(wire.REST, '') if status == wire.REFUSED else ''
        return backpressure.Backpressure(
            is_leaving=headers.get(wire.LEAVING) == _YES,
            rest=backpressure.parse_retry_after(rest),
            rate=backpressure.parse_rate(headers.get(wire.LIMIT, '')),
        )

    def answer(
        self,
        headers: multidict.CIMultiDictProxy[str],
    ) -> list[tuple[str, str]]:
        """Pick the headers that the caller gets."""
        return [
            (name, value)
            for name, value in headers.items()
            if name.lower() not in _FOR_ENTRY
        ]

    def refusal(self, call_id: str) -> list[tuple[str, str]]:
        """Write the headers of the entry's own answer."""
        return [(wire.CALL_ID, call_id)] if call_id else []


def _number(text: str) -> float | None:
    try:
        return float(text)
    except ValueError:
        return None


def _host(header: str) -> str:
    return header.partition(':')[0].lower()


def _key(credential: str) -> str:
    if not credential.startswith(wire.CREDENTIAL_SCHEME):
        return ''
    return credential.removeprefix(wire.CREDENTIAL_SCHEME).strip()
