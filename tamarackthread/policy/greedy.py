"""Plan a map from nothing: replicate the hot, then pack the largest first.

This is what balancers commonly do at each interval.  It comes near the best
evenness, and moves nearly every weight each time.
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
    room = alive.size * shape.slots
    if room < shape.experts:
        raise expert_map.ExpertMapInvalid(
            f'{alive.size} ranks have {room} slots for {shape.experts}',
        )
    counts = _replicate(shares, room, alive.size)
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
    room: int,
    most: int,
) -> numpy.ndarray:
    counts = numpy.ones(shares.shape, dtype=int)
    layers = numpy.arange(shares.shape[0])
    for _ in range(room - shares.shape[1]):
        sizes = numpy.where(counts < most, shares / counts, -1)
        counts[layers, sizes.argmax(axis=1)] += 1
    return counts


def _pack(
    shares: numpy.ndarray,
    counts: numpy.ndarray,
    ranks: int,
    depth: int,
) -> numpy.ndarray:
    packing = _Packing(shares / counts, ranks, depth)
    items = _sorted_items(shares, counts)
    for number in range(items.shape[1]):
        packing.add(items[..., number])
    return packing.slots


class _Packing:
    """Put one replica of each layer at a time on the least loaded rank."""

    def __init__(self, sizes: numpy.ndarray, ranks: int, depth: int) -> None:
        layers, experts = sizes.shape
        self._sizes = sizes
        self._depth = depth
        self._layers = numpy.arange(layers)
        self._used = numpy.zeros((layers, ranks), dtype=int)
        self._loads = numpy.zeros((layers, ranks))
        self._held = numpy.zeros((layers, ranks, experts), dtype=bool)
        self.slots = numpy.full((layers, ranks, depth), expert_map.EMPTY)

    def add(self, expert: numpy.ndarray) -> None:
        """Place one expert in each layer where a rank can take it."""
        # A rank that is full, or has the expert, is infinitely loaded.
        held = self._held[self._layers, expert_map.ALL, expert]
        barred = held | (self._used >= self._depth)
        rank = numpy.where(barred, numpy.inf, self._loads).argmin(axis=1)
        free = ~barred[self._layers, rank]
        at = (self._layers[free], rank[free])
        self.slots[(*at, self._used[at])] = expert[free]
        self._used[at] += 1
        self._loads[at] += self._sizes[at[0], expert[free]]
        self._held[(*at, expert[free])] = 1


def _sorted_items(
    shares: numpy.ndarray,
    counts: numpy.ndarray,
) -> numpy.ndarray:
    """List each layer's replicas, largest first, the sole ones in time.

    Replicas of one expert stand together, so they land on distinct ranks
    while most ranks have free slots.
    """
    rows = []
    for layer_shares, layer_counts in zip(shares, counts, strict=True):
        order = numpy.argsort(-layer_shares / layer_counts, kind='stable')
        rows.append(numpy.repeat(order, layer_counts[order]))
    return numpy.stack(rows)
