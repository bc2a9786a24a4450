"""Bound a queue's length and the time that calls may wait in it."""

from __future__ import annotations

import attrs

from tamarackthread.policy import (
    allocator,
    call_queue,
    calls,
    refusals,
    wait_estimator,
)

_MIN_WAIT_SECONDS = 0.05


@attrs.frozen(slots=True, kw_only=True)
class AdmissionSettings:
    """Hold the bounds of a service's queue; times are in seconds."""

    # Target for the time from a call's arrival to its first token.
    first_token_seconds: float = 0.5
    queue_limit: int = 512
    organisation_limit: int = 128
    # Cost, in calls, by which an underused share may catch up.
    credit: float = 8.0
    # Largest wait as a fraction of the time to the deadline; the rest is
    # left to the caller after a refusal.
    max_wait_share: float = 0.6
    # A call is queued if its expected wait is at most this fraction of its
    # wait budget.
    caution: float = 0.65
    # Wait after which an urgent call pre-empts a running one.
    preempt_seconds: float = 0.05
    # How many of the next calls compete for a free slot by cached prefix.
    lookahead: int = 12
    # How often a call may be skipped in favour of a cached prefix.
    max_skips: int = 4


class QueueLimits:
    """Enforce the bounds of one service's queue."""

    def __init__(
        self,
        settings: AdmissionSettings,
        capacity: allocator.Allocator,
        queue: call_queue.CallQueue,
        estimator: wait_estimator.WaitEstimator,
    ) -> None:
        """Bound ``queue`` by its length and the waits that are estimated."""
        self._settings = settings
        self._allocator = capacity
        self._queue = queue
        self._estimator = estimator

    def wait_budget(self, call: calls.CallFacts, now: float) -> float:
        """Return the seconds a call may wait, or raise ``DeadlineTooClose``."""
        until_end = (
            call.deadline - now - self._allocator.answer_seconds(call, now)
        )
        if until_end <= 0:
            raise refusals.DeadlineTooClose()
        if call.bypasses_queue:
            return until_end
        settings = self._settings
        first = self._allocator.first_token_seconds(call, now)
        longest = settings.max_wait_share * (call.deadline - now)
        # A prefill longer than the goal must not refuse the call on an idle
        # service: no retry would succeed.
        goal = max(_MIN_WAIT_SECONDS, settings.first_token_seconds - first)
        return min(until_end, goal, longest)

    def check(
        self,
        call: calls.CallFacts,
        budget: float,
        now: float,
    ) -> None:
        """Raise a refusal if a limit is reached or the wait is too long."""
        settings = self._settings
        length = self._queue.organisation_length(call)
        if length >= settings.organisation_limit:
            retry = self._estimator.retry_after(call, now)
            raise refusals.ShareExceeded(retry_after=retry)
        if call.bypasses_queue:
            return
        if len(self._queue) >= settings.queue_limit:
            retry = self._estimator.retry_after(call, now)
            raise refusals.QueueFull(retry_after=retry)
        if not len(self._queue):
            return
        if (
            self._estimator.expected_wait(call, now)
            <= budget * settings.caution
        ):
            return
        retry = self._estimator.retry_after(call, now)
        if length:
            raise refusals.ShareExceeded(retry_after=retry)
        raise refusals.AdmissionRefused(retry_after=retry)
