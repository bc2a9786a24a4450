"""Keep the calls that wait for a place, the urgent ones first."""

from __future__ import annotations

import asyncio

import attrs

from tamarackthread.policy import calls, fairness


@attrs.define(slots=True, eq=False)
class WaitingCall:
    """Be a call in the queue.

    ``granted`` gets the ticket or the refusal.  After ``latest_start``, in
    the loop's seconds, starting it would be too late.
    """

    call: calls.CallFacts
    granted: asyncio.Future
    latest_start: float
    preempting: bool = False


WaitingEntry = fairness.Entry[WaitingCall]


class WaitingLine:
    """Be one fair queue for urgent calls and one for all others behind it.

    Urgent calls are few and are served strictly first.  Background calls
    share the second queue at a low weight, so that they go on slowly instead
    of starving.
    """

    def __init__(
        self,
        shares: fairness.Shares,
        background_weight: float,
    ) -> None:
        """Start empty."""
        self._shares = shares
        self._background_weight = background_weight
        self._urgent: fairness.FairQueue[WaitingCall] = fairness.FairQueue()
        self._other: fairness.FairQueue[WaitingCall] = fairness.FairQueue()

    def __len__(self) -> int:
        """Count the waiting calls."""
        return len(self._urgent) + len(self._other)

    def push(self, waiting: WaitingCall) -> WaitingEntry:
        """Let a call wait behind its organisation's calls of its priority."""
        call = waiting.call
        return self._queue(call).push(
            waiting,
            flow_name(call),
            self.weight(call),
            call.cost,
        )

    def head(self) -> WaitingEntry | None:
        """Return the call that goes next."""
        return self._urgent.head() or self._other.head()

    def take(self, entry: WaitingEntry) -> None:
        """Take out a call that is served."""
        self._queue(entry.item.call).take(entry)

    def remove(self, entry: WaitingEntry) -> None:
        """Take out a call that isn't served; a second time changes nothing."""
        self._queue(entry.item.call).remove(entry)

    def entries(self) -> list[WaitingEntry]:
        """List the calls in the order in which they'd be served."""
        return self._urgent.entries() + self._other.entries()

    def urgent(self) -> list[WaitingEntry]:
        """List the urgent calls."""
        return self._urgent.entries()

    def ahead(self, call: calls.CallFacts) -> float:
        """Return the cost that is served before a new call like this."""
        own = self._queue(call).ahead(flow_name(call), self.weight(call))
        if call.priority == calls.Priority.URGENT:
            return own
        return own + self._urgent.backlog

    def organisation_length(self, call: calls.CallFacts) -> int:
        """Count the waiting calls of the same organisation and priority."""
        return self._queue(call).flow_length(flow_name(call))

    def share(self, call: calls.CallFacts) -> float:
        """Return the call's part, from 0 to 1, of what its queue is served."""
        return self._queue(call).share(flow_name(call), self.weight(call))

    def weight(self, call: calls.CallFacts) -> float:
        """Return the weight of the call's organisation and priority."""
        weight = self._shares.weight(call.organisation)
        if call.priority == calls.Priority.BACKGROUND:
            return weight * self._background_weight
        return weight

    def _queue(
        self,
        call: calls.CallFacts,
    ) -> fairness.FairQueue[WaitingCall]:
        if call.priority == calls.Priority.URGENT:
            return self._urgent
        return self._other


def flow_name(call: calls.CallFacts) -> str:
    """Name the flow that a call belongs to."""
    return f'{call.organisation}/{call.priority:d}'
