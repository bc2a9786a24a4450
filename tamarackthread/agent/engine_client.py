"""Ask a rank's engine over HTTP and tell a refusal from silence.

After a refusal nothing was done.  After silence the engine may have done what
it was asked, now or later, for a stalled process still reads its socket.
"""

from __future__ import annotations

import collections.abc
import json
import typing

import aiohttp

from tamarackthread.agent import order_errors

ASK_SECONDS = 1.0
# An engine sends a line of an order's progress at least each second.
LINE_SECONDS = 5.0
_REFUSALS = range(400, 500)
_NO_ANSWER = (aiohttp.ClientError, OSError, ValueError)

Answer = dict[str, typing.Any]


class EngineSilent(order_errors.EngineFailed):
    """Engine gave no whole answer; it may have done what it was asked."""

    code = 'TT5900'


class EngineRefused(order_errors.EngineFailed):
    """Engine refused a request and did nothing."""

    code = 'TT5901'

    def __init__(self, text: str = '', reason: str = '') -> None:
        """Keep the engine's word for the reason."""
        super().__init__(text)
        self.reason = reason


class EngineClient:
    """Send requests to one engine in a session of its own.

    Calls of the target have other connections: a full pool of them must not
    keep an order waiting.
    """

    def __init__(self, url: str, connect_seconds: float) -> None:
        """Open nothing before ``start``."""
        self._url = url
        self._connect_seconds = connect_seconds
        self._session: aiohttp.ClientSession | None = None

    async def start(self) -> None:
        """Open the session."""
        # A pooled connection may have gone silent for good, and each try on
        # it would wait for its timeout; a fresh one fails or works at once.
        connector = aiohttp.TCPConnector(force_close=True)
        self._session = aiohttp.ClientSession(connector=connector)

    async def stop(self) -> None:
        """Close all connections, which stops what runs on them."""
        if self._session is not None:
            await self._session.close()

    async def ask(
        self,
        method: str,
        path: str,
        text: str | None = None,
        seconds: float = ASK_SECONDS,
    ) -> Answer:
        """Send JSON text and return the answer's object.

        Raises ``EngineRefused`` or ``EngineSilent``.  Cancelling closes the
        connection.
        """
        timeout = self._timeout(total=seconds)
        try:
            async with self._request(method, path, text, timeout) as response:
                return _object(await _body(response))
        except _NO_ANSWER as exc:
            raise EngineSilent(f'{path}: {exc!r}') from exc

    async def lines(
        self,
        path: str,
        text: str,
    ) -> collections.abc.AsyncIterator[Answer]:
        """Post JSON text and yield the objects that come, one a line."""
        timeout = self._timeout(sock_read=LINE_SECONDS)
        try:
            async with self._request('POST', path, text, timeout) as response:
                if not response.ok:
                    _object(await _body(response))
                async for line in response.content:
                    yield _object(line)
        except _NO_ANSWER as exc:
            raise EngineSilent(f'{path}: {exc!r}') from exc

    def _request(
        self,
        method: str,
        path: str,
        text: str | None,
        timeout: aiohttp.ClientTimeout,
    ) -> typing.Any:
        if self._session is None:
            raise EngineSilent('session is not open')
        return self._session.request(
            method,
            self._url + path,
            data=text,
            headers={'Content-Type': 'application/json'},
            timeout=timeout,
            allow_redirects=False,
        )

    def _timeout(self, **limits: float) -> aiohttp.ClientTimeout:
        return aiohttp.ClientTimeout(
            sock_connect=self._connect_seconds,
            **limits,
        )


async def _body(response: aiohttp.ClientResponse) -> bytes:
    body = await response.read()
    if response.status in _REFUSALS:
        raise _refusal(response.status, body)
    response.raise_for_status()
    return body


def _refusal(status: int, body: bytes) -> EngineRefused:
    try:
        reason = str(_object(body).get('reason', ''))
    except ValueError:
        reason = ''
    return EngineRefused(f'{status} {reason}', reason)


def _object(body: bytes) -> Answer:
    found = json.loads(body)
    if not isinstance(found, dict):
        raise ValueError('answer is not an object')
    return found
