"""Place experts that lost their last replica with a rank; no token routed to
them can be computed, so this comes before any trade-off of moves.
"""

from __future__ import annotations

import numpy

from tamarackthread.policy import expert_map


def restore_replicas(
    current: expert_map.ExpertMap,
    shares: numpy.ndarray,
    alive: numpy.ndarray,
) -> expert_map.ExpertMap:
    """Return a map on ``alive`` ranks in which each expert has a replica."""
    missing = current.without_replica()
    if not missing.size:
        return current
    shape = current.shape
    if alive.size * shape.slots < shape.experts:
        raise expert_map.ExpertMapInvalid(
            f'{alive.size} ranks cannot hold {shape.experts} experts',
        )
    slots = current.slots.copy()
    # Places the hottest experts first, on the least loaded ranks.
    missing_shares = shares[missing[..., 0], missing[..., 1]]
    for layer, expert in missing[numpy.argsort(-missing_shares)]:
        _place(slots[layer], shares[layer], alive, int(expert))
    return expert_map.ExpertMap(shape, slots)


def _place(
    slots: numpy.ndarray,
    shares: numpy.ndarray,
    alive: numpy.ndarray,
    expert: int,
) -> None:
    counts = numpy.bincount(slots[slots >= 0], minlength=shares.size)
    sizes = numpy.append(shares / numpy.maximum(counts, 1), 0)
    loads = sizes[slots].sum(axis=1)
    best = (numpy.inf, 0, 0)
    for rank in alive:
        for slot, replaced in enumerate(slots[rank]):
            if replaced >= 0 and counts[replaced] < 2:
                continue
            best = min(best, (loads[rank] - sizes[replaced], rank, slot))
    slots[best[1], best[2]] = expert
