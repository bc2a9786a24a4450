"""Choose a target for a call.

The profile of a service names one of these policies.  ``RoundRobin`` and
``LeastReportedLoad`` are what the older balancer does; they stay for sites
that move over step by step, and for comparison.
"""

from __future__ import annotations

import abc
import collections.abc
import random

import attrs

from tamarackthread.policy import affinity, calls, target_load


@attrs.define(slots=True, eq=False)
class TargetView:
    """One entry's view of one target.

    ``share`` is what the ejection leaves of the target's usual traffic, from
    0 to 1.
    """

    name: str
    zone: str
    load: target_load.TargetLoad = attrs.field(factory=target_load.TargetLoad)
    prefixes: affinity.PrefixView = attrs.field(factory=affinity.PrefixView)
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
        """Return the target for the call, or ``None`` when none takes it."""


@attrs.frozen(slots=True, kw_only=True)
class RoutingSettings:
    """Hold the bounds of ``ExpectedFirstToken``.

    ``affinity_load_factor`` bounds the occupancy that prefix affinity may cause, as a
    factor of the candidates' mean.  ``cross_zone_seconds`` is the price of leaving
    the own zone: a round trip to another zone.
    """

    affinity_load_factor: float = 1.25
    cross_zone_seconds: float = 0.003
    samples: int = 2


class ExpectedFirstToken(RoutingPolicy):
    """Take the target that is expected to give the first token soonest.

    It compares two sampled targets and the one with the longest cached
    prefix.  Comparing all would send every entry to the same target until the
    next report tells them of each other.
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
        """Return the target, from the own zone while it has room."""
        pool = self._pool(call, candidates, now)
        if not pool:
            return None
        options = self._sample(pool)
        favourite = self._favourite(call, pool, now)
        if favourite is not None:
            options.append(favourite)
        return min(options, key=lambda view: self._price(call, view, now))

    def _pool(
        self,
        call: calls.CallFacts,
        candidates: Candidates,
        now: float,
    ) -> list[TargetView]:
        usable = usable_targets(call, candidates)
        roomy = [view for view in usable if view.load.has_room(now)]
        near = [view for view in roomy if view.zone == self._zone]
        return near or roomy or usable

    def _sample(self, pool: list[TargetView]) -> list[TargetView]:
        options: list[TargetView] = []
        rest = pool
        for _ in range(min(self._settings.samples, len(pool))):
            weights = [view.share for view in rest]
            picked = self._random.choices(rest, weights)[0]
            options.append(picked)
            rest = [view for view in rest if view is not picked]
        return options

    def _favourite(
        self,
        call: calls.CallFacts,
        pool: list[TargetView],
        now: float,
    ) -> TargetView | None:
        best = None
        most: float = 0
        bound = 1 + self._settings.affinity_load_factor * mean_occupancy(
            pool, now
        )
        for view in pool:
            if view.share < 1 or view.load.occupancy(now) > bound:
                continue
            cached = view.prefixes.cached_tokens(call.prefixes)
            if cached > most:
                best, most = view, cached
        return best

    def _price(
        self,
        call: calls.CallFacts,
        view: TargetView,
        now: float,
    ) -> float:
        cached = view.prefixes.cached_tokens(call.prefixes)
        uncached = max(0, call.prompt_tokens - cached)
        price = view.load.expected_first_token(uncached, now, call.priority)
        if view.zone != self._zone:
            price += self._settings.cross_zone_seconds
        return price


class RoundRobin(RoutingPolicy):
    """Take the targets in turn."""

    def __init__(self) -> None:
        """Start with the first target."""
        self._turn = 0

    def choose(
        self,
        call: calls.CallFacts,
        candidates: Candidates,
        now: float,
    ) -> TargetView | None:
        """Return the next target that takes calls."""
        usable = usable_targets(call, candidates)
        if not usable:
            return None
        self._turn += 1
        return usable[self._turn % len(usable)]


class LeastReportedLoad(RoutingPolicy):
    """Take the target whose last report shows the fewest calls."""

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
    """List the candidates that take calls and weren't tried already."""
    usable = []
    for view in candidates:
        if view.name in call.excluded or view.share <= 0:
            continue
        if view.load.accepts_calls:
            usable.append(view)
    return usable


def mean_occupancy(views: Candidates, now: float) -> float:
    """Average the estimated number of calls over some targets."""
    if not views:
        return 0
    return sum(view.load.occupancy(now) for view in views) / len(views)


def reported_calls(view: TargetView) -> int:
    """Count the running and queued calls of the last report."""
    last = view.load.last_report
    return (last.running or 0) + (last.queued or 0)
