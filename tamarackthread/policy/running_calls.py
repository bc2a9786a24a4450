"""Watch the admitted calls: which gives way, and which is better off moved."""

from __future__ import annotations

from tamarackthread.policy import (
    allocator,
    calls,
    migration,
    preemption,
    tickets,
)


class RunningCalls:
    """Hold the tickets of one service that were not released."""

    def __init__(
        self,
        place: allocator.Allocator,
        preempt: preemption.PreemptionPolicy,
        move: migration.MigrationPolicy,
    ) -> None:
        """Start empty."""
        self._room = place
        self._preempt = preempt
        self._move = move
        self._tickets: dict[int, tickets.Ticket] = {}

    def __len__(self) -> int:
        """Count the tickets."""
        return len(self._tickets)

    def add(self, ticket: tickets.Ticket, now: float) -> None:
        """Watch a call that was just admitted."""
        self._tickets[id(ticket)] = ticket
        self._move.admitted(now)

    def remove(self, ticket: tickets.Ticket) -> None:
        """Stop watching a call that ended."""
        self._tickets.pop(id(ticket), None)

    def preempt_one(self, urgent: calls.CallFacts, now: float) -> bool:
        """Ask one call to give way; tell whether there was one."""
        found = []
        for ticket in self._tickets.values():
            if not ticket.preempted.is_set():
                found.append(ticket.describe())
        chosen = self._preempt.choose(urgent, found, now)
        if chosen is None:
            return False
        self._tickets[chosen.key].preempted.set()
        return True

    def move_late_streams(self, now: float) -> None:
        """Ask late streams to move."""
        for ticket in self._tickets.values():
            if not ticket.call.idempotent or ticket.preempted.is_set():
                continue
            place = migration.MigrationEstimate(
                step_seconds=ticket.step_seconds,
                elsewhere_seconds=self._room.answer_seconds(
                    ticket.resumed, now
                ),
            )
            progress = ticket.progress
            if self._move.should_migrate(ticket.call, progress, place, now):
                ticket.request_move()
