"""Work out how much of a service's calls one entry has."""

from __future__ import annotations

import collections.abc

from tamarackthread.entry.direct import instances
from tamarackthread.policy import rate_limit


def of(
    known: collections.abc.Sequence[instances.TargetInstance],
    entries: int,
    now: float,
) -> rate_limit.Demand | None:
    """Return this entry's part of the calls at a service's targets.

    ``entries`` counts those whose calls are known, this one included.  ``None``
    where no target asks for a limit: nobody needs it then.
    """
    if all(target.limit.rate is None for target in known):
        return None
    own = sum(target.own + target.record.own(now).calls for target in known)
    others = sum(target.others + target.record.others.calls for target in known)
    if not own + others:
        return rate_limit.Demand(share=1 / entries, entries=entries)
    return rate_limit.Demand(share=own / (own + others), entries=entries)
