"""Map a group's experts to the slots of its ranks; engines split an expert's
tokens evenly over its replicas, and arrays are indexed by layer first.
"""

from __future__ import annotations

import hashlib
import json

import attrs
import numpy

from tamarackthread.shared import errors

EMPTY = -1
_JSON_ERRORS = (ValueError, KeyError, TypeError, OverflowError)
# Selects a whole axis of an array, as a bare colon does.
ALL = slice(None)


class ExpertMapInvalid(errors.CodedError):
    """Expert map does not fit its group."""

    code = 'TT5001'
    status = 422


@attrs.frozen
class GroupShape:
    """The size of a group; ``slots`` are per rank and layer."""

    layers: int
    experts: int
    ranks: int
    slots: int

    @property
    def redundant(self) -> int:
        """Return a layer's number of slots beyond one for each expert."""
        return self.ranks * self.slots - self.experts


@attrs.frozen(eq=False)
class ExpertMap:
    """Immutable placement: ``slots[layer, rank, slot]`` is expert or EMPTY."""

    shape: GroupShape
    slots: numpy.ndarray

    def holds(self) -> numpy.ndarray:
        """Return a boolean ``[layer, rank, expert]`` array of the replicas."""
        shape = self.shape
        size = (shape.layers, shape.ranks, shape.experts + 1)
        held = numpy.zeros(size, dtype=bool)
        # EMPTY is -1 and so lands in the extra last column.
        numpy.put_along_axis(held, self.slots.astype(numpy.int64), 1, axis=2)
        return numpy.delete(held, EMPTY, axis=2)

    def replicas(self) -> numpy.ndarray:
        """Return the number of replicas as ``[layer, expert]``."""
        return self.holds().sum(axis=1)

    def rank_loads(self, tokens: numpy.ndarray) -> numpy.ndarray:
        """Return ``[layer, rank]`` loads of ``tokens[layer, expert]``, without
        the tokens of experts that have no replica.
        """
        held = self.holds()
        share = tokens / numpy.maximum(held.sum(axis=1), 1)
        return numpy.matmul(held, share[..., None])[..., 0]

    def without_replica(self) -> numpy.ndarray:
        """List the (layer, expert) pairs without a replica."""
        return numpy.argwhere(self.replicas() == 0)

    def without_ranks(self, lost: set[int]) -> 'ExpertMap':
        """Return a copy with the slots of lost ranks empty."""
        slots = self.slots.copy()
        slots[ALL, sorted(lost)] = EMPTY
        return ExpertMap(self.shape, slots)

    def digest(self) -> str:
        """Return a hash of the slots, by which ranks compare their maps."""
        raw = numpy.ascontiguousarray(self.slots, dtype=numpy.int16)
        return hashlib.sha256(raw.tobytes()).hexdigest()[:16]

    def check(self) -> None:
        """Raise ``ExpertMapInvalid`` unless each expert has a replica."""
        shape = self.shape
        wanted = (shape.layers, shape.ranks, shape.slots)
        if self.slots.shape != wanted:
            raise ExpertMapInvalid(
                f'slots have shape {self.slots.shape} instead of {wanted}',
            )
        outside = (self.slots < EMPTY) | (self.slots >= shape.experts)
        if outside.any():
            raise ExpertMapInvalid('a slot holds an unknown expert')
        missing = self.without_replica()
        if missing.size:
            raise ExpertMapInvalid(
                f'no replica at [layer, expert] {missing[0].tolist()}',
            )

    def to_json(self) -> str:
        """Encode the map as JSON."""
        sizes = attrs.asdict(self.shape)
        return json.dumps({'shape': sizes, 'slots': self.slots.tolist()})


def from_json(text: str) -> ExpertMap:
    """Decode and check a map; raise ``ExpertMapInvalid`` if it is malformed."""
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
    """Place experts in order, before any load is known; redundant replicas are
    half the ranks away, so that the loss of one rank leaves the other.
    """
    if shape.redundant < 0:
        raise ExpertMapInvalid(f'{shape} has too few slots')
    base = -(-shape.experts // shape.ranks)
    slots = numpy.full((shape.ranks, shape.slots), EMPTY, numpy.int16)
    order = numpy.arange(shape.ranks * base).reshape(shape.ranks, base)
    first = numpy.where(order < shape.experts, order, EMPTY)
    slots[ALL, :base] = first
    extra = min(shape.slots - base, base)
    shifted = numpy.roll(first, shape.ranks // 2, axis=0)
    slots[ALL, base : base + extra] = shifted[ALL, :extra]
    return ExpertMap(shape, numpy.repeat(slots[None], shape.layers, axis=0))


def moves_between(old: ExpertMap, new: ExpertMap) -> numpy.ndarray:
    """List the (layer, rank, expert) that a switch to ``new`` must load."""
    return numpy.argwhere(new.holds() & ~old.holds())


def skew(loads: numpy.ndarray) -> numpy.ndarray:
    """Return (maximum - minimum) / mean of the rank loads, for each layer."""
    mean = numpy.maximum(loads.mean(axis=-1), 1e-12)
    return (loads.max(axis=-1) - loads.min(axis=-1)) / mean


def slowdown(loads: numpy.ndarray) -> numpy.ndarray:
    """Return maximum / mean of the rank loads, for each layer; 1 is even."""
    mean = numpy.maximum(loads.mean(axis=-1), 1e-12)
    return loads.max(axis=-1) / mean


def skew_bound(tokens: numpy.ndarray, shape: GroupShape) -> numpy.ndarray:
    """Return a lower bound of any placement's skew, for each layer: by how much
    the smallest load that the hottest replica can have exceeds the mean.
    """
    total = shape.ranks * shape.slots
    low = tokens.max(axis=1) / shape.ranks
    high = tokens.max(axis=1)
    for _ in range(40):
        share = (low + high) / 2
        needed = numpy.ceil(tokens / numpy.maximum(share, 1e-12)[..., None])
        fits = needed.clip(1, None).sum(axis=1) <= total
        high = numpy.where(fits, share, high)
        low = numpy.where(fits, low, share)
    mean = numpy.maximum(tokens.sum(axis=1) / shape.ranks, 1e-12)
    return numpy.maximum(low / mean - 1, 0)
