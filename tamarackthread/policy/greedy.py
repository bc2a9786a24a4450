"""Place experts from scratch: replicate the hottest, then pack replicas onto
ranks, largest first.  Balances well, but moves nearly every weight.
"""

from __future__ import annotations

import numpy

from tamarackthread.policy import expert_map


def place(
    shape: expert_map.GroupShape,
    shares: numpy.ndarray,
    alive: numpy.ndarray,
) -> expert_map.ExpertMap:
    """Place all experts on the ranks numbered in ``alive``."""
    total_slots = alive.size * shape.slots
    if total_slots < shape.experts:
        raise expert_map.ExpertMapInvalid(
            f'{alive.size} ranks have {total_slots} slots'
            f' for {shape.experts} experts',
        )
    counts = _replicate(shares, total_slots, alive.size)
    slots = numpy.full(
        (shape.layers, shape.ranks, shape.slots),
        expert_map.EMPTY,
        numpy.int16,
    )
    slots[expert_map.ALL, alive] = _pack(
        shares, counts, alive.size, shape.slots
    )
    return expert_map.ExpertMap(shape, slots)


def _replicate(
    shares: numpy.ndarray,
    total_slots: int,
    ranks: int,
) -> numpy.ndarray:
    counts = numpy.ones(shares.shape, dtype=int)
    layers = numpy.arange(shares.shape[0])
    for _ in range(total_slots - shares.shape[1]):
        sizes = numpy.where(counts < ranks, shares / counts, -1)
        counts[layers, sizes.argmax(axis=1)] += 1
    return counts


def _pack(
    shares: numpy.ndarray,
    counts: numpy.ndarray,
    ranks: int,
    slots_per_rank: int,
) -> numpy.ndarray:
    packer = _Packer(shares / counts, ranks, slots_per_rank)
    items = _largest_first(shares, counts)
    for index in range(items.shape[1]):
        packer.add(items[..., index])
    return packer.slots


class _Packer:
    """Put replicas on the least loaded rank of each layer."""

    def __init__(
        self, sizes: numpy.ndarray, ranks: int, slots_per_rank: int
    ) -> None:
        layers, experts = sizes.shape
        self._sizes = sizes
        self._slots_per_rank = slots_per_rank
        self._layers = numpy.arange(layers)
        self._used = numpy.zeros((layers, ranks), dtype=int)
        self._loads = numpy.zeros((layers, ranks))
        self._held = numpy.zeros((layers, ranks, experts), dtype=bool)
        self.slots = numpy.full(
            (layers, ranks, slots_per_rank), expert_map.EMPTY
        )

    def add(self, expert: numpy.ndarray) -> None:
        """Place one expert of each layer, if a rank has a free slot for it."""
        # Ranks that are full or hold the expert count as infinitely loaded.
        held = self._held[self._layers, expert_map.ALL, expert]
        excluded = held | (self._used >= self._slots_per_rank)
        rank = numpy.where(excluded, numpy.inf, self._loads).argmin(axis=1)
        placed = ~excluded[self._layers, rank]
        where = (self._layers[placed], rank[placed])
        self.slots[(*where, self._used[where])] = expert[placed]
        self._used[where] += 1
        self._loads[where] += self._sizes[where[0], expert[placed]]
        self._held[(*where, expert[placed])] = 1


def _largest_first(
    shares: numpy.ndarray,
    counts: numpy.ndarray,
) -> numpy.ndarray:
    """List each layer's replicas by descending load, those of one expert in a
    row, so that enough ranks have free slots to spread them.
    """
    rows = []
    for layer_shares, layer_counts in zip(shares, counts, strict=True):
        order = numpy.argsort(-layer_shares / layer_counts, kind='stable')
        rows.append(numpy.repeat(order, layer_counts[order]))
    return numpy.stack(rows)
