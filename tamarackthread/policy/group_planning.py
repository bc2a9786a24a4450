"""Trade off a group map's skew against the time that its copies take, since a
map that takes longer to copy than demand lasts is out of date once in force.
"""

from __future__ import annotations

import collections.abc

import attrs

from tamarackthread.policy import rebalancing

# The map of each set of layers.
GroupMap = tuple[rebalancing.SetMap, ...]
Tokens = collections.abc.Sequence[collections.abc.Sequence[float]]
Slowdowns = collections.abc.Sequence[float]


@attrs.frozen(kw_only=True)
class MapCost:
    """Estimate how long a map switch takes and how long the map is useful."""

    # For each expert copied to the rank that gets the most.
    copy_seconds: float
    # For a switch that copies no experts.
    switch_seconds: float
    # Expected time until demand changes.
    stable_seconds: float

    def delay(self, copies: int) -> float:
        """Return the seconds until the map is in force or demand changes."""
        seconds = self.switch_seconds + copies * self.copy_seconds
        return min(seconds, self.stable_seconds)

    def relative_step_time(
        self, before: float, after: float, copies: int
    ) -> float:
        """Return the sum of skew times seconds until demand changes; ``before``
        and ``after`` are the skews of the old and the new map.
        """
        delay = self.delay(copies)
        return before * delay + after * (self.stable_seconds - delay)


@attrs.define(eq=False)
class RankCopyBudget(rebalancing.CopyBudget):
    """Count the experts copied to each rank over all sets of layers; a rank may
    get up to ``limit``.
    """

    by_rank: list[int]
    limit: int = 0

    def has_room(self, rank: int) -> bool:
        """Tell whether a rank may copy one more expert."""
        return self.by_rank[rank] < self.limit

    def add(self, rank: int, copies: int) -> None:
        """Add to the copies of a rank; the number may be negative."""
        self.by_rank[rank] += copies


class StagedRebalancer:
    """Rebalance all sets of a group under an increasing limit on copies."""

    def __init__(
        self,
        current: GroupMap,
        tokens: Tokens,
        bounds: rebalancing.Bounds,
        slowdowns: Slowdowns = (),
    ) -> None:
        """Start from the map in force."""
        ranks = len(current[0]) if current else 0
        self._copy_budget = RankCopyBudget([0 for _ in range(ranks)])
        self._rebalancers = [
            rebalancing.SetRebalancer(
                held, counts, bounds, slowdowns, self._copy_budget
            )
            for held, counts in zip(current, tokens, strict=True)
        ]

    @property
    def skew(self) -> float:
        """Return the mean skew of the sets."""
        skews = [rebalancer.skew for rebalancer in self._rebalancers]
        return sum(skews) / max(1, len(skews))

    @property
    def max_copies(self) -> int:
        """Return the number of copies of the rank with the most copies."""
        return max(self._copy_budget.by_rank, default=0)

    @property
    def result(self) -> GroupMap:
        """Return the current map."""
        return tuple(rebalancer.result for rebalancer in self._rebalancers)

    def improve(self, limit: int) -> bool:
        """Rebalance the most skewed sets first, up to ``limit`` copies a rank;
        return whether any map has changed.
        """
        self._copy_budget.limit = limit
        has_improved = False
        remaining = list(self._rebalancers)
        while remaining:
            most_skewed = max(remaining, key=_skew_of)
            if most_skewed.improve():
                has_improved = True
                continue
            remaining.remove(most_skewed)
        return has_improved


def plan(
    current: GroupMap,
    tokens: Tokens,
    bounds: rebalancing.Bounds,
    slowdowns: Slowdowns,
    cost: MapCost,
) -> GroupMap:
    """Return the map with the least step time until demand changes, which is
    ``current`` if no copy pays off in time.
    """
    rebalancer = StagedRebalancer(current, tokens, bounds, slowdowns)
    before = rebalancer.skew
    best = current
    shortest = cost.relative_step_time(before, before, 0)
    for limit in range(1, bounds.max_new * len(current) + 1):
        if (
            not rebalancer.improve(limit)
            or cost.delay(limit) >= cost.stable_seconds
        ):
            break
        total = cost.relative_step_time(
            before, rebalancer.skew, rebalancer.max_copies
        )
        if total < shortest:
            best = rebalancer.result
            shortest = total
    return best


def _skew_of(rebalancer: rebalancing.SetRebalancer) -> float:
    return rebalancer.skew
