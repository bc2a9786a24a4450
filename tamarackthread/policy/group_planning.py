"""Plan a group's map by what its copies cost in time.

Answers the load in which demand changes every few seconds and one expert takes a
good part of a second to copy: the evenest map comes into force when its demand is
nearly over.  A map of one or two copies a rank takes off most of the skew and is
there while it serves; what is left comes with the next one.
"""

from __future__ import annotations

import collections.abc

import attrs

from tamarackthread.policy import rebalancing

GroupMap = tuple[rebalancing.SetMap, ...]
Tokens = collections.abc.Sequence[collections.abc.Sequence[float]]
Paces = collections.abc.Sequence[float]


@attrs.frozen(kw_only=True)
class MapCost:
    """Say what a map costs in time, in seconds.

    A switch takes ``switch_seconds`` without copies and ``copy_seconds`` for each
    copy of the rank that has most of them.  ``stable_seconds`` is how long demand
    is expected to stay as it is from now.
    """

    copy_seconds: float
    switch_seconds: float
    stable_seconds: float

    def delay(self, copies: int) -> float:
        """Return how long after the plan its map is in force."""
        taken = self.switch_seconds + copies * self.copy_seconds
        return min(taken, self.stable_seconds)

    def relative_step_time(
        self, before: float, after: float, copies: int
    ) -> float:
        """Return the time that steps take until demand changes.

        It is in times of even ranks; ``before`` and ``after`` are the skews.
        """
        delay = self.delay(copies)
        return before * delay + after * (self.stable_seconds - delay)


@attrs.define(eq=False)
class RankCopyBudget(rebalancing.CopyBudget):
    """Count what each rank has to copy, over all sets; bound it by ``most``."""

    by_rank: list[int]
    most: int = 0

    def has_room(self, rank: int) -> bool:
        """Tell whether a rank may copy one expert more."""
        return self.by_rank[rank] < self.most

    def change(self, rank: int, change: int) -> None:
        """Count copies that a rank has more, or less."""
        self.by_rank[rank] += change


class StagedRebalancer:
    """The plans of all sets, evened under one bound on copies after another."""

    def __init__(
        self,
        current: GroupMap,
        tokens: Tokens,
        bounds: rebalancing.Bounds,
        paces: Paces = (),
    ) -> None:
        """Begin with the map in force."""
        ranks = len(current[0]) if current else 0
        self._copies = RankCopyBudget([0 for _ in range(ranks)])
        self._plans = [
            rebalancing.SetRebalancer(held, counts, bounds, paces, self._copies)
            for held, counts in zip(current, tokens, strict=True)
        ]

    @property
    def skew(self) -> float:
        """Return the mean over the sets."""
        found = [plan.skew for plan in self._plans]
        return sum(found) / max(1, len(found))

    @property
    def max_copies(self) -> int:
        """Return the copies of the rank that has most of them."""
        return max(self._copies.by_rank, default=0)

    @property
    def result(self) -> GroupMap:
        """Return the map as it is now."""
        return tuple(plan.result for plan in self._plans)

    def improve(self, most: int) -> bool:
        """Even all sets with up to ``most`` copies a rank, the worst first.

        A rank's copies go where they shorten steps most.  Returns whether
        anything has changed.
        """
        self._copies.most = most
        has_changed = False
        left = list(self._plans)
        while left:
            worst = max(left, key=_skew_of)
            if worst.improve():
                has_changed = True
                continue
            left.remove(worst)
        return has_changed


def plan(
    current: GroupMap,
    tokens: Tokens,
    bounds: rebalancing.Bounds,
    paces: Paces,
    cost: MapCost,
) -> GroupMap:
    """Return the map by which callers lose least until demand changes.

    That is the map in force where no copy pays for its time.
    """
    stages = StagedRebalancer(current, tokens, bounds, paces)
    before = stages.skew
    best = current
    least = cost.relative_step_time(before, before, 0)
    for most in range(1, bounds.max_new * len(current) + 1):
        if not stages.improve(most) or cost.delay(most) >= cost.stable_seconds:
            break
        total = cost.relative_step_time(before, stages.skew, stages.max_copies)
        if total < least:
            best = stages.result
            least = total
    return best


def _skew_of(held: rebalancing.SetRebalancer) -> float:
    return held.skew
