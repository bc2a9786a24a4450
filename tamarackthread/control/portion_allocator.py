"""Lease portions of organisations' caps to entries, as the leader."""

from __future__ import annotations

import asyncio

from tamarackthread.control import configuration
from tamarackthread.generated.messages import ttypes as messages
from tamarackthread.policy import portions
from tamarackthread.shared import documents

LEASE_SECONDS = 5.0
MILLISECONDS = 1000


class PortionAllocator:
    """Split ``requests_per_second`` of each organisation that is asked for.

    Nothing here is replicated: a portion lapses by itself, and a new leader
    leases nobody more than it uses until all of the old ones have.
    """

    def __init__(self, machine: configuration.Configuration) -> None:
        """Take caps from the documents of ``machine``."""
        self._machine = machine
        self._caps: dict[str, tuple[int, float]] = {}
        self.restart()

    def restart(self) -> None:
        """Forget all portions at the start of a term."""
        now = asyncio.get_running_loop().time()
        self._table = portions.PortionTable(LEASE_SECONDS, now)
        self._asked: dict[str, float] = {}

    def answer(
        self,
        request: messages.PortionsRequest,
    ) -> messages.PortionsReply:
        """Lease what an entry asks for; no cap means no portion."""
        now = asyncio.get_running_loop().time()
        self._asked[request.node] = now
        leased = []
        for asked in request.portions or ():
            cap = self._cap(asked.organisation)
            if not cap:
                continue
            rate = self._table.lease(
                asked.organisation,
                request.node,
                cap,
                max(asked.demand or 0, 0),
                max(asked.used or 0, 0),
                now,
            )
            leased.append(messages.Portion(asked.organisation, rate))
        return messages.PortionsReply(
            portions=leased,
            lease_ms=int(LEASE_SECONDS * MILLISECONDS),
            entries=self._count(now),
        )

    def _count(self, now: float) -> int:
        for node, asked_at in tuple(self._asked.items()):
            if now - asked_at > LEASE_SECONDS:
                self._asked.pop(node)
        return len(self._asked)

    def _cap(self, organisation: str) -> float:
        found = self._machine.documents.get(
            documents.ORGANISATION,
            organisation,
        )
        if found is None:
            return 0
        known = self._caps.get(organisation)
        if known is not None and known[0] == found.revision:
            return known[1]
        parsed = documents.parse(documents.ORGANISATION, found.body)
        cap = parsed.requests_per_second
        self._caps[organisation] = (found.revision, cap)
        return cap
