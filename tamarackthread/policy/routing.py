"""Choose a target for a call by the routing policy of the service's profile."""

from __future__ import annotations

import abc
import collections.abc
import random

import attrs

from tamarackthread.policy import affinity, calls, target_load


@attrs.define(slots=True, eq=False)
class TargetView:
    """One entry's view of one target."""

    name: str
    zone: str
    load: target_load.TargetLoad = attrs.field(factory=target_load.TargetLoad)
    prefixes: affinity.PrefixView = attrs.field(factory=affinity.PrefixView)
    # Share of its usual traffic after ejection, from 0 to 1.
    share: float = 1.0


Candidates = collections.abc.Sequence[TargetView]


class RoutingPolicy(abc.ABC):
    """Choose one of the targets that may take a call."""

    @abc.abstractmethod
    def choose(
        self,
        call: calls.CallFacts,
        candidates: Candidates,
        now: float,
    ) -> TargetView | None:
        """Return a target for the call, or ``None`` if none accepts it."""


@attrs.frozen(slots=True, kw_only=True)
class RoutingSettings:
    """Hold the limits of ``ExpectedFirstToken``."""

    # Occupancy limit for prefix affinity, as a factor of the candidates' mean.
    affinity_load_factor: float = 1.25
    # Round trip to another zone.
    cross_zone_seconds: float = 0.003
    # Random choices that are compared.
    samples: int = 2


class ExpectedFirstToken(RoutingPolicy):
    """Choose the earliest expected first token out of sampled targets and the
    longest cached prefix; sampling avoids herding on the least loaded target.
    """

    def __init__(
        self,
        zone: str,
        generator: random.Random,
        settings: RoutingSettings | None = None,
    ) -> None:
        """Route for an entry in ``zone``."""
        self._zone = zone
        self._random = generator
        self._settings = settings or RoutingSettings()

    def choose(
        self,
        call: calls.CallFacts,
        candidates: Candidates,
        now: float,
    ) -> TargetView | None:
        """Return a target, from this entry's zone while that has free slots."""
        pool = self._preferred(call, candidates, now)
        if not pool:
            return None
        options = self._sample(pool)
        best_cached = self._best_cached(call, pool, now)
        if best_cached is not None:
            options.append(best_cached)
        return min(
            options, key=lambda view: self._expected_seconds(call, view, now)
        )

    def _preferred(
        self,
        call: calls.CallFacts,
        candidates: Candidates,
        now: float,
    ) -> list[TargetView]:
        usable = usable_targets(call, candidates)
        with_room = [view for view in usable if view.load.has_room(now)]
        same_zone = [view for view in with_room if view.zone == self._zone]
        return same_zone or with_room or usable

    def _sample(self, pool: list[TargetView]) -> list[TargetView]:
        options: list[TargetView] = []
        remaining = pool
        for _ in range(min(self._settings.samples, len(pool))):
            weights = [view.share for view in remaining]
            sampled = self._random.choices(remaining, weights)[0]
            options.append(sampled)
            remaining = [view for view in remaining if view is not sampled]
        return options

    def _best_cached(
        self,
        call: calls.CallFacts,
        pool: list[TargetView],
        now: float,
    ) -> TargetView | None:
        longest = None
        longest_tokens: float = 0
        max_occupancy = (
            1 + self._settings.affinity_load_factor * mean_occupancy(pool, now)
        )
        for view in pool:
            if view.share < 1 or view.load.occupancy(now) > max_occupancy:
                continue
            cached = view.prefixes.cached_tokens(call.prefixes)
            if cached > longest_tokens:
                longest, longest_tokens = view, cached
        return longest

    def _expected_seconds(
        self,
        call: calls.CallFacts,
        view: TargetView,
        now: float,
    ) -> float:
        cached = view.prefixes.cached_tokens(call.prefixes)
        uncached = max(0, call.prompt_tokens - cached)
        seconds = view.load.expected_first_token(uncached, now, call.priority)
        if view.zone != self._zone:
            seconds += self._settings.cross_zone_seconds
        return seconds


class RoundRobin(RoutingPolicy):
    """Choose the targets in turn."""

    def __init__(self) -> None:
        """Start the rotation."""
        self._next = 0

    def choose(
        self,
        call: calls.CallFacts,
        candidates: Candidates,
        now: float,
    ) -> TargetView | None:
        """Return the next target that accepts calls."""
        usable = usable_targets(call, candidates)
        if not usable:
            return None
        self._next += 1
        return usable[self._next % len(usable)]


class LeastReportedLoad(RoutingPolicy):
    """Choose the target with the fewest calls in its last report."""

    def __init__(self, generator: random.Random) -> None:
        """Break ties at random."""
        self._random = generator

    def choose(
        self,
        call: calls.CallFacts,
        candidates: Candidates,
        now: float,
    ) -> TargetView | None:
        """Return the target with the least reported load."""
        usable = usable_targets(call, candidates)
        if not usable:
            return None
        self._random.shuffle(usable)
        return min(usable, key=reported_calls)


def usable_targets(
    call: calls.CallFacts,
    candidates: Candidates,
) -> list[TargetView]:
    """List the candidates that accept calls and were not tried yet."""
    usable = []
    for view in candidates:
        if view.name in call.excluded or view.share <= 0:
            continue
        if view.load.accepts_calls:
            usable.append(view)
    return usable


def mean_occupancy(views: Candidates, now: float) -> float:
    """Return the mean estimated number of calls per target."""
    if not views:
        return 0
    return sum(view.load.occupancy(now) for view in views) / len(views)


def reported_calls(view: TargetView) -> int:
    """Return the running and queued calls of the last report."""
    last = view.load.last_report
    return (last.running or 0) + (last.queued or 0)
