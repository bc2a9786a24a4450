"""Search for single changes of a map that even out the ranks.

All layers of a map are searched at once with array arithmetic.  A change is
a swap of two experts between two ranks, or one rank dropping a redundant
replica to load another expert.  Each round applies to each layer the change
with the largest fall of the sum of squared rank loads for each weight moved.
Loads are scaled so that the mean rank of a layer has load 1.
"""

from __future__ import annotations

import attrs
import numpy

from tamarackthread.policy import expert_map

_NO_GAIN = -1.0
_SWAP_COST = 2
_LOAD_COST = 1
# Relative variance of one expert's tokens against the forecast, from its
# error and from each step's own draw.  Without it the search is content with
# a hot expert on one rank that the forecast happens to even out, and that
# rank stands out as soon as the expert wanders.
_VARIANCE = 0.1


@attrs.frozen(eq=False)
class Change:
    """The best change found for each layer; -1 rank means no second part.

    ``gain`` is the fall of the sum of squared loads, ``cost`` the weights
    moved.  The second part is the other half of a swap.
    """

    gain: numpy.ndarray
    cost: numpy.ndarray
    rank: numpy.ndarray
    slot: numpy.ndarray
    expert: numpy.ndarray
    other_rank: numpy.ndarray
    other_slot: numpy.ndarray
    other_expert: numpy.ndarray

    def rate(self) -> numpy.ndarray:
        """Return the gain for each weight moved."""
        return self.gain / self.cost


class SearchState:
    """Hold the slots and loads of all layers during one search.

    Empty slots hold a pseudo expert without tokens, numbered after the last.
    """

    def __init__(self, slots: numpy.ndarray, tokens: numpy.ndarray) -> None:
        """Copy ``slots[layer, rank, slot]`` and scale ``tokens``."""
        self._layers = numpy.arange(slots.shape[0])
        experts = tokens.shape[1]
        self._none = experts
        mean = numpy.maximum(tokens.sum(axis=1) / slots.shape[1], 1e-12)
        padding = ((0, 0), (0, 1))
        scaled = numpy.pad(tokens / mean[..., None], padding)
        # Single precision is ample for loads around 1 and halves the memory
        # that each round goes through.
        self._tokens = scaled.astype(numpy.float32)
        self._slots = numpy.where(slots < 0, experts, slots).astype(int)
        self._recount()

    @property
    def loads(self) -> numpy.ndarray:
        """Return the load of each layer's ranks."""
        return self._loads

    def best_change(self) -> Change:
        """Find the best change of each layer; without gain it is negative."""
        hottest = self._loads.argmax(axis=1)
        coldest = self._loads.argmin(axis=1)
        best = self._best_swap(hottest)
        for other in (
            self._best_swap(coldest),
            self._best_load(hottest),
            self._best_load(coldest),
            self._best_relief(hottest),
        ):
            best = _better(best, other)
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
        held = numpy.zeros((layers, ranks, self._none + 1), dtype=bool)
        numpy.put_along_axis(held, self._slots, 1, axis=2)
        held[..., self._none] = 0
        self._held = held
        self._weights = held.astype(numpy.float32)
        self._counts = self._weights.sum(axis=1)
        # The pseudo expert counts as redundant: it may always be dropped.
        self._counts[..., self._none] = 2
        self._sizes = self._tokens / numpy.maximum(self._counts, 1)
        self._loads = numpy.matmul(self._weights, self._sizes[..., None])[
            ..., 0
        ]
        self._weighted = numpy.einsum(
            'lr,lre->le',
            self._loads,
            self._weights,
            optimize=True,
        )

    def _of_slots(self, per_expert: numpy.ndarray) -> numpy.ndarray:
        layers, ranks, slots = self._slots.shape
        flat = self._slots.reshape(layers, ranks * slots)
        found = numpy.take_along_axis(per_expert, flat, axis=1)
        return found.reshape(layers, ranks, slots)

    def _best_swap(self, rank: numpy.ndarray) -> Change:
        """Find the best exchange of one of the rank's experts for another."""
        gain = self._swap_gains(rank)
        best, (mine, other, slot) = _argmax(gain)
        taken = self._slots[self._layers, other, slot]
        left = self._slots[self._layers, rank, mine]
        empty = (taken == self._none) | (left == self._none)
        cost = numpy.where(empty, _LOAD_COST, _SWAP_COST)
        return Change(best, cost, rank, mine, taken, other, slot, left)

    def _swap_gains(self, rank: numpy.ndarray) -> numpy.ndarray:
        """Return gains by layer, own slot, other rank and its slot."""
        own = self._slots[self._layers, rank]
        given = _spread(
            numpy.take_along_axis(self._sizes, own, axis=1),
            (2, 3),
        ) - _spread(self._of_slots(self._sizes), 1)
        own_load = self._loads[self._layers, rank]
        gap = self._loads - _spread(own_load, 1)
        gain = -2 * given * (_spread(gap, (1, 3)) + given)
        gain[self._held_by(own)] = _NO_GAIN
        here = self._of_slots(self._held[self._layers, rank])
        return numpy.where(_spread(here, 1), _NO_GAIN, gain)

    def _best_load(self, rank: numpy.ndarray) -> Change:
        """Find the best expert for the rank to load over a redundant one."""
        own = self._slots[self._layers, rank]
        gain = -self._load_delta(
            _spread(own, 2),
            _spread(numpy.arange(self._none + 1), (0, 1)),
            _spread(self._loads[self._layers, rank], (1, 2)),
            self._overlap(own),
        )
        gain[numpy.take_along_axis(self._counts, own, axis=1) < 2] = _NO_GAIN
        useless = self._held[self._layers, rank]
        useless[..., self._none] = 1
        gain = numpy.where(_spread(useless, 1), _NO_GAIN, gain)
        best, (slot, expert) = _argmax(gain)
        return self._single(best, rank, slot, expert)

    def _best_relief(self, rank: numpy.ndarray) -> Change:
        """Find the best rank to take over a share of one of the rank's."""
        own = self._slots[self._layers, rank]
        layers, ranks, slots = self._slots.shape
        flat = self._slots.reshape(layers, 1, ranks * slots)
        shared = numpy.take_along_axis(self._overlap(own), flat, axis=2)
        gain = -self._load_delta(
            _spread(self._slots, 1),
            _spread(own, (2, 3)),
            _spread(self._loads, (1, 3)),
            shared.reshape((layers, slots, ranks, slots)),
        )
        gain[self._held_by(own)] = _NO_GAIN
        gain[own == self._none] = _NO_GAIN
        fixed = self._of_slots(self._counts) < 2
        gain = numpy.where(_spread(fixed, 1), _NO_GAIN, gain)
        best, (mine, other, slot) = _argmax(gain)
        return self._single(best, other, slot, own[self._layers, mine])

    def _held_by(self, own: numpy.ndarray) -> numpy.ndarray:
        """Tell for each of the experts ``own`` which ranks have it."""
        columns = numpy.take_along_axis(self._held, _spread(own, 1), axis=2)
        return columns.transpose(0, 2, 1)

    def _overlap(self, own: numpy.ndarray) -> numpy.ndarray:
        """Count the ranks that have both one of ``own`` and each expert."""
        columns = self._held_by(own).astype(numpy.float32)
        return numpy.matmul(columns, self._weights)

    def _load_delta(
        self,
        dropped: numpy.ndarray,
        loaded: numpy.ndarray,
        rank_load: numpy.ndarray,
        overlap: numpy.ndarray,
    ) -> numpy.ndarray:
        """Return the change of the sum of squares, with broadcasting.

        The loaded expert's other holders shed ``shed`` each; the dropped
        one's gain ``taken`` each; ranks that hold both get the two at once.
        """
        shed, fresh, count, weighted = self._loaded_terms(loaded)
        taken, size, others, rest = self._dropped_terms(dropped)
        own = fresh - size
        # The share of an expert varies as a whole: variance falls with the
        # count of its replicas.
        spread = taken * size * (others + 1) - shed * fresh * (count + 1)
        linear = taken * (rest - rank_load) - shed * weighted + own * rank_load
        squares = shed**2 * count + taken**2 * others + own**2
        return (
            2 * (linear - shed * taken * overlap) + squares + _VARIANCE * spread
        )

    def _loaded_terms(self, loaded: numpy.ndarray) -> list[numpy.ndarray]:
        count = self._counts
        fresh = self._tokens / (count + 1)
        shed = self._sizes - fresh
        terms = (shed, fresh, count, self._weighted)
        return [self._pick(term, loaded) for term in terms]

    def _dropped_terms(self, dropped: numpy.ndarray) -> list[numpy.ndarray]:
        others = numpy.maximum(self._counts - 1, 1)
        taken = self._tokens / others - self._sizes
        terms = (taken, self._sizes, others, self._weighted)
        return [self._pick(term, dropped) for term in terms]

    def _pick(
        self,
        per_expert: numpy.ndarray,
        which: numpy.ndarray,
    ) -> numpy.ndarray:
        trailing = tuple(range(1, which.ndim))
        return per_expert[_spread(self._layers, trailing), which]

    def _single(
        self,
        gain: numpy.ndarray,
        rank: numpy.ndarray,
        slot: numpy.ndarray,
        expert: numpy.ndarray,
    ) -> Change:
        none = numpy.full_like(rank, -1)
        cost = numpy.full_like(rank, _LOAD_COST)
        return Change(gain, cost, rank, slot, expert, none, none, none)


def _spread(
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


def _better(first: Change, second: Change) -> Change:
    pick = second.rate() > first.rate()
    fields = (field.name for field in attrs.fields(Change))
    return Change(
        *(
            numpy.where(pick, getattr(second, name), getattr(first, name))
            for name in fields
        ),
    )


def to_slots(slots: numpy.ndarray, experts: int) -> numpy.ndarray:
    """Turn the pseudo expert back into EMPTY."""
    return numpy.where(slots == experts, expert_map.EMPTY, slots)
