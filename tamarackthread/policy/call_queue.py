"""Queue the calls that wait for admission, urgent ones first."""

from __future__ import annotations

import asyncio

import attrs

from tamarackthread.policy import calls, fairness


@attrs.define(slots=True, eq=False)
class QueuedCall:
    """A queued call; times are the loop's seconds."""

    call: calls.CallFacts
    # Gets the ticket or the refusal.
    granted: asyncio.Future
    # End of the wait budget.
    latest_start: float
    enqueued_at: float
    has_preempted: bool = False
    times_skipped: int = 0


QueueEntry = fairness.Entry[QueuedCall]


class CallQueue:
    """A fair queue of urgent calls and, served after it, one of all others."""

    # Normal and background calls share a flow, so that marking calls as
    # background gains no extra share.

    def __init__(self, shares: fairness.Shares, credit: float) -> None:
        """Start empty; ``credit`` is the cost each flow may catch up."""
        self._shares = shares
        self._urgent: fairness.FairQueue[QueuedCall] = fairness.FairQueue(
            credit
        )
        self._other: fairness.FairQueue[QueuedCall] = fairness.FairQueue(credit)

    def __len__(self) -> int:
        """Count the queued calls."""
        return len(self._urgent) + len(self._other)

    def push(self, waiting: QueuedCall) -> QueueEntry:
        """Queue a call behind those of its organisation and priority."""
        call = waiting.call
        entry = fairness.Entry(
            item=waiting,
            flow=call.organisation,
            rank=call.priority,
            cost=call.cost,
        )
        weight = self._shares.weight(call.organisation)
        self._queue(call).push(entry, weight)
        return entry

    def head(self) -> QueueEntry | None:
        """Return the next call without removing it."""
        return self._urgent.head() or self._other.head()

    def first(self, count: int) -> list[QueueEntry]:
        """List the next calls, all of them urgent or none."""
        return self._urgent.first(count) or self._other.first(count)

    def dequeue(self, entry: QueueEntry) -> None:
        """Remove a call that is served and charge its flow."""
        self._queue(entry.item.call).dequeue(entry)

    def remove(self, entry: QueueEntry) -> None:
        """Remove a call that isn't served; idempotent."""
        self._queue(entry.item.call).remove(entry)

    def entries(self) -> list[QueueEntry]:
        """List the calls in the order of service."""
        return self.urgent() + self._other.first(len(self._other))

    def urgent(self) -> list[QueueEntry]:
        """List the urgent calls."""
        return self._urgent.first(len(self._urgent))

    def cost_ahead(self, call: calls.CallFacts) -> float:
        """Return the cost served before this call if queued now."""
        own = self._queue(call).cost_ahead(
            call.organisation,
            self._shares.weight(call.organisation),
            call.priority,
        )
        if call.bypasses_queue:
            return own
        return own + self._urgent.backlog

    def flow_cost(self, call: calls.CallFacts) -> float:
        """Return the cost of the organisation's calls of the same priority."""
        return self._queue(call).rank_cost(call.organisation, call.priority)

    def organisation_length(self, call: calls.CallFacts) -> int:
        """Count the queued calls of the same organisation."""
        return self._queue(call).flow_length(call.organisation)

    def share(self, call: calls.CallFacts) -> float:
        """Return the share, from 0 to 1, of its queue's service rate."""
        weight = self._shares.weight(call.organisation)
        return self._queue(call).share(call.organisation, weight)

    def _queue(
        self,
        call: calls.CallFacts,
    ) -> fairness.FairQueue[QueuedCall]:
        if call.bypasses_queue:
            return self._urgent
        return self._other
