"""Queue the calls to a service and admit them or refuse them early."""

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

_ADMIT_INTERVAL_SECONDS = 0.01
_SHED_INTERVAL_SECONDS = 0.05
_LAST_CHANCE_SECONDS = 0.1
_MOVE_INTERVAL_SECONDS = 0.05


AdmissionSettings = queue_limits.AdmissionSettings
Ticket = tickets.Ticket


class Admission:
    """Queue, admit and refuse the calls of one service in one entry."""

    def __init__(
        self,
        capacity: allocator.Allocator,
        shares: fairness.Shares,
        generator: random.Random,
        settings: AdmissionSettings | None = None,
        portions: buckets.Portions | None = None,
        preempt: preemption.PreemptionPolicy | None = None,
        move: migration.MigrationPolicy | None = None,
    ) -> None:
        """Start empty; requires a running event loop."""
        self._settings = settings or AdmissionSettings()
        self._allocator = capacity
        self._portions = portions or buckets.Portions()
        self._queue = call_queue.CallQueue(shares, self._settings.credit)
        self._estimator = wait_estimator.WaitEstimator(
            capacity, self._queue, generator
        )
        self._limits = queue_limits.QueueLimits(
            self._settings,
            capacity,
            self._queue,
            self._estimator,
        )
        self._running = running_calls.RunningCalls(
            capacity,
            preempt or preemption.LowestPriorityFirst(),
            move or migration.NeverMigrate(),
        )
        self._timer: asyncio.TimerHandle | None = None
        self._next_shed_at: float = 0
        self._last_move_check_at: float = 0

    @property
    def queued(self) -> int:
        """Count the queued calls."""
        return len(self._queue)

    @property
    def running(self) -> int:
        """Count the admitted calls that are not released yet."""
        return len(self._running)

    async def submit(self, call: calls.CallFacts) -> Ticket:
        """Wait for admission; raise a coded refusal if it can't be in time."""
        now = _now()
        self._estimator.record_request(call, now)
        budget = self._limits.wait_budget(call, now)
        self._limits.check(call, budget, now)
        self._charge_portion(call, now)
        granted = asyncio.get_running_loop().create_future()
        entry = self._queue.push(
            call_queue.QueuedCall(call, granted, now + budget, now),
        )
        self._estimator.record_enqueued(call, now)
        self.wake()
        return await self._wait(entry)

    def wake(self) -> None:
        """Admit calls while there is capacity; run after each load report."""
        now = _now()
        self._admit_queued(now)
        if self.queued and now >= self._next_shed_at:
            self._next_shed_at = now + _SHED_INTERVAL_SECONDS
            self._shed(now)
        self._preempt_for_urgent(now)
        self._schedule()

    def _on_released(self, ticket: Ticket) -> None:
        self._running.remove(ticket)
        self.wake()

    async def _wait(self, entry: call_queue.QueueEntry) -> Ticket:
        granted = entry.item.granted
        try:
            return await granted
        except asyncio.CancelledError:
            self._handle_cancelled(entry)
            raise

    def _handle_cancelled(self, entry: call_queue.QueueEntry) -> None:
        """Clean up after a cancelled call."""
        granted = entry.item.granted
        # A ticket granted in the same loop iteration would leak its slot.
        if granted.done() and not granted.cancelled():
            if granted.exception() is None:
                granted.result().release()
            return
        self._discard(entry)

    def _charge_portion(self, call: calls.CallFacts, now: float) -> None:
        portion = self._portions.find(call.organisation)
        if portion is None or call.resume_offset or call.is_resumed:
            return
        wait = portion.take(1, now)
        if wait:
            raise refusals.ShareExceeded(retry_after=wait)

    def _admit_queued(self, now: float) -> None:
        while True:
            entry = self._next_entry(now)
            if entry is None:
                return
            if entry.item.granted.done():
                # Cancelled in this loop iteration; a ticket granted to it
                # would leak its slot.
                self._discard(entry)
                continue
            if entry.item.latest_start <= now:
                self._refuse(entry, now)
                continue
            if not self._try_admit(entry, now):
                return

    def _next_entry(self, now: float) -> call_queue.QueueEntry | None:
        """Pick the next call, or one close behind it with a cached prefix."""
        head = self._queue.head()
        if head is None or self._must_be_next(head, now):
            return head
        entries = self._queue.first(self._settings.lookahead)
        best = entries[
            self._allocator.best_match(
                [entry.item.call for entry in entries], now
            )
        ]
        if best is not head:
            head.item.times_skipped += 1
        return best

    def _must_be_next(self, head: call_queue.QueueEntry, now: float) -> bool:
        item = head.item
        if item.call.bypasses_queue:
            return True
        if item.times_skipped >= self._settings.max_skips:
            return True
        return item.latest_start - now < _LAST_CHANCE_SECONDS

    def _try_admit(self, entry: call_queue.QueueEntry, now: float) -> bool:
        call = entry.item.call
        try:
            placement = self._allocator.allocate(call, now)
        except errors.CodedError as exc:
            self._reject(entry, exc)
            return True
        if placement is None:
            return False
        ticket = Ticket(call, placement, self._on_released)
        self._queue.dequeue(entry)
        has_waited = entry.item.enqueued_at < now
        self._estimator.record_dequeued(call, is_served=has_waited, now=now)
        self._running.add(ticket, now)
        entry.item.granted.set_result(ticket)
        return True

    def _shed(self, now: float) -> None:
        """Refuse queued calls that can no longer start in time."""
        # The queue drains more slowly than estimated after a target is lost;
        # without this, calls would be held until they expire.
        # Dividing by the caution keeps noise in the rate from shedding calls.
        rate = self._estimator.drain_rate(now) / self._settings.caution
        ahead: float = 0
        for entry in self._queue.entries():
            start = now + ahead / rate
            if start > entry.item.latest_start:
                self._refuse(entry, now)
                continue
            ahead += entry.cost

    def _refuse(self, entry: call_queue.QueueEntry, now: float) -> None:
        retry = self._estimator.retry_after(entry.item.call, now)
        self._reject(entry, refusals.AdmissionRefused(retry_after=retry))

    def _reject(
        self,
        entry: call_queue.QueueEntry,
        refusal: errors.CodedError,
    ) -> None:
        self._discard(entry)
        portion = self._portions.find(entry.item.call.organisation)
        if portion is not None:
            portion.refund(1)
        if not entry.item.granted.done():
            entry.item.granted.set_exception(refusal)

    def _discard(self, entry: call_queue.QueueEntry) -> None:
        if entry.removed:
            return
        self._queue.remove(entry)
        self._estimator.record_dequeued(
            entry.item.call, is_served=False, now=_now()
        )

    def _preempt_for_urgent(self, now: float) -> None:
        for entry in self._queue.urgent():
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
        delay = (
            _ADMIT_INTERVAL_SECONDS if self.queued else _MOVE_INTERVAL_SECONDS
        )
        self._timer = loop.call_later(delay, self._on_timer)

    def _on_timer(self) -> None:
        self._timer = None
        now = _now()
        if now >= self._last_move_check_at + _MOVE_INTERVAL_SECONDS:
            self._last_move_check_at = now
            self._running.move_late_streams(now)
        self.wake()


def _now() -> float:
    return asyncio.get_running_loop().time()
