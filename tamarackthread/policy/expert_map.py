"""Describe where the experts of a group live.

A map gives each rank's slots in each layer the expert they hold.  An expert
may have several replicas; engines split its tokens evenly between them.
Arrays are indexed layer first and are never changed after construction.
"""

from __future__ import annotations

import hashlib
import json

import attrs
import numpy

from tamarackthread.shared import errors

EMPTY = -1
_JSON_ERRORS = (ValueError, KeyError, TypeError, OverflowError)
# Takes a whole axis of an array, as a bare colon does.
ALL = slice(None)


class ExpertMapInvalid(errors.CodedError):
    """Expert map does not fit its group."""

    code = 'TT5001'
    status = 422


@attrs.frozen
class GroupShape:
    """The size of a group; ``slots`` counts for one rank and layer."""

    layers: int
    experts: int
    ranks: int
    slots: int

    @property
    def redundant(self) -> int:
        """Count the slots of a layer left when each expert has one."""
        return self.ranks * self.slots - self.experts


@attrs.frozen(eq=False)
class ExpertMap:
    """One placement: ``slots[layer, rank, slot]`` is an expert or EMPTY."""

    shape: GroupShape
    slots: numpy.ndarray

    def holds(self) -> numpy.ndarray:
        """Tell for each layer, rank and expert whether the rank has it."""
        shape = self.shape
        size = (shape.layers, shape.ranks, shape.experts + 1)
        held = numpy.zeros(size, dtype=bool)
        # EMPTY is -1 and so lands in the extra last column.
        numpy.put_along_axis(held, self.slots.astype(numpy.int64), 1, axis=2)
        return numpy.delete(held, EMPTY, axis=2)

    def replicas(self) -> numpy.ndarray:
        """Count each expert's replicas in each layer."""
        return self.holds().sum(axis=1)

    def rank_loads(self, tokens: numpy.ndarray) -> numpy.ndarray:
        """Sum the tokens that each rank serves in each layer.

        Tokens of an expert without a replica reach no rank.
        """
        held = self.holds()
        share = tokens / numpy.maximum(held.sum(axis=1), 1)
        return numpy.matmul(held, share[..., None])[..., 0]

    def without_replica(self) -> numpy.ndarray:
        """List (layer, expert) pairs that have no replica left."""
        return numpy.argwhere(self.replicas() == 0)

    def without_ranks(self, lost: set[int]) -> 'ExpertMap':
        """Empty the slots of lost ranks."""
        slots = self.slots.copy()
        slots[ALL, sorted(lost)] = EMPTY
        return ExpertMap(self.shape, slots)

    def digest(self) -> str:
        """Name the map's content, so that a rank can prove what it holds."""
        raw = numpy.ascontiguousarray(self.slots, dtype=numpy.int16)
        return hashlib.sha256(raw.tobytes()).hexdigest()[:16]

    def check(self) -> None:
        """Raise ``ExpertMapInvalid`` unless each expert has a replica."""
        shape = self.shape
        wanted = (shape.layers, shape.ranks, shape.slots)
        if self.slots.shape != wanted:
            raise ExpertMapInvalid(f'{self.slots.shape} is not {wanted}')
        outside = (self.slots < EMPTY) | (self.slots >= shape.experts)
        if outside.any():
            raise ExpertMapInvalid('a slot names an unknown expert')
        missing = self.without_replica()
        if missing.size:
            raise ExpertMapInvalid(f'no replica at {missing[0].tolist()}')

    def to_json(self) -> str:
        """Write the map as JSON for an order's body."""
        sizes = attrs.asdict(self.shape)
        return json.dumps({'shape': sizes, 'slots': self.slots.tolist()})


def from_json(text: str) -> ExpertMap:
    """Read a map and check it; raise ``ExpertMapInvalid`` on nonsense."""
    try:
        fields = json.loads(text)
        shape = GroupShape(**fields['shape'])
        slots = numpy.array(fields['slots'], dtype=numpy.int16)
    except _JSON_ERRORS as exc:
        raise ExpertMapInvalid(str(exc)) from exc
    found = ExpertMap(shape, slots)
    found.check()
    return found


def cold_start(shape: GroupShape) -> ExpertMap:
    """Place experts in order when nothing is known of their load.

    Redundant slots repeat experts half the ranks away, so that losing one
    rank leaves these experts a replica.
    """
    if shape.redundant < 0:
        raise ExpertMapInvalid(f'{shape} has too few slots')
    base = -(-shape.experts // shape.ranks)
    slots = numpy.full((shape.ranks, shape.slots), EMPTY, numpy.int16)
    order = numpy.arange(shape.ranks * base).reshape(shape.ranks, base)
    first = numpy.where(order < shape.experts, order, EMPTY)
    slots[ALL, :base] = first
    spare = min(shape.slots - base, base)
    shifted = numpy.roll(first, shape.ranks // 2, axis=0)
    slots[ALL, base : base + spare] = shifted[ALL, :spare]
    return ExpertMap(shape, numpy.repeat(slots[None], shape.layers, axis=0))


def moves_between(old: ExpertMap, new: ExpertMap) -> numpy.ndarray:
    """List (layer, rank, expert) that ranks must load to go to ``new``."""
    return numpy.argwhere(new.holds() & ~old.holds())


def skew(loads: numpy.ndarray) -> numpy.ndarray:
    """Divide slowest minus fastest rank by the mean, for each layer."""
    mean = numpy.maximum(loads.mean(axis=-1), 1e-12)
    return (loads.max(axis=-1) - loads.min(axis=-1)) / mean


def slowdown(loads: numpy.ndarray) -> numpy.ndarray:
    """Divide the slowest rank by the mean, for each layer; 1 is perfect."""
    mean = numpy.maximum(loads.mean(axis=-1), 1e-12)
    return loads.max(axis=-1) / mean


def skew_bound(tokens: numpy.ndarray, shape: GroupShape) -> numpy.ndarray:
    """Bound the skew of any placement from below, for each layer.

    Some rank serves the largest share of an expert, and no replication
    within the slots makes that share smaller than the value found by
    bisection here; no rank is above the mean by less than it.
    """
    total = shape.ranks * shape.slots
    low = tokens.max(axis=1) / shape.ranks
    high = tokens.max(axis=1)
    for _ in range(40):
        middle = (low + high) / 2
        needed = numpy.ceil(tokens / numpy.maximum(middle, 1e-12)[..., None])
        fits = needed.clip(1, None).sum(axis=1) <= total
        high = numpy.where(fits, middle, high)
        low = numpy.where(fits, low, middle)
    mean = numpy.maximum(tokens.sum(axis=1) / shape.ranks, 1e-12)
    return numpy.maximum(low / mean - 1, 0)
