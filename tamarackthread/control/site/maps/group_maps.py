"""Plan and compare the maps of a group, over all of its expert sets."""

from __future__ import annotations

import collections.abc

from tamarackthread.control.site.maps import ranks
from tamarackthread.policy import rebalancing

Tokens = collections.abc.Sequence[collections.abc.Sequence[float]]
Paces = collections.abc.Sequence[float]


def skew(placement: ranks.GroupMap, tokens: Tokens, paces: Paces) -> float:
    """Return the mean over the sets of the busiest rank's load to the mean."""
    skews = [
        rebalancing.skew(experts, counts, paces)
        for experts, counts in zip(placement, tokens, strict=True)
    ]
    return sum(skews) / max(1, len(skews))


def plan(
    placement: ranks.GroupMap,
    tokens: Tokens,
    bounds: rebalancing.Bounds,
    paces: Paces,
) -> ranks.GroupMap:
    """Return a map that balances each set."""
    return tuple(
        rebalancing.rebalance(experts, counts, bounds, paces)
        for experts, counts in zip(placement, tokens, strict=True)
    )


def max_copies(before: ranks.GroupMap, after: ranks.GroupMap) -> int:
    """Return the largest number of experts that a single rank must copy."""
    by_rank = [0 for _ in before[0]] if before else []
    for old, new in zip(before, after, strict=True):
        for rank, (had, has) in enumerate(zip(old, new, strict=True)):
            by_rank[rank] += len(set(has).difference(had))
    return max(by_rank, default=0)


def total_copies(before: ranks.GroupMap, after: ranks.GroupMap) -> int:
    """Return how many experts all ranks together must copy."""
    return sum(
        rebalancing.count_copies(old, new)
        for old, new in zip(before, after, strict=True)
    )
