"""Allocate slots at the targets of a service to calls."""

from __future__ import annotations

import abc
import collections.abc
import math

import attrs

from tamarackthread.policy import (
    calls,
    migration,
    refusals,
    routing,
    target_load,
)

_SLOW_STEP_FACTOR = 1.5


@attrs.define(slots=True, eq=False)
class Placement:
    """A call's slot at a target, held until released."""

    target: routing.TargetView
    flight: target_load.InFlightCall

    def advance(self, progress: migration.Progress, now: float) -> None:
        """Record the first token and the stream's mean seconds per event."""
        self.target.load.first_token(self.flight, now)
        self.target.load.observe_pace(progress.pace, now)

    def release(self, now: float) -> None:
        """Free the slot; idempotent."""
        self.target.load.finished(self.flight, now)


class Allocator(abc.ABC):
    """Allocate capacity to calls."""

    @abc.abstractmethod
    def allocate(self, call: calls.CallFacts, now: float) -> Placement | None:
        """Place a call, or return ``None`` while there is no capacity.

        Raises ``NoTarget`` if no target takes calls and ``DeadlineTooClose``
        if none could answer in time.
        """

    @abc.abstractmethod
    def best_match(
        self,
        waiting: collections.abc.Sequence[calls.CallFacts],
        now: float,
    ) -> int:
        """Return the index of the call that best fits the free targets."""

    @abc.abstractmethod
    def service_rate(self, now: float) -> float:
        """Estimate how many calls this entry may place a second."""

    @abc.abstractmethod
    def first_token_seconds(self, call: calls.CallFacts, now: float) -> float:
        """Estimate the seconds from placing the call to its first token."""

    @abc.abstractmethod
    def answer_seconds(self, call: calls.CallFacts, now: float) -> float:
        """Estimate the seconds from placing the call to its last token."""


@attrs.frozen(slots=True, kw_only=True)
class AllocatorSettings:
    """Configure the slots of each target for urgent and resumed calls."""

    # Fraction of the slots, rounded up, only for calls that bypass the queue.

    reserved_share: float = 0
    # Calls allowed beyond the slots if they bypass the queue.
    urgent_extra: int = 2


class TargetAllocator(Allocator):
    """Place calls at the targets that a routing policy chooses."""

    def __init__(
        self,
        policy: routing.RoutingPolicy,
        settings: AllocatorSettings | None = None,
    ) -> None:
        """Start without targets; ``policy`` chooses among the free ones."""
        self._policy = policy
        self._settings = settings or AllocatorSettings()
        self._targets: list[routing.TargetView] = []

    @property
    def targets(self) -> collections.abc.Sequence[routing.TargetView]:
        """Return the targets that calls may be placed at."""
        return self._targets

    def set_targets(
        self,
        targets: collections.abc.Iterable[routing.TargetView],
    ) -> None:
        """Replace the targets; calls already placed are untouched."""
        self._targets = list(targets)

    def allocate(self, call: calls.CallFacts, now: float) -> Placement | None:
        """Place a call at one of the targets with free slots."""
        usable = routing.usable_targets(call, self._targets)
        if not usable:
            raise refusals.NoTarget(retry_after=1)
        free = self._with_free_slots(call, usable, now)
        if not free:
            return None
        in_time = _meeting_deadline(call, free, now)
        if not in_time:
            # A slow target is often the only free one.  The call waits if
            # a busy one could still answer in time.
            if _meeting_deadline(call, usable, now):
                return None
            raise refusals.DeadlineTooClose()
        if call.bypasses_queue:
            in_time = self._prefer_healthy(in_time)
        view = self._policy.choose(call, in_time, now)
        if view is None:
            return None
        cached = view.prefixes.cached_tokens(call.prefixes)
        tokens = max(0, call.prompt_tokens - int(cached))
        view.prefixes.sent(call.prefixes)
        return Placement(view, view.load.sent(tokens, now))

    def best_match(
        self,
        waiting: collections.abc.Sequence[calls.CallFacts],
        now: float,
    ) -> int:
        """Return the index of the call with most of its prompt cached."""
        usable = routing.usable_targets(waiting[0], self._targets)
        free = self._with_free_slots(waiting[0], usable, now)
        best = 0
        highest: float = 0
        for index, call in enumerate(waiting):
            part = _cached_fraction(call, free)
            if part > highest:
                best, highest = index, part
        return best

    def service_rate(self, now: float) -> float:
        """Estimate from this entry's part of the slots and its calls' duration."""
        total: float = 0
        for view in self._targets:
            if view.load.accepts_calls:
                total += view.share * view.load.guaranteed_rate
        return total

    def first_token_seconds(self, call: calls.CallFacts, now: float) -> float:
        """Estimate for a free slot at a median target."""
        return self._prefill_seconds(call.prompt_tokens)

    def answer_seconds(self, call: calls.CallFacts, now: float) -> float:
        """Estimate for a free slot at a median target."""
        steps = call.answer_tokens * self._median_step()
        return self._prefill_seconds(call.prompt_tokens) + steps

    def _with_free_slots(
        self,
        call: calls.CallFacts,
        usable: list[routing.TargetView],
        now: float,
    ) -> list[routing.TargetView]:
        free = []
        for view in usable:
            if _is_over_ramp_limit(view):
                continue
            if view.load.has_room(now, self._reserved_slots(call, view)):
                free.append(view)
        return free

    def _reserved_slots(
        self,
        call: calls.CallFacts,
        view: routing.TargetView,
    ) -> int:
        if call.bypasses_queue:
            return -self._settings.urgent_extra
        return math.ceil(self._settings.reserved_share * view.load.slots)

    def _prefer_healthy(
        self,
        views: list[routing.TargetView],
    ) -> list[routing.TargetView]:
        """Prefer targets that are neither slow nor ramping up, if any."""
        limit = _SLOW_STEP_FACTOR * self._median_step()
        healthy = []
        for view in views:
            if view.share >= 1 and view.load.step_seconds <= limit:
                healthy.append(view)
        return healthy or views

    def _median_step(self) -> float:
        steps = sorted(view.load.step_seconds for view in self._targets)
        return steps[(len(steps) - 1) // 2] if steps else 0

    def _prefill_seconds(self, tokens: int) -> float:
        if not self._targets:
            return 0
        chunk = self._targets[0].load.chunk_tokens
        return self._median_step() * (1 + tokens / chunk)


def _cached_fraction(
    call: calls.CallFacts,
    views: list[routing.TargetView],
) -> float:
    if not call.prompt_tokens:
        return 0
    highest: float = 0
    for view in views:
        highest = max(highest, view.prefixes.cached_tokens(call.prefixes))
    return highest / call.prompt_tokens


def _is_over_ramp_limit(view: routing.TargetView) -> bool:
    """Tell whether a target that ramps up after ejection has used up its share
    of the slots that it guarantees to this entry.
    """
    # Needed since the weights of the routing policy don't limit a target that
    # is the only one with free slots.
    if view.share >= 1:
        return False
    return view.load.own_calls >= max(
        1, view.share * view.load.guaranteed_slots
    )


def _is_probe(call: calls.CallFacts, view: routing.TargetView) -> bool:
    """Tell whether a call probes an idle target that ramps up."""
    # An idle target reports its last, slow step time until a call shows that
    # it has recovered.
    if view.share >= 1 or call.priority == calls.Priority.URGENT:
        return False
    return not view.load.own_calls and not view.load.last_report.running


def _meeting_deadline(
    call: calls.CallFacts,
    views: list[routing.TargetView],
    now: float,
) -> list[routing.TargetView]:
    in_time = []
    for view in views:
        if _is_probe(call, view):
            in_time.append(view)
            continue
        cached = view.prefixes.cached_tokens(call.prefixes)
        uncached = max(0, call.prompt_tokens - cached)
        answer = view.load.expected_answer(uncached, call.answer_tokens, now)
        if now + answer <= call.deadline:
            in_time.append(view)
    return in_time
