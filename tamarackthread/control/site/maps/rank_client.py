"""Send HTTP requests to the targets that are ranks of groups."""

from __future__ import annotations

import aiohttp

from tamarackthread.control.site.maps import ranks
from tamarackthread.shared import (
    byte_budget,
    fields,
    http_connection,
    response_body,
)

HTTP_OK = 200
# A target accepts few connections, so idle ones are closed soon.
KEEPALIVE_SECONDS = 4
# Bytes of answers that are read at once: of one, more than the counts of all
# experts take, and of all.
MAX_ANSWER_BYTES = 4 << 20
MAX_HELD_BYTES = 32 << 20


class RankClient:
    """Send requests to ranks; return ``None`` on failure.

    Answers of ranks have no id.  An earlier answer that is sent again late would
    pass for the acceptance of the next order, and a group would step with two
    maps.  So each order, and each report that a switch depends on, has a
    connection of its own.  Other reports share connections.
    """

    def __init__(self) -> None:
        """Start without sessions; the first request opens them."""
        self._sessions: dict[bool, aiohttp.ClientSession] = {}
        self._held_bytes = byte_budget.ByteBudget(
            MAX_HELD_BYTES, MAX_ANSWER_BYTES
        )

    async def get(
        self,
        url: str,
        headers: dict[str, str],
        *,
        is_pooled: bool,
    ) -> fields.JsonObject | None:
        """Fetch a JSON object; return ``None`` unless the status is 200."""
        getting = self._session(is_pooled=is_pooled).get(url, headers=headers)
        try:
            async with getting as answer:
                body = await self._read_body(answer)
                return fields.parse(body) if answer.status == HTTP_OK else None
        except response_body.BOUNDED_READ_ERRORS:
            return None

    async def post(
        self,
        url: str,
        headers: dict[str, str],
        body: bytes,
        timeout_seconds: float,
    ) -> int | None:
        """Post a JSON body once; return the status, ``None`` on a timeout."""
        posting = self._session(is_pooled=False).post(
            url,
            data=body,
            headers={**headers, 'Content-Type': 'application/json'},
            timeout=aiohttp.ClientTimeout(total=timeout_seconds),
        )
        try:
            async with posting as answer:
                await self._read_body(answer)
                return answer.status
        except response_body.BOUNDED_READ_ERRORS:
            return None

    async def close(self) -> None:
        """Close all connections."""
        for session in self._sessions.values():
            await session.close()

    async def _read_body(self, answer: aiohttp.ClientResponse) -> bytes:
        """Read a body, also one whose end with its connection was not seen."""
        body = bytearray()
        with self._held_bytes.reserve() as held:
            while not answer.content.at_eof():
                body += await answer.content.readany()
                held.resize(len(body))
        return bytes(body)

    def _session(self, *, is_pooled: bool) -> aiohttp.ClientSession:
        if is_pooled not in self._sessions:
            keeping = (
                {'keepalive_timeout': KEEPALIVE_SECONDS}
                if is_pooled
                else {'force_close': True}
            )
            self._sessions[is_pooled] = http_connection.new_session(
                {'limit': 0, **keeping},
                timeout=aiohttp.ClientTimeout(
                    total=ranks.ANSWER_TIMEOUT_SECONDS
                ),
            )
        return self._sessions[is_pooled]
