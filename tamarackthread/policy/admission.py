"""Admit calls to a service, or refuse them early and honestly.

Calls wait here, in fair bounded queues, until a target has room.  A call
that can't start in time is refused as soon as that is known, with the time
after which a retry will find room.
"""

from __future__ import annotations

import asyncio
import random

import attrs

from tamarackthread.policy import (
    buckets,
    calls,
    fairness,
    pace,
    preemption,
    refusals,
    room,
    waiting,
)
from tamarackthread.shared import errors

_TICK_SECONDS = 0.01
_SHED_SECONDS = 0.05
_LAST_SECONDS = 0.1


@attrs.frozen(slots=True, kw_only=True)
class AdmissionSettings:
    """Hold the bounds of a service's queue, times in seconds.

    ``first_token_seconds`` is how soon after its arrival a call should get
    its first token; one that can't is refused.  ``lookahead`` is how many of
    the next calls compete for a free slot by what its target has cached, and
    ``most_passes`` how often that may pass a call over.
    """

    first_token_seconds: float = 0.45
    queue_limit: int = 512
    organisation_limit: int = 128
    lookahead: int = 8
    most_passes: int = 4


class Ticket:
    """Be the permission to run one call at one target."""

    def __init__(
        self,
        admission: Admission,
        call: calls.CallFacts,
        placement: room.Placement,
    ) -> None:
        """Hold the placement until ``release``."""
        self._admission = admission
        self._call = call
        self._placement = placement
        self._admitted_at = _now()
        self._released = False
        self._preempted = asyncio.Event()

    @property
    def call(self) -> calls.CallFacts:
        """Return the call that was admitted."""
        return self._call

    @property
    def target(self) -> str:
        """Return the name of the target to send the call to."""
        return self._placement.target.name

    @property
    def preempted(self) -> asyncio.Event:
        """Return the event that asks to cancel the call and to release."""
        return self._preempted

    def first_token(self) -> None:
        """Note that the target began to answer."""
        self._placement.first_token(_now())

    def release(self) -> None:
        """Give the place back, at the end or when the call was not sent."""
        if self._released:
            return
        self._released = True
        self._placement.release(_now())
        self._admission.forget(self)

    def describe(self) -> preemption.RunningCall:
        """Tell the pre-emption policy about the call."""
        return preemption.RunningCall(
            key=id(self),
            target=self.target,
            organisation=self._call.organisation,
            priority=self._call.priority,
            started_at=self._admitted_at,
        )


class Admission:
    """Queue, admit and refuse the calls of one service in one entry."""

    def __init__(
        self,
        place: room.Room,
        shares: fairness.Shares,
        generator: random.Random,
        settings: AdmissionSettings | None = None,
        portions: buckets.Portions | None = None,
        preempt: preemption.PreemptionPolicy | None = None,
    ) -> None:
        """Start empty; must be used from within a running loop."""
        self._settings = settings or AdmissionSettings()
        self._room = place
        self._portions = portions or buckets.Portions()
        self._preempt = preempt or preemption.NewestDraft()
        self._retry_times = pace.RetryTimes(generator)
        self._meter = pace.DrainMeter()
        self._line = waiting.WaitingLine(shares)
        self._running: dict[int, Ticket] = {}
        self._timer: asyncio.TimerHandle | None = None
        self._shed_at: float = 0
        self._mean_cost = 1.0

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
        budget = self._budget(call, now)
        self._check_limits(call, budget, now)
        self._charge(call, now)
        self._mean_cost += (call.cost - self._mean_cost) / 64
        granted = asyncio.get_running_loop().create_future()
        entry = self._line.push(
            waiting.WaitingCall(call, granted, now + budget),
        )
        self.wake()
        return await self._wait(entry)

    def wake(self) -> None:
        """Place what can be placed; call it after each load report."""
        now = _now()
        self._serve(now)
        self._meter.observe(self.queued > 0, now)
        if self.queued and now >= self._shed_at:
            self._shed_at = now + _SHED_SECONDS
            self._shed(now)
        self._make_room(now)
        if self.queued and self._timer is None:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(_TICK_SECONDS, self._tick)

    def forget(self, ticket: Ticket) -> None:
        """Drop a released ticket and use its place; called by the ticket."""
        self._running.pop(id(ticket), None)
        self.wake()

    async def _wait(self, entry: waiting.WaitingEntry) -> Ticket:
        granted = entry.item.granted
        try:
            return await granted
        except asyncio.CancelledError:
            self._abandon(entry)
            raise

    def _abandon(self, entry: waiting.WaitingEntry) -> None:
        """Clean up after a caller that left.

        The ticket may have been granted in the same turn of the loop; not
        released, it would hold its place for good.
        """
        granted = entry.item.granted
        if granted.done() and not granted.cancelled():
            if granted.exception() is None:
                granted.result().release()
            return
        self._line.remove(entry)

    def _budget(self, call: calls.CallFacts, now: float) -> float:
        """Return how long the call may wait and still be in time."""
        until_end = call.deadline - now - self._room.answer_seconds(call, now)
        if until_end <= 0:
            raise refusals.DeadlineTooClose()
        if call.priority == calls.Priority.URGENT:
            return until_end
        first = self._room.first_token_seconds(call, now)
        return min(until_end, self._settings.first_token_seconds - first)

    def _check_limits(
        self,
        call: calls.CallFacts,
        budget: float,
        now: float,
    ) -> None:
        settings = self._settings
        if self.queued >= settings.queue_limit:
            raise refusals.QueueFull(retry_after=self._retry(call, now))
        length = self._line.organisation_length(call)
        if length >= settings.organisation_limit:
            raise refusals.ShareExceeded(retry_after=self._retry(call, now))
        if not self.queued or call.priority == calls.Priority.URGENT:
            return
        if self._line.ahead(call) <= budget * self._rate(now):
            return
        if length:
            raise refusals.ShareExceeded(retry_after=self._retry(call, now))
        raise refusals.AdmissionRefused(retry_after=self._retry(call, now))

    def _charge(self, call: calls.CallFacts, now: float) -> None:
        portion = self._portions.find(call.organisation)
        if portion is None:
            return
        wait = portion.take(1, now)
        if wait:
            raise refusals.ShareExceeded(retry_after=wait)

    def _serve(self, now: float) -> None:
        while True:
            entry = self._next(now)
            if entry is None:
                return
            if entry.item.latest_start <= now:
                self._refuse(entry, now)
                continue
            if not self._place(entry, now):
                return

    def _next(self, now: float) -> waiting.WaitingEntry | None:
        """Pick the next call, or one just behind it with a cached prefix.

        In a full service only one target has room at a time, so the routing
        can't follow the caches; the order of the queue can, a little.
        """
        head = self._line.head()
        if head is None or self._must_go(head, now):
            return head
        entries = self._line.first(self._settings.lookahead)
        best = entries[
            self._room.pick([entry.item.call for entry in entries], now)
        ]
        if best is not head:
            head.item.passed_over += 1
        return best

    def _must_go(self, head: waiting.WaitingEntry, now: float) -> bool:
        item = head.item
        if item.call.priority == calls.Priority.URGENT:
            return True
        if item.passed_over >= self._settings.most_passes:
            return True
        return item.latest_start - now < _LAST_SECONDS

    def _place(self, entry: waiting.WaitingEntry, now: float) -> bool:
        call = entry.item.call
        try:
            placement = self._room.take(call, now)
        except errors.CodedError as exc:
            self._answer(entry, exc)
            return True
        if placement is None:
            return False
        ticket = Ticket(self, call, placement)
        self._line.take(entry)
        self._meter.served(call.cost)
        self._running[id(ticket)] = ticket
        entry.item.granted.set_result(ticket)
        return True

    def _shed(self, now: float) -> None:
        """Refuse at once the calls that won't start in time.

        The queue drains more slowly than expected after a target is lost.
        Without this, the calls would be held until they expire.
        """
        rate = self._rate(now)
        ahead: float = 0
        for entry in self._line.entries():
            start = now + ahead / rate
            if start > entry.item.latest_start:
                self._refuse(entry, now)
                continue
            ahead += entry.cost

    def _refuse(self, entry: waiting.WaitingEntry, now: float) -> None:
        retry = self._retry(entry.item.call, now)
        self._answer(entry, refusals.AdmissionRefused(retry_after=retry))

    def _answer(
        self,
        entry: waiting.WaitingEntry,
        refusal: errors.CodedError,
    ) -> None:
        self._line.remove(entry)
        portion = self._portions.find(entry.item.call.organisation)
        if portion is not None:
            portion.give_back(1)
        entry.item.granted.set_exception(refusal)

    def _make_room(self, now: float) -> None:
        running = None
        for entry in self._line.urgent():
            if entry.item.preempting:
                continue
            if running is None:
                running = self._preemptible()
            chosen = self._preempt.choose(entry.item.call, running, now)
            if chosen is None:
                return
            entry.item.preempting = True
            running.remove(chosen)
            self._running[chosen.key].preempted.set()

    def _preemptible(self) -> list[preemption.RunningCall]:
        found = []
        for ticket in self._running.values():
            if not ticket.preempted.is_set():
                found.append(ticket.describe())
        return found

    def _rate(self, now: float) -> float:
        prior = max(1, self._room.rate(now)) * self._mean_cost
        return max(0.1, self._meter.rate(prior))

    def _retry(self, call: calls.CallFacts, now: float) -> float:
        rate = self._rate(now)
        wait = self._line.ahead(call) / rate
        share = rate * self._line.share(call)
        return self._retry_times.book(
            call.organisation,
            call.cost,
            share,
            wait,
            now,
        )

    def _tick(self) -> None:
        self._timer = None
        self.wake()


def _now() -> float:
    return asyncio.get_running_loop().time()
