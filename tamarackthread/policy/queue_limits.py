"""Say how long a call may wait, and refuse the one that waits in vain."""

from __future__ import annotations

import attrs

from tamarackthread.policy import (
    allocator,
    call_queue,
    calls,
    refusals,
    wait_estimator,
)

_LEAST_WAIT_SECONDS = 0.05


@attrs.frozen(slots=True, kw_only=True)
class AdmissionSettings:
    """Hold the bounds of a service's queue, times in seconds.

    ``first_token_seconds`` is how soon after its arrival a call should get
    its first token; one that can't is refused.  An organisation that used
    less than its share may catch up by ``credit``, in calls.  A call waits
    for at most ``most_wait_share`` of the time to its deadline, so that a
    refusal leaves its caller time to act, and is queued if its expected wait
    is at most ``caution`` of that.  An urgent call that has waited for
    ``preempt_seconds`` pre-empts.  ``lookahead`` is how many of the next calls
    compete for a free slot by what its target has cached, and ``most_passes``
    how often that may pass a call over.
    """

    first_token_seconds: float = 0.5
    queue_limit: int = 512
    organisation_limit: int = 128
    credit: float = 8.0
    most_wait_share: float = 0.6
    caution: float = 0.65
    preempt_seconds: float = 0.05
    lookahead: int = 12
    most_passes: int = 4


class QueueLimits:
    """Hold the bounds of one service's queue."""

    def __init__(
        self,
        settings: AdmissionSettings,
        place: allocator.Allocator,
        line: call_queue.CallQueue,
        expected: wait_estimator.WaitEstimator,
    ) -> None:
        """Bound ``line`` by what ``expected`` says of it."""
        self._settings = settings
        self._room = place
        self._line = line
        self._outlook = expected

    def wait_budget(self, call: calls.CallFacts, now: float) -> float:
        """Return how many seconds the call may wait and still be in time."""
        until_end = call.deadline - now - self._room.answer_seconds(call, now)
        if until_end <= 0:
            raise refusals.DeadlineTooClose()
        if call.is_ahead:
            return until_end
        settings = self._settings
        first = self._room.first_token_seconds(call, now)
        most = settings.most_wait_share * (call.deadline - now)
        # A prompt that takes longer than the goal by itself is no reason to
        # refuse a call when there is room: it would never be answered at all.
        goal = max(_LEAST_WAIT_SECONDS, settings.first_token_seconds - first)
        return min(until_end, goal, most)

    def check(
        self,
        call: calls.CallFacts,
        budget: float,
        now: float,
    ) -> None:
        """Raise a refusal if the call is one too many, or expected too late."""
        settings = self._settings
        length = self._line.organisation_length(call)
        if length >= settings.organisation_limit:
            retry = self._outlook.retry_after(call, now)
            raise refusals.ShareExceeded(retry_after=retry)
        if call.is_ahead:
            return
        if len(self._line) >= settings.queue_limit:
            retry = self._outlook.retry_after(call, now)
            raise refusals.QueueFull(retry_after=retry)
        if not len(self._line):
            return
        if self._outlook.expected_wait(call, now) <= budget * settings.caution:
            return
        retry = self._outlook.retry_after(call, now)
        if length:
            raise refusals.ShareExceeded(retry_after=retry)
        raise refusals.AdmissionRefused(retry_after=retry)
