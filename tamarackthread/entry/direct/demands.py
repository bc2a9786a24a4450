"""Estimate the share of a service's calls that one entry has."""

from __future__ import annotations

import collections.abc

from tamarackthread.entry.direct import instances
from tamarackthread.policy import rate_limit


def of_entry(
    known: collections.abc.Sequence[instances.TargetInstance],
    entries: int,
    now: float,
) -> rate_limit.Demand | None:
    """Return this entry's share of calls, ``None`` without a rate limit.

    ``entries`` counts the entries whose calls are known, this one included.
    """
    if all(target.limit.rate is None for target in known):
        return None
    own = sum(
        target.own_calls + target.outcomes.own_counts(now).calls
        for target in known
    )
    others = sum(
        target.other_calls + target.outcomes.other_counts.calls
        for target in known
    )
    if not own + others:
        return rate_limit.Demand(share=1 / entries, entries=entries)
    return rate_limit.Demand(share=own / (own + others), entries=entries)
