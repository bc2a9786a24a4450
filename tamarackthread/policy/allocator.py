"""Find room for a call at the targets of a service.

A call waits in the entry, where fairness, priority and deadline count, and
not in the engine's queue, where they don't.  So room is what keeps an
engine's batch full and its queue short.
"""

from __future__ import annotations

import abc
import collections.abc
import math

import attrs

from tamarackthread.policy import calls, migration, refusals, routing
from tamarackthread.policy import load as target_load

_STEADY_FACTOR = 1.5


@attrs.define(slots=True, eq=False)
class Placement:
    """A call's place at a target until it is released."""

    target: routing.TargetView
    flight: target_load.Flight

    def advance(self, progress: migration.Progress, now: float) -> None:
        """Note that more of the stream came."""
        self.target.load.first_token(self.flight, now)
        self.target.load.paced(progress.pace, now)

    def release(self, now: float) -> None:
        """Give the place back; a second time changes nothing."""
        self.target.load.finished(self.flight, now)


class Allocator(abc.ABC):
    """Place calls while there is room."""

    @abc.abstractmethod
    def allocate(self, call: calls.CallFacts, now: float) -> Placement | None:
        """Place a call, or return ``None`` while there is no room.

        Raises ``NoTarget`` when no target takes calls and
        ``DeadlineTooClose`` when none could answer in time.
        """

    @abc.abstractmethod
    def best_match(
        self,
        waiting: collections.abc.Sequence[calls.CallFacts],
        now: float,
    ) -> int:
        """Return which of some calls fits the free room best, 0 if in doubt."""

    @abc.abstractmethod
    def service_rate(self, now: float) -> float:
        """Estimate how many calls a second this entry may place."""

    @abc.abstractmethod
    def first_token_seconds(self, call: calls.CallFacts, now: float) -> float:
        """Estimate the time from placing the call to its first token."""

    @abc.abstractmethod
    def answer_seconds(self, call: calls.CallFacts, now: float) -> float:
        """Estimate the time from placing the call to its last token."""


@attrs.frozen(slots=True, kw_only=True)
class AllocatorSettings:
    """Hold how full targets are kept.

    ``reserved_share`` of each target's slots, rounded up, is kept free of
    work that isn't urgent, and ``urgent_extra`` calls more than it has slots may be urgent: the
    engine's own priorities put them first.
    """

    reserved_share: float = 0
    urgent_extra: int = 2


class TargetAllocator(Allocator):
    """Place calls at the targets that a routing policy chooses."""

    def __init__(
        self,
        policy: routing.RoutingPolicy,
        settings: AllocatorSettings | None = None,
    ) -> None:
        """Start without targets."""
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
        """Place a call at one of the targets that have room."""
        usable = routing.usable_targets(call, self._targets)
        if not usable:
            raise refusals.NoTarget(retry_after=1)
        roomy = self._roomy(call, usable, now)
        if not roomy:
            return None
        timely = _timely(call, roomy, now)
        if not timely:
            # A slow target is often the only one with room.  Refusing for it
            # would turn away calls that the others can answer in a moment.
            if _timely(call, usable, now):
                return None
            raise refusals.DeadlineTooClose()
        if call.is_ahead:
            timely = self._steady(timely)
        view = self._policy.choose(call, timely, now)
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
        """Return the call with the largest part of its prompt cached."""
        usable = routing.usable_targets(waiting[0], self._targets)
        roomy = self._roomy(waiting[0], usable, now)
        best = 0
        most: float = 0
        for index, call in enumerate(waiting):
            part = _cached_part(call, roomy)
            if part > most:
                best, most = index, part
        return best

    def service_rate(self, now: float) -> float:
        """Estimate from the slots and how long own calls hold one."""
        total: float = 0
        for view in self._targets:
            if view.load.takes_calls:
                total += view.share * view.load.own_rate
        return total

    def first_token_seconds(self, call: calls.CallFacts, now: float) -> float:
        """Estimate for a median target, were a slot free."""
        return self._steps(call.prompt_tokens)

    def answer_seconds(self, call: calls.CallFacts, now: float) -> float:
        """Estimate for a median target, were a slot free."""
        steps = call.answer_tokens * self._median_step()
        return self._steps(call.prompt_tokens) + steps

    def _roomy(
        self,
        call: calls.CallFacts,
        usable: list[routing.TargetView],
        now: float,
    ) -> list[routing.TargetView]:
        roomy = []
        for view in usable:
            if _is_over_share(view):
                continue
            if view.load.has_room(now, self._reserve(call, view)):
                roomy.append(view)
        return roomy

    def _reserve(
        self,
        call: calls.CallFacts,
        view: routing.TargetView,
    ) -> int:
        if call.is_ahead:
            return -self._settings.urgent_extra
        return math.ceil(self._settings.reserved_share * view.load.slots)

    def _steady(
        self,
        views: list[routing.TargetView],
    ) -> list[routing.TargetView]:
        """Spare urgent calls a target on its return, or one that slows down.

        It may still answer in time by its last figures, but a target that
        stalls gets worse before a report says so.
        """
        limit = _STEADY_FACTOR * self._median_step()
        steady = []
        for view in views:
            if view.share >= 1 and view.load.step_seconds <= limit:
                steady.append(view)
        return steady or views

    def _median_step(self) -> float:
        steps = sorted(view.load.step_seconds for view in self._targets)
        return steps[(len(steps) - 1) // 2] if steps else 0

    def _steps(self, tokens: int) -> float:
        if not self._targets:
            return 0
        chunk = self._targets[0].load.chunk_tokens
        return self._median_step() * (1 + tokens / chunk)


def _cached_part(
    call: calls.CallFacts,
    views: list[routing.TargetView],
) -> float:
    if not call.prompt_tokens:
        return 0
    most: float = 0
    for view in views:
        most = max(most, view.prefixes.cached_tokens(call.prefixes))
    return most / call.prompt_tokens


def _is_over_share(view: routing.TargetView) -> bool:
    """Tell whether a target on its return has all that it should get.

    Sampling alone would not hold calls back: in a full service the returning
    target is the only one with room.
    """
    if view.share >= 1:
        return False
    return view.load.own_calls >= max(1, view.share * view.load.portion)


def _is_probe(call: calls.CallFacts, view: routing.TargetView) -> bool:
    """Tell whether a call may find out how a returning target does.

    An idle target reports its last step, which was slow; taken at its word it
    would never get a call again and never show that it has recovered.
    """
    if view.share >= 1 or call.priority == calls.Priority.URGENT:
        return False
    return not view.load.own_calls and not view.load.last_report.running


def _timely(
    call: calls.CallFacts,
    views: list[routing.TargetView],
    now: float,
) -> list[routing.TargetView]:
    timely = []
    for view in views:
        if _is_probe(call, view):
            timely.append(view)
            continue
        cached = view.prefixes.cached_tokens(call.prefixes)
        uncached = max(0, call.prompt_tokens - cached)
        answer = view.load.expected_answer(uncached, call.answer_tokens, now)
        if now + answer <= call.deadline:
            timely.append(view)
    return timely
