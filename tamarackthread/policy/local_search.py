"""Search all layers of a map for the swap or replaced replica with the largest
fall of the sum of squared rank loads per moved weight; mean loads are 1.
"""

from __future__ import annotations

import attrs
import numpy

from tamarackthread.policy import expert_map

_NO_GAIN = -1.0
_SWAP_COST = 2
_LOAD_COST = 1
# Relative variance of an expert's tokens around the forecast; makes the search
# replicate hot experts even where the forecast alone balances them.
_VARIANCE = 0.1


@attrs.frozen(eq=False)
class Change:
    """The best change of each layer, as arrays indexed by layer."""

    # Fall of the sum of squared loads.
    gain: numpy.ndarray
    # Number of weights moved.
    cost: numpy.ndarray
    rank: numpy.ndarray
    slot: numpy.ndarray
    expert: numpy.ndarray
    # The other half of a swap, -1 for a replaced replica.
    other_rank: numpy.ndarray
    other_slot: numpy.ndarray
    other_expert: numpy.ndarray

    def rate(self) -> numpy.ndarray:
        """Return the gain per moved weight."""
        return self.gain / self.cost


class SearchState:
    """Hold the slots and loads of all layers during one search; empty slots
    hold a pseudo-expert without tokens, numbered after the last expert.
    """

    def __init__(self, slots: numpy.ndarray, tokens: numpy.ndarray) -> None:
        """Copy ``slots[layer, rank, slot]`` and scale ``tokens``."""
        self._layers = numpy.arange(slots.shape[0])
        experts = tokens.shape[1]
        self._empty_expert = experts
        mean = numpy.maximum(tokens.sum(axis=1) / slots.shape[1], 1e-12)
        padding = ((0, 0), (0, 1))
        scaled = numpy.pad(tokens / mean[..., None], padding)
        # Single precision suffices for loads around 1 and halves the memory.
        self._tokens = scaled.astype(numpy.float32)
        self._slots = numpy.where(slots < 0, experts, slots).astype(int)
        self._recount()

    @property
    def loads(self) -> numpy.ndarray:
        """Return the loads as ``[layer, rank]``."""
        return self._loads

    def best_change(self) -> Change:
        """Find the best change of each layer; its gain may be negative."""
        busiest = self._loads.argmax(axis=1)
        least_loaded = self._loads.argmin(axis=1)
        best = self._best_swap(busiest)
        for candidate in (
            self._best_swap(least_loaded),
            self._best_load(busiest),
            self._best_load(least_loaded),
            self._best_offload(busiest),
        ):
            best = _better_of(best, candidate)
        return best

    def apply(self, change: Change, chosen: numpy.ndarray) -> None:
        """Apply the change to the layers in the boolean array ``chosen``."""
        layers = self._layers[chosen]
        self._slots[layers, change.rank[chosen], change.slot[chosen]] = (
            change.expert[chosen]
        )
        swaps = chosen & (change.other_rank >= 0)
        layers = self._layers[swaps]
        self._slots[
            layers,
            change.other_rank[swaps],
            change.other_slot[swaps],
        ] = change.other_expert[swaps]
        self._recount()

    def _recount(self) -> None:
        layers, ranks, _ = self._slots.shape
        held = numpy.zeros((layers, ranks, self._empty_expert + 1), dtype=bool)
        numpy.put_along_axis(held, self._slots, 1, axis=2)
        held[..., self._empty_expert] = 0
        self._held = held
        self._weights = held.astype(numpy.float32)
        self._counts = self._weights.sum(axis=1)
        # The pseudo-expert counts as redundant: it may always be dropped.
        self._counts[..., self._empty_expert] = 2
        self._sizes = self._tokens / numpy.maximum(self._counts, 1)
        self._loads = numpy.matmul(self._weights, self._sizes[..., None])[
            ..., 0
        ]
        self._holder_loads = numpy.einsum(
            'lr,lre->le',
            self._loads,
            self._weights,
            optimize=True,
        )

    def _per_slot(self, per_expert: numpy.ndarray) -> numpy.ndarray:
        layers, ranks, slots = self._slots.shape
        flat = self._slots.reshape(layers, ranks * slots)
        found = numpy.take_along_axis(per_expert, flat, axis=1)
        return found.reshape(layers, ranks, slots)

    def _best_swap(self, rank: numpy.ndarray) -> Change:
        """Find the best swap of one of the rank's experts with another rank."""
        gain = self._swap_gains(rank)
        best, (own_slot, other, slot) = _argmax(gain)
        incoming = self._slots[self._layers, other, slot]
        outgoing = self._slots[self._layers, rank, own_slot]
        empty = (incoming == self._empty_expert) | (
            outgoing == self._empty_expert
        )
        cost = numpy.where(empty, _LOAD_COST, _SWAP_COST)
        return Change(
            best, cost, rank, own_slot, incoming, other, slot, outgoing
        )

    def _swap_gains(self, rank: numpy.ndarray) -> numpy.ndarray:
        """Return gains as ``[layer, own slot, other rank, other slot]``."""
        own_experts = self._slots[self._layers, rank]
        transferred = _expand(
            numpy.take_along_axis(self._sizes, own_experts, axis=1),
            (2, 3),
        ) - _expand(self._per_slot(self._sizes), 1)
        own_load = self._loads[self._layers, rank]
        gap = self._loads - _expand(own_load, 1)
        gain = -2 * transferred * (_expand(gap, (1, 3)) + transferred)
        gain[self._held_by(own_experts)] = _NO_GAIN
        already_held = self._per_slot(self._held[self._layers, rank])
        return numpy.where(_expand(already_held, 1), _NO_GAIN, gain)

    def _best_load(self, rank: numpy.ndarray) -> Change:
        """Find the best expert to replace a redundant replica of the rank."""
        own_experts = self._slots[self._layers, rank]
        gain = -self._load_delta(
            _expand(own_experts, 2),
            _expand(numpy.arange(self._empty_expert + 1), (0, 1)),
            _expand(self._loads[self._layers, rank], (1, 2)),
            self._overlap(own_experts),
        )
        gain[numpy.take_along_axis(self._counts, own_experts, axis=1) < 2] = (
            _NO_GAIN
        )
        excluded = self._held[self._layers, rank]
        excluded[..., self._empty_expert] = 1
        gain = numpy.where(_expand(excluded, 1), _NO_GAIN, gain)
        best, (slot, expert) = _argmax(gain)
        return self._replica_change(best, rank, slot, expert)

    def _best_offload(self, rank: numpy.ndarray) -> Change:
        """Find the best rank to add a replica of one of the rank's experts."""
        own_experts = self._slots[self._layers, rank]
        layers, ranks, slots = self._slots.shape
        flat = self._slots.reshape(layers, 1, ranks * slots)
        shared = numpy.take_along_axis(self._overlap(own_experts), flat, axis=2)
        gain = -self._load_delta(
            _expand(self._slots, 1),
            _expand(own_experts, (2, 3)),
            _expand(self._loads, (1, 3)),
            shared.reshape((layers, slots, ranks, slots)),
        )
        gain[self._held_by(own_experts)] = _NO_GAIN
        gain[own_experts == self._empty_expert] = _NO_GAIN
        irreplaceable = self._per_slot(self._counts) < 2
        gain = numpy.where(_expand(irreplaceable, 1), _NO_GAIN, gain)
        best, (own_slot, other, slot) = _argmax(gain)
        return self._replica_change(
            best, other, slot, own_experts[self._layers, own_slot]
        )

    def _held_by(self, own_experts: numpy.ndarray) -> numpy.ndarray:
        """Return ``[layer, slot, rank]``: which ranks hold each own expert."""
        columns = numpy.take_along_axis(
            self._held, _expand(own_experts, 1), axis=2
        )
        return columns.transpose(0, 2, 1)

    def _overlap(self, own_experts: numpy.ndarray) -> numpy.ndarray:
        """Count the ranks that hold both an own expert and each expert."""
        columns = self._held_by(own_experts).astype(numpy.float32)
        return numpy.matmul(columns, self._weights)

    def _load_delta(
        self,
        dropped: numpy.ndarray,
        loaded: numpy.ndarray,
        rank_load: numpy.ndarray,
        overlap: numpy.ndarray,
    ) -> numpy.ndarray:
        """Return the change of the sum of squared loads, with broadcasting."""
        # Other holders of the loaded expert lose ``shed`` each, those of the
        # dropped one get ``gained``; ``overlap`` counts holders of both.
        shed, new_size, count, loaded_on = self._loaded_terms(loaded)
        gained, size, others, dropped_on = self._dropped_terms(dropped)
        own_change = new_size - size
        # Variance of a rank's load falls with the number of replicas, because
        # the tokens of an expert vary as a whole.
        variance = gained * size * (others + 1) - shed * new_size * (count + 1)
        linear = (
            gained * (dropped_on - rank_load)
            - shed * loaded_on
            + own_change * rank_load
        )
        squares = shed**2 * count + gained**2 * others + own_change**2
        return (
            2 * (linear - shed * gained * overlap)
            + squares
            + _VARIANCE * variance
        )

    def _loaded_terms(self, loaded: numpy.ndarray) -> list[numpy.ndarray]:
        count = self._counts
        new_size = self._tokens / (count + 1)
        shed = self._sizes - new_size
        terms = (shed, new_size, count, self._holder_loads)
        return [self._select(term, loaded) for term in terms]

    def _dropped_terms(self, dropped: numpy.ndarray) -> list[numpy.ndarray]:
        others = numpy.maximum(self._counts - 1, 1)
        gained = self._tokens / others - self._sizes
        terms = (gained, self._sizes, others, self._holder_loads)
        return [self._select(term, dropped) for term in terms]

    def _select(
        self,
        per_expert: numpy.ndarray,
        experts: numpy.ndarray,
    ) -> numpy.ndarray:
        trailing = tuple(range(1, experts.ndim))
        return per_expert[_expand(self._layers, trailing), experts]

    def _replica_change(
        self,
        gain: numpy.ndarray,
        rank: numpy.ndarray,
        slot: numpy.ndarray,
        expert: numpy.ndarray,
    ) -> Change:
        unset = numpy.full_like(rank, -1)
        cost = numpy.full_like(rank, _LOAD_COST)
        return Change(gain, cost, rank, slot, expert, unset, unset, unset)


def _expand(
    values: numpy.ndarray,
    axes: int | tuple[int, ...],
) -> numpy.ndarray:
    return numpy.expand_dims(values, axes)


def _argmax(
    gain: numpy.ndarray,
) -> tuple[numpy.ndarray, tuple[numpy.ndarray, ...]]:
    flat = gain.reshape(gain.shape[0], -1)
    where = flat.argmax(axis=1)
    best = numpy.take_along_axis(flat, where[..., None], axis=1)[..., 0]
    return best, numpy.unravel_index(where, gain.shape[1:])


def _better_of(first: Change, second: Change) -> Change:
    pick = second.rate() > first.rate()
    fields = (field.name for field in attrs.fields(Change))
    return Change(
        *(
            numpy.where(pick, getattr(second, name), getattr(first, name))
            for name in fields
        ),
    )


def to_slots(slots: numpy.ndarray, experts: int) -> numpy.ndarray:
    """Replace the pseudo-expert by EMPTY."""
    return numpy.where(slots == experts, expert_map.EMPTY, slots)
