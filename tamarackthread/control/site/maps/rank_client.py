"""Send HTTP requests to the targets that are ranks of groups."""

from __future__ import annotations

import aiohttp

from tamarackthread.control.site.maps import ranks
from tamarackthread.shared import fields

_CONNECTION_ERRORS = (aiohttp.ClientError, OSError, TimeoutError, ValueError)
HTTP_OK = 200


class RankClient:
    """Send requests over pooled connections; return ``None`` on failure."""

    def __init__(self) -> None:
        """Start without a session; the first request opens it."""
        self._session: aiohttp.ClientSession | None = None

    async def get(
        self,
        url: str,
        headers: dict[str, str],
    ) -> fields.JsonObject | None:
        """Fetch a JSON object; return ``None`` unless the status is 200."""
        try:
            async with self._get_session().get(url, headers=headers) as answer:
                body = await answer.read()
                return fields.parse(body) if answer.status == HTTP_OK else None
        except _CONNECTION_ERRORS:
            return None

    async def post(
        self,
        url: str,
        headers: dict[str, str],
        body: bytes,
        timeout_seconds: float,
    ) -> int | None:
        """Post a JSON body once; return the status, ``None`` on a timeout."""
        try:
            async with self._get_session().post(
                url,
                data=body,
                headers={**headers, 'Content-Type': 'application/json'},
                timeout=aiohttp.ClientTimeout(total=timeout_seconds),
            ) as answer:
                await answer.read()
                return answer.status
        except _CONNECTION_ERRORS:
            return None

    async def close(self) -> None:
        """Close all connections."""
        if self._session is not None:
            await self._session.close()

    def _get_session(self) -> aiohttp.ClientSession:
        if self._session is None:
            # A target accepts few connections, so idle ones are closed soon.
            self._session = aiohttp.ClientSession(
                connector=aiohttp.TCPConnector(limit=0, keepalive_timeout=4),
                timeout=aiohttp.ClientTimeout(
                    total=ranks.ANSWER_TIMEOUT_SECONDS
                ),
            )
        return self._session
