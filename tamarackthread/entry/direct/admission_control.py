"""Queue calls in the entry while the ranks of their group are at capacity."""

from __future__ import annotations

import asyncio
import collections.abc
import math

import attrs

from tamarackthread.entry.direct import calls, failures, targets
from tamarackthread.policy import concurrency, outages
from tamarackthread.shared import stop_deadline
from tamarackthread.shared.site import configuration

# The rest of the current pass, one pass for the prompt, and the round trip.
PASSES_TO_FIRST_PIECE = 2.2
# Weight of the newest sample in the moving average of answer times.
EWMA_WEIGHT = 0.1
# An immediate retry would be refused for the same reason.
RETRY_AFTER_SECONDS = 0.5

EntryCount = collections.abc.Callable[[], int]


@attrs.define(eq=False)
class _Waiter:
    """A queued call; ``granted`` resolves when it is admitted."""

    call: calls.Call
    granted: asyncio.Future[None]


# A rank over its limit makes every stream of its group late; a queued call
# delays only itself.
class AdmissionQueue:
    """Queue the calls of one service until its ranks have a free slot."""

    def __init__(
        self,
        service: str,
        limit: concurrency.ConcurrencyLimit,
        all_targets: targets.Targets,
        entries: EntryCount,
        stopping: stop_deadline.StopDeadline,
    ) -> None:
        """Limit the concurrency that ``all_targets`` reports by ``limit``."""
        self._service = service
        self._stopping = stopping
        self._limit = limit
        self._targets = all_targets
        self._entries = entries
        self._group_state = outages.OutageDetector()
        self._waiting: list[_Waiter] = []
        self._quota: float = 0
        self._answer_seconds: float = 0

    @property
    def limit(self) -> concurrency.ConcurrencyLimit:
        """Return the concurrency limit."""
        return self._limit

    @limit.setter
    def limit(self, limit: concurrency.ConcurrencyLimit) -> None:
        self._limit = limit

    def __len__(self) -> int:
        """Return the number of queued calls."""
        return len(self._waiting)

    async def admit(self, call: calls.Call) -> None:
        """Wait until the ranks have a free slot for a call.

        Raises ``NoRoomInTime`` as soon as the deadline can no longer be met,
        and ``EntryStops`` if this entry stops before a call could end.
        """
        if not self._waiting and self._take_slot():
            return
        loop = asyncio.get_running_loop()
        waiter = _Waiter(call, loop.create_future())
        self._waiting.append(waiter)
        try:
            async with self._stopping.timeout_at(
                call.deadline - self._answer_seconds, self._answer_seconds
            ):
                await waiter.granted
        except TimeoutError as exc:
            if self._stopping.ends_at < call.deadline:
                raise failures.EntryStops() from exc
            raise failures.NoRoomInTime(
                retry_after=RETRY_AFTER_SECONDS
            ) from exc
        finally:
            self._waiting.remove(waiter)

    def record_answer(self, seconds: float) -> None:
        """Update the average answer time, in seconds from send to end."""
        if not self._answer_seconds:
            self._answer_seconds = seconds
        self._answer_seconds += EWMA_WEIGHT * (seconds - self._answer_seconds)

    def release(self) -> None:
        """Return the slot of a call that has left its target."""
        if 0 < self._free_slots() < math.inf:
            self._quota += 1
        self._grant()

    @property
    def is_closed(self) -> bool:
        """Tell whether targets have recently only refused calls."""
        return self._group_state.is_down(asyncio.get_running_loop().time())

    def note_piece(self) -> None:
        """Record that a target has sent a piece of an answer."""
        self._group_state.record_output(asyncio.get_running_loop().time())

    def note_refusal(self, target: str) -> None:
        """Record that a target has refused a call without running it."""
        self._group_state.record_refusal(
            target, asyncio.get_running_loop().time()
        )

    def note_gap(self, seconds: float) -> None:
        """Record the time between two pieces of an answer, in seconds."""
        self._limit.record_pass(seconds, asyncio.get_running_loop().time())

    def refill(self) -> None:
        """Reset this entry's quota of free slots after an exchange."""
        load = self._load()
        free = self._free_slots_of(load)
        # An entry without calls may send one: it needs an answer to measure the
        # pass time, and so to learn of free slots.
        self._quota = 0 if load.own else 1
        if 0 < free < math.inf:
            # One slot at least, since idle entries leave theirs unused.
            # Together the entries exceed the limit by one call each at most.
            self._quota = max(1, free / max(1, self._entries()))
        self._grant()

    def _load(self) -> concurrency.GroupLoad:
        return self._targets.group_load(self._service, self._entries())

    def _free_slots(self) -> float:
        """Return how many more calls the ranks may take."""
        return self._free_slots_of(self._load())

    def _free_slots_of(self, load: concurrency.GroupLoad) -> float:
        now = asyncio.get_running_loop().time()
        return self._limit.max_calls(load, now) - load.calls

    def _take_slot(self) -> bool:
        if math.isinf(self._free_slots()):
            return True
        if self._quota < 1:
            return False
        self._quota -= 1
        return True

    def _grant(self) -> None:
        """Admit calls while slots are free, first those that can be in time."""
        now = asyncio.get_running_loop().time()
        lead = PASSES_TO_FIRST_PIECE * self._limit.median_pass(now)
        waiters = [
            waiter for waiter in self._waiting if not waiter.granted.done()
        ]
        waiters.sort(
            key=lambda waiter: _admission_order(waiter.call, now + lead)
        )
        for waiter in waiters:
            if not self._take_slot():
                return
            waiter.granted.set_result(None)


class AdmissionControl:
    """Hold an admission queue for each service whose ranks run in lockstep."""

    def __init__(
        self,
        all_targets: targets.Targets,
        entries: EntryCount,
        stopping: stop_deadline.StopDeadline,
    ) -> None:
        """Start without queues."""
        self._stopping = stopping
        self._targets = all_targets
        self._entries = entries
        self._queues: dict[str, AdmissionQueue] = {}
        self._settings: dict[str, tuple[configuration.StepTiming, float]] = {}

    def learn(self, config: configuration.Configuration) -> None:
        """Create and update queues from a configuration."""
        for service in config.services:
            if service.step_timing is None:
                continue
            settings = (service.step_timing, config.min_gap(service.name))
            if not settings[1] or self._settings.get(service.name) == settings:
                continue
            self._settings[service.name] = settings
            self._set_limit(
                service.name,
                concurrency.LatencyLimit(
                    settings[1], service.step_timing.empty_seconds
                ),
            )

    def _set_limit(
        self, service: str, limit: concurrency.ConcurrencyLimit
    ) -> None:
        """Set the limit of a service's queue, keeping the calls in it."""
        queue = self._queues.get(service)
        if queue is not None:
            queue.limit = limit
            return
        self._queues[service] = AdmissionQueue(
            service, limit, self._targets, self._entries, self._stopping
        )

    async def admit(self, call: calls.Call) -> None:
        """Wait until the targets of a call's service have a free slot."""
        queue = self._queues.get(call.service)
        if queue is not None:
            await queue.admit(call)

    def record_answer(self, call: calls.Call, seconds: float) -> None:
        """Update the average answer time of a call's service, in seconds."""
        queue = self._queues.get(call.service)
        if queue is not None:
            queue.record_answer(seconds)

    def release(self, call: calls.Call) -> None:
        """Return the slot of a call that has left its target."""
        queue = self._queues.get(call.service)
        if queue is not None:
            queue.release()

    def note_piece(self, call: calls.Call) -> None:
        """Record that a target has sent a piece of an answer."""
        queue = self._queues.get(call.service)
        if queue is not None:
            queue.note_piece()

    def note_refusal(self, call: calls.Call, target: str) -> None:
        """Record that a target has refused a call without running it."""
        queue = self._queues.get(call.service)
        if queue is not None:
            queue.note_refusal(target)

    def is_closed(self, call: calls.Call) -> bool:
        """Tell whether a call's group currently makes no passes."""
        queue = self._queues.get(call.service)
        return queue is not None and queue.is_closed

    def note_gap(self, call: calls.Call, seconds: float) -> None:
        """Record the time between two pieces of a call's answer, in seconds."""
        queue = self._queues.get(call.service)
        if queue is not None:
            queue.note_gap(seconds)

    def refill(self) -> None:
        """Reset the quotas after an exchange with the other entries."""
        for queue in self._queues.values():
            queue.refill()


def _admission_order(
    call: calls.Call, first_at: float
) -> tuple[bool, int, float]:
    """Sort by whether the latency goal can be met, then by priority, then by age."""
    goal_at = call.arrived_at + call.route.latency_goal
    # By age alone every call would be late once some are.
    return first_at > goal_at, call.priority, goal_at
