"""Send HTTP requests to a rank's engine.  A refused request was not executed;
one without an answer may have been, or may be later.
"""

from __future__ import annotations

import asyncio
import collections.abc
import json
import typing

import aiohttp

from tamarackthread.agent import order_errors
from tamarackthread.shared import (
    byte_budget,
    http_connection,
    response_body,
)

ASK_SECONDS = 1.0
# Engines send a progress line of a running order at least every second.
LINE_SECONDS = 5.0
_JSON = 'application/json'
_REFUSAL_STATUSES = range(400, 500)
# Bytes of answers that are read at once: of one, which may list the weights of a
# rank, and of all.
MAX_ANSWER_BYTES = 4 << 20
MAX_HELD_BYTES = 16 << 20

Answer = dict[str, typing.Any]


class EngineSilent(order_errors.EngineFailed):
    """Engine gave no complete answer; the request may have been executed."""

    code = 'TT5900'


class EngineRefused(order_errors.EngineFailed):
    """Engine refused a request without executing it."""

    code = 'TT5901'

    def __init__(self, text: str = '', reason: str = '') -> None:
        """Keep the reason code given by the engine."""
        super().__init__(text)
        self.reason = reason


class EngineClient:
    """Send requests to one engine over dedicated connections.  A pool shared
    with calls could be exhausted and delay orders.
    """

    def __init__(self, url: str, connect_seconds: float) -> None:
        """Open nothing before ``start``."""
        self._url = url
        self._connect_seconds = connect_seconds
        self._session: aiohttp.ClientSession | None = None
        self._held_bytes = byte_budget.ByteBudget(
            MAX_HELD_BYTES, MAX_ANSWER_BYTES
        )

    async def start(self) -> None:
        """Open the session."""
        # A pooled connection may be half-open, and each request on it would
        # wait for its timeout.
        self._session = http_connection.new_session({'force_close': True})

    async def stop(self) -> None:
        """Close all connections, which cancels the requests on them."""
        if self._session is not None:
            await self._session.close()

    async def ask(
        self,
        method: str,
        path: str,
        text: str | None = None,
        seconds: float = ASK_SECONDS,
    ) -> Answer:
        """Send JSON text and return the JSON object of the answer.  Raises
        ``EngineRefused`` or ``EngineSilent``.
        """
        timeout = self._timeout(total=seconds)
        try:
            async with self._request(method, path, text, timeout) as response:
                return _parse_object(await self._read_body(response))
        except response_body.BOUNDED_READ_ERRORS as exc:
            raise EngineSilent(f'{path}: {exc!r}') from exc

    async def lines(
        self,
        path: str,
        text: str,
    ) -> collections.abc.AsyncIterator[Answer]:
        """Post JSON text and yield the JSON objects streamed in reply."""
        timeout = self._timeout(sock_read=LINE_SECONDS)
        try:
            async with self._request('POST', path, text, timeout) as response:
                if not response.ok:
                    _parse_object(await self._read_body(response))
                while line := await _read_line(response):
                    yield _parse_object(line)
        except response_body.BOUNDED_READ_ERRORS as exc:
            raise EngineSilent(f'{path}: {exc!r}') from exc

    def _request(
        self,
        method: str,
        path: str,
        text: str | None,
        timeout: aiohttp.ClientTimeout,
    ) -> typing.Any:
        if self._session is None:
            raise EngineSilent('HTTP session is not open')
        return self._session.request(
            method,
            self._url + path,
            data=text,
            headers={'Content-Type': _JSON},
            timeout=timeout,
            allow_redirects=False,
        )

    async def _read_body(self, response: aiohttp.ClientResponse) -> bytes:
        body = await response_body.read_whole(response, self._held_bytes)
        if response.status in _REFUSAL_STATUSES:
            # Invalid JSON is a refusal that was cut; its reason decides what
            # the agent does.
            is_json = response.content_type == _JSON and body
            refusal = _parse_object(body) if is_json else {}
            reason = str(refusal.get('reason', ''))
            raise EngineRefused(f'{response.status} {reason}', reason)
        response.raise_for_status()
        return body

    def _timeout(self, **limits: float) -> aiohttp.ClientTimeout:
        return aiohttp.ClientTimeout(
            sock_connect=self._connect_seconds,
            **limits,
        )


async def _read_line(response: aiohttp.ClientResponse) -> bytes:
    """Read a line, empty at the end; it must be complete in ``LINE_SECONDS``."""
    # The timeout of the session starts again with every byte.
    async with asyncio.timeout(LINE_SECONDS):
        return await response.content.readline()


def _parse_object(body: bytes) -> Answer:
    parsed = json.loads(body)
    if not isinstance(parsed, dict):
        raise ValueError('answer is not a JSON object')
    return parsed
