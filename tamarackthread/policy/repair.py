"""Give experts without a replica a slot again.

After the loss of a rank some experts may live nowhere; tokens routed to them
cannot be computed, so their slots come before any weighing of moves.
"""

from __future__ import annotations

import numpy

from tamarackthread.policy import expert_map


def restore_replicas(
    today: expert_map.ExpertMap,
    shares: numpy.ndarray,
    alive: numpy.ndarray,
) -> expert_map.ExpertMap:
    """Return a map on ``alive`` ranks where each expert has a replica."""
    missing = today.without_replica()
    if not missing.size:
        return today
    shape = today.shape
    if alive.size * shape.slots < shape.experts:
        raise expert_map.ExpertMapInvalid(
            f'{alive.size} ranks cannot hold {shape.experts} experts',
        )
    slots = today.slots.copy()
    # The hottest of the missing experts choose first.
    heat = shares[missing[..., 0], missing[..., 1]]
    for layer, expert in missing[numpy.argsort(-heat)]:
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
        for slot, held in enumerate(slots[rank]):
            if held >= 0 and counts[held] < 2:
                continue
            best = min(best, (loads[rank] - sizes[held], rank, slot))
    slots[best[1], best[2]] = expert
