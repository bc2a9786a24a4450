"""Speak HTTP with the targets that are ranks of groups."""

from __future__ import annotations

import aiohttp

from tamarackthread.control.site.maps import ranks
from tamarackthread.shared import fields

_LOST = (aiohttp.ClientError, OSError, TimeoutError, ValueError)
OK = 200


class RankClient:
    """Hold the connections; a target that is silent is no failure here."""

    def __init__(self) -> None:
        """Open no connection yet."""
        self._session: aiohttp.ClientSession | None = None

    async def get(
        self,
        url: str,
        headers: dict[str, str],
    ) -> fields.Row | None:
        """Read an object, ``None`` without one."""
        try:
            async with self._opened().get(url, headers=headers) as answer:
                body = await answer.read()
                return fields.parse(body) if answer.status == OK else None
        except _LOST:
            return None

    async def post(
        self,
        url: str,
        headers: dict[str, str],
        body: bytes,
        timeout_seconds: float,
    ) -> int | None:
        """Send an object once; return the status, ``None`` without an answer.

        The answer is waited for up to ``patience`` seconds.
        """
        try:
            async with self._opened().post(
                url,
                data=body,
                headers={**headers, 'Content-Type': 'application/json'},
                timeout=aiohttp.ClientTimeout(total=timeout_seconds),
            ) as answer:
                await answer.read()
                return answer.status
        except _LOST:
            return None

    async def close(self) -> None:
        """Close all connections."""
        if self._session is not None:
            await self._session.close()

    def _opened(self) -> aiohttp.ClientSession:
        if self._session is None:
            # Connections that are kept would each hold one of the few that a
            # target takes.
            self._session = aiohttp.ClientSession(
                connector=aiohttp.TCPConnector(limit=0, keepalive_timeout=4),
                timeout=aiohttp.ClientTimeout(
                    total=ranks.ANSWER_TIMEOUT_SECONDS
                ),
            )
        return self._session
