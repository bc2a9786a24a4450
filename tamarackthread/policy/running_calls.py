"""Track the admitted calls and choose those to pre-empt or to move."""

from __future__ import annotations

from tamarackthread.policy import (
    allocator,
    calls,
    migration,
    preemption,
    tickets,
)


class RunningCalls:
    """Hold the unreleased tickets of one service."""

    def __init__(
        self,
        capacity: allocator.Allocator,
        preempt: preemption.PreemptionPolicy,
        move: migration.MigrationPolicy,
    ) -> None:
        """Start empty."""
        self._allocator = capacity
        self._preempt = preempt
        self._move = move
        self._tickets: dict[int, tickets.Ticket] = {}

    def __len__(self) -> int:
        """Count the tickets."""
        return len(self._tickets)

    def add(self, ticket: tickets.Ticket, now: float) -> None:
        """Track a call that was just admitted."""
        self._tickets[id(ticket)] = ticket
        self._move.admitted(now)

    def remove(self, ticket: tickets.Ticket) -> None:
        """Stop tracking a call that ended."""
        self._tickets.pop(id(ticket), None)

    def preempt_one(self, urgent: calls.CallFacts, now: float) -> bool:
        """Pre-empt one call for an urgent one; tell whether there was one."""
        candidates = []
        for ticket in self._tickets.values():
            if not ticket.preempted.is_set():
                candidates.append(ticket.describe())
        chosen = self._preempt.choose(urgent, candidates, now)
        if chosen is None:
            return False
        self._tickets[chosen.key].preempted.set()
        return True

    def move_late_streams(self, now: float) -> None:
        """Ask streams that would end late to move to another target."""
        for ticket in self._tickets.values():
            if not ticket.call.idempotent or ticket.preempted.is_set():
                continue
            comparison = migration.MigrationEstimate(
                step_seconds=ticket.step_seconds,
                elsewhere_seconds=self._allocator.answer_seconds(
                    ticket.resumed, now
                ),
            )
            progress = ticket.progress
            if self._move.should_migrate(
                ticket.call, progress, comparison, now
            ):
                ticket.request_move()
