"""Plan the maps of all sets of a group."""

from __future__ import annotations

import collections.abc

from tamarackthread.control.site.maps import ranks
from tamarackthread.policy import rebalancing

Tokens = collections.abc.Sequence[collections.abc.Sequence[float]]
Paces = collections.abc.Sequence[float]


def skew(placement: ranks.GroupMap, tokens: Tokens, paces: Paces) -> float:
    """Return the mean over the sets: each set's busiest rank is waited for."""
    found = [
        rebalancing.skew(held, counts, paces)
        for held, counts in zip(placement, tokens, strict=True)
    ]
    return sum(found) / max(1, len(found))


def plan(
    placement: ranks.GroupMap,
    tokens: Tokens,
    bounds: rebalancing.Bounds,
    paces: Paces,
) -> ranks.GroupMap:
    """Return a map that is evener in each set."""
    return tuple(
        rebalancing.rebalance(held, counts, bounds, paces)
        for held, counts in zip(placement, tokens, strict=True)
    )


def most_copies(before: ranks.GroupMap, after: ranks.GroupMap) -> int:
    """Return the most experts that one rank has to copy."""
    by_rank = [0 for _ in before[0]] if before else []
    for old, new in zip(before, after, strict=True):
        for rank, (had, has) in enumerate(zip(old, new, strict=True)):
            by_rank[rank] += len(set(has).difference(had))
    return max(by_rank, default=0)


def copies(before: ranks.GroupMap, after: ranks.GroupMap) -> int:
    """Count the experts that any rank has to copy."""
    return sum(
        rebalancing.count_copies(old, new)
        for old, new in zip(before, after, strict=True)
    )
