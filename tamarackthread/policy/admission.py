"""Admit calls to a service, or refuse them early and honestly.

Calls wait here, in fair bounded queues, until a target has room.  A call
that can't start in time is refused as soon as that is known, with the time
after which a retry will find room.
"""

from __future__ import annotations

import asyncio
import random

from tamarackthread.policy import (
    allocator,
    buckets,
    call_queue,
    calls,
    fairness,
    migration,
    preemption,
    queue_limits,
    refusals,
    running_calls,
    tickets,
    wait_estimator,
)
from tamarackthread.shared import errors

_TICK_SECONDS = 0.01
_SHED_SECONDS = 0.05
_LAST_SECONDS = 0.1
_SWEEP_SECONDS = 0.05


AdmissionSettings = queue_limits.AdmissionSettings
Ticket = tickets.Ticket


class Admission:
    """Queue, admit and refuse the calls of one service in one entry."""

    def __init__(
        self,
        place: allocator.Allocator,
        shares: fairness.Shares,
        generator: random.Random,
        settings: AdmissionSettings | None = None,
        portions: buckets.Portions | None = None,
        preempt: preemption.PreemptionPolicy | None = None,
        move: migration.MovePolicy | None = None,
    ) -> None:
        """Start empty; must be used from within a running loop."""
        self._settings = settings or AdmissionSettings()
        self._room = place
        self._portions = portions or buckets.Portions()
        self._line = call_queue.CallQueue(shares, self._settings.credit)
        self._outlook = wait_estimator.WaitEstimator(
            place, self._line, generator
        )
        self._limits = queue_limits.QueueLimits(
            self._settings,
            place,
            self._line,
            self._outlook,
        )
        self._running = running_calls.RunningCalls(
            place,
            preempt or preemption.NewestDraft(),
            move or migration.StayPut(),
        )
        self._timer: asyncio.TimerHandle | None = None
        self._shed_at: float = 0
        self._swept_at: float = 0

    @property
    def queued(self) -> int:
        """Count the calls that wait for a place."""
        return len(self._line)

    @property
    def running(self) -> int:
        """Count the admitted calls that were not released."""
        return len(self._running)

    async def submit(self, call: calls.CallFacts) -> Ticket:
        """Wait for a place; raise a coded refusal as soon as there'll be none.

        Every refusal says 'not run'.  Cancelling leaves the queue.
        """
        now = _now()
        self._outlook.record_request(call, now)
        budget = self._limits.wait_budget(call, now)
        self._limits.check(call, budget, now)
        self._charge(call, now)
        granted = asyncio.get_running_loop().create_future()
        entry = self._line.push(
            call_queue.QueuedCall(call, granted, now + budget, now),
        )
        self._outlook.record_enqueued(call, now)
        self.wake()
        return await self._wait(entry)

    def wake(self) -> None:
        """Place what can be placed; call it after each load report."""
        now = _now()
        self._serve(now)
        if self.queued and now >= self._shed_at:
            self._shed_at = now + _SHED_SECONDS
            self._shed(now)
        self._make_room(now)
        self._schedule()

    def _forget(self, ticket: Ticket) -> None:
        self._running.remove(ticket)
        self.wake()

    async def _wait(self, entry: call_queue.QueueEntry) -> Ticket:
        granted = entry.item.granted
        try:
            return await granted
        except asyncio.CancelledError:
            self._abandon(entry)
            raise

    def _abandon(self, entry: call_queue.QueueEntry) -> None:
        """Clean up after a caller that left.

        The ticket may have been granted in the same turn of the loop; not
        released, it would hold its place for good.
        """
        granted = entry.item.granted
        if granted.done() and not granted.cancelled():
            if granted.exception() is None:
                granted.result().release()
            return
        self._drop(entry)

    def _charge(self, call: calls.CallFacts, now: float) -> None:
        portion = self._portions.find(call.organisation)
        if portion is None or call.start or call.goes_first:
            return
        wait = portion.take(1, now)
        if wait:
            raise refusals.ShareExceeded(retry_after=wait)

    def _serve(self, now: float) -> None:
        while True:
            entry = self._next(now)
            if entry is None:
                return
            if entry.item.granted.done():
                # The caller left in this turn of the loop.  Its ticket would
                # have no holder and keep its place for good.
                self._drop(entry)
                continue
            if entry.item.latest_start <= now:
                self._refuse(entry, now)
                continue
            if not self._place(entry, now):
                return

    def _next(self, now: float) -> call_queue.QueueEntry | None:
        """Pick the next call, or one just behind it with a cached prefix.

        In a full service only one target has room at a time, so the routing
        can't follow the caches; the order of the queue can, a little.
        """
        head = self._line.head()
        if head is None or self._must_go(head, now):
            return head
        entries = self._line.first(self._settings.lookahead)
        best = entries[
            self._room.best_match([entry.item.call for entry in entries], now)
        ]
        if best is not head:
            head.item.times_skipped += 1
        return best

    def _must_go(self, head: call_queue.QueueEntry, now: float) -> bool:
        item = head.item
        if item.call.is_ahead:
            return True
        if item.times_skipped >= self._settings.most_passes:
            return True
        return item.latest_start - now < _LAST_SECONDS

    def _place(self, entry: call_queue.QueueEntry, now: float) -> bool:
        call = entry.item.call
        try:
            placement = self._room.allocate(call, now)
        except errors.CodedError as exc:
            self._answer(entry, exc)
            return True
        if placement is None:
            return False
        ticket = Ticket(call, placement, self._forget)
        self._line.dequeue(entry)
        has_waited = entry.item.enqueued_at < now
        self._outlook.record_dequeued(call, is_served=has_waited, now=now)
        self._running.add(ticket, now)
        entry.item.granted.set_result(ticket)
        return True

    def _shed(self, now: float) -> None:
        """Refuse at once the calls that won't start in time.

        The queue drains more slowly than expected after a target is lost.
        Without this, the calls would be held until they expire.  The caution
        of the first estimate is turned round, so that noise refuses nobody.
        """
        rate = self._outlook.drain_rate(now) / self._settings.caution
        ahead: float = 0
        for entry in self._line.entries():
            start = now + ahead / rate
            if start > entry.item.latest_start:
                self._refuse(entry, now)
                continue
            ahead += entry.cost

    def _refuse(self, entry: call_queue.QueueEntry, now: float) -> None:
        retry = self._outlook.retry_after(entry.item.call, now)
        self._answer(entry, refusals.AdmissionRefused(retry_after=retry))

    def _answer(
        self,
        entry: call_queue.QueueEntry,
        refusal: errors.CodedError,
    ) -> None:
        self._drop(entry)
        portion = self._portions.find(entry.item.call.organisation)
        if portion is not None:
            portion.refund(1)
        if not entry.item.granted.done():
            entry.item.granted.set_exception(refusal)

    def _drop(self, entry: call_queue.QueueEntry) -> None:
        if entry.removed:
            return
        self._line.remove(entry)
        self._outlook.record_dequeued(
            entry.item.call, is_served=False, now=_now()
        )

    def _make_room(self, now: float) -> None:
        for entry in self._line.urgent():
            waited = now - entry.item.enqueued_at
            if (
                entry.item.has_preempted
                or waited < self._settings.preempt_seconds
            ):
                continue
            if not self._running.preempt_one(entry.item.call, now):
                return
            entry.item.has_preempted = True

    def _schedule(self) -> None:
        if self._timer is not None or not (self.queued or self._running):
            return
        loop = asyncio.get_running_loop()
        delay = _TICK_SECONDS if self.queued else _SWEEP_SECONDS
        self._timer = loop.call_later(delay, self._tick)

    def _tick(self) -> None:
        self._timer = None
        now = _now()
        if now >= self._swept_at + _SWEEP_SECONDS:
            self._swept_at = now
            self._running.move_late_streams(now)
        self.wake()


def _now() -> float:
    return asyncio.get_running_loop().time()
