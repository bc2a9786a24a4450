"""Lease portions of organisations' rate limits to entries, as the leader."""

from __future__ import annotations

import asyncio

from tamarackthread.control import configuration
from tamarackthread.generated.messages import ttypes as messages
from tamarackthread.policy import portions
from tamarackthread.shared import documents

LEASE_SECONDS = 5.0
MILLISECONDS = 1000


class PortionAllocator:
    """Split each organisation's ``requests_per_second`` between entries.

    A new leader leases only the used rate until earlier portions expire.
    """

    def __init__(self, machine: configuration.Configuration) -> None:
        """Read rate limits from the documents of ``machine``."""
        self._machine = machine
        self._limits: dict[str, tuple[int, float]] = {}
        self.restart()

    def restart(self) -> None:
        """Drop all portions at the start of a term."""
        now = asyncio.get_running_loop().time()
        self._table = portions.PortionTable(LEASE_SECONDS, now)
        self._requested_at: dict[str, float] = {}

    def answer(
        self,
        request: messages.PortionsRequest,
    ) -> messages.PortionsReply:
        """Lease portions to an entry; an organisation without a limit gets none."""
        now = asyncio.get_running_loop().time()
        self._requested_at[request.node] = now
        leased = []
        for requested in request.portions or ():
            limit = self._limit(requested.organisation)
            if not limit:
                continue
            rate = self._table.lease(
                requested.organisation,
                request.node,
                limit,
                max(requested.demand or 0, 0),
                max(requested.used or 0, 0),
                now,
            )
            leased.append(messages.Portion(requested.organisation, rate))
        return messages.PortionsReply(
            portions=leased,
            lease_ms=int(LEASE_SECONDS * MILLISECONDS),
            entries=self._count_entries(now),
        )

    def _count_entries(self, now: float) -> int:
        for node, requested_at in tuple(self._requested_at.items()):
            if now - requested_at > LEASE_SECONDS:
                self._requested_at.pop(node)
        return len(self._requested_at)

    def _limit(self, organisation: str) -> float:
        document = self._machine.documents.get(
            documents.ORGANISATION,
            organisation,
        )
        if document is None:
            return 0
        cached = self._limits.get(organisation)
        if cached is not None and cached[0] == document.revision:
            return cached[1]
        parsed = documents.parse(documents.ORGANISATION, document.body)
        limit = parsed.requests_per_second
        self._limits[organisation] = (document.revision, limit)
        return limit
