"""Rebalance a group's ranks greedily, for engines that load few new experts per
map; ``policy.placement`` plans for engines that accept any map.
"""

from __future__ import annotations

import abc
import collections.abc

import attrs

# The experts of one set of layers, by rank.
SetMap = tuple[tuple[int, ...], ...]

# Minimum load that a copy must take off the busiest rank, as a share of the
# mean; smaller gains are not worth the transfer.
MIN_GAIN = 0.05
# For groups in which lower skew does not shorten steps; takes fewer copies.
COARSE_MIN_GAIN = 0.15
# Least loaded ranks considered as recipients in each iteration.
MAX_RECIPIENTS = 16


@attrs.frozen
class Bounds:
    """Limit the experts per rank and the new ones among them in one map."""

    slots: int
    max_new: int
    # Load that each copy must save, as a share of the mean.
    min_gain: float = MIN_GAIN


@attrs.frozen
class _Change:
    """Add ``expert`` to the recipient and evict ``evicted``, each optional."""

    recipient: int
    expert: int | None
    evicted: int | None


class CopyBudget(abc.ABC):
    """Limit the copies of each rank over several sets of layers."""

    @abc.abstractmethod
    def has_room(self, rank: int) -> bool:
        """Tell whether a rank may copy one more expert."""

    @abc.abstractmethod
    def add(self, rank: int, copies: int) -> None:
        """Add to the copies of a rank; the number may be negative."""


class SetRebalancer:
    """Improve the map of one set of layers step by step."""

    def __init__(
        self,
        current: SetMap,
        tokens: collections.abc.Sequence[float],
        bounds: Bounds,
        slowdowns: collections.abc.Sequence[float] = (),
        copy_budget: CopyBudget | None = None,
    ) -> None:
        """Start from ``current``, within ``bounds`` and any ``copy_budget``."""
        self._copy_budget = copy_budget
        self._tokens = tokens
        self._min_gain_tokens = (
            bounds.min_gain * sum(tokens) / max(1, len(current))
        )
        self._slowdowns = slowdowns or tuple(1 for _ in current)
        self._bounds = bounds
        self._initial = [frozenset(held) for held in current]
        self._placement = [set(held) for held in current]
        self._holders: list[set[int]] = [set() for _ in tokens]
        for rank, held in enumerate(current):
            for expert in held:
                self._holders[expert].add(rank)
        self._loads = self._rank_loads()

    @property
    def result(self) -> SetMap:
        """Return the current map."""
        return tuple(tuple(sorted(held)) for held in self._placement)

    @property
    def loads(self) -> list[float]:
        """Return each rank's step time, in tokens at normal speed."""
        return self._loads

    @property
    def skew(self) -> float:
        """Return the busiest rank's step time relative to balanced ranks."""
        total = sum(self._tokens)
        return max(self._loads) * len(self._loads) / total if total else 1

    def improve(self) -> bool:
        """Apply the best change; return whether one gained enough."""
        # Compares only affected ranks: with several equally busy ranks, no
        # single change lowers the peak of all.
        loads = self._loads
        busiest = max(range(len(loads)), key=loads.__getitem__)
        best = None
        best_peak = loads[busiest]
        for change in self._candidates(busiest):
            peak = max(self._loads_after(change).values())
            if change.expert is not None:
                peak += self._min_gain_tokens
            if peak < best_peak:
                best = change
                best_peak = peak
        if best is None:
            return False
        self._apply(best)
        return True

    def _rank_loads(self) -> list[float]:
        loads: list[float] = [0 for _ in self._placement]
        for expert, holders in enumerate(self._holders):
            for rank in holders:
                share = self._tokens[expert] / len(holders)
                loads[rank] += share * self._slowdowns[rank]
        return loads

    def _candidates(self, busiest: int) -> collections.abc.Iterator[_Change]:
        for held in self._replicated_on(busiest):
            yield _Change(busiest, None, held)
        recipients = sorted(
            range(len(self._loads)), key=self._loads.__getitem__
        )
        for recipient in recipients[:MAX_RECIPIENTS]:
            if recipient == busiest or not self._can_receive(recipient):
                continue
            for expert in self._placement[busiest] - self._placement[recipient]:
                for evicted in self._eviction_candidates(recipient):
                    yield _Change(recipient, expert, evicted)

    def _can_receive(self, rank: int) -> bool:
        if self._copy_budget is not None and not self._copy_budget.has_room(
            rank
        ):
            return False
        return self._count_new(rank) < self._bounds.max_new

    def _count_new(self, rank: int) -> int:
        """Count the experts that a rank did not hold initially."""
        return len(self._placement[rank] - self._initial[rank])

    def _eviction_candidates(self, rank: int) -> list[int] | list[None]:
        """List the experts that may be evicted, ``None`` if a slot is free."""
        if len(self._placement[rank]) < self._bounds.slots:
            return [None]
        return self._replicated_on(rank)

    def _replicated_on(self, rank: int) -> list[int]:
        """List the experts of a rank that other ranks hold as well."""
        return [
            expert
            for expert in self._placement[rank]
            if len(self._holders[expert]) > 1
        ]

    def _loads_after(self, change: _Change) -> dict[int, float]:
        """Return the loads of the affected ranks after a change, by rank."""
        changed: dict[int, float] = {}
        if change.evicted is not None:
            self._change_replicas(changed, change.evicted, change.recipient, -1)
        if change.expert is not None:
            self._change_replicas(changed, change.expert, change.recipient, 1)
        return changed

    def _change_replicas(
        self,
        changed: dict[int, float],
        expert: int,
        rank: int,
        delta: int,
    ) -> None:
        """Split an expert's tokens over one more or one fewer replica."""
        holders = self._holders[expert]
        before = self._tokens[expert] / len(holders)
        after = self._tokens[expert] / (len(holders) + delta)
        for holder in holders:
            held = changed.get(holder, self._loads[holder])
            changed[holder] = held + (after - before) * self._slowdowns[holder]
        moved = after if delta > 0 else -after
        held = changed.get(rank, self._loads[rank])
        changed[rank] = held + moved * self._slowdowns[rank]

    def _apply(self, change: _Change) -> None:
        new_before = self._count_new(change.recipient)
        for rank, load in self._loads_after(change).items():
            self._loads[rank] = load
        if change.evicted is not None:
            self._placement[change.recipient].discard(change.evicted)
            self._holders[change.evicted].discard(change.recipient)
        if change.expert is not None:
            self._placement[change.recipient].add(change.expert)
            self._holders[change.expert].add(change.recipient)
        if self._copy_budget is not None:
            delta = self._count_new(change.recipient) - new_before
            self._copy_budget.add(change.recipient, delta)


def skew(
    current: SetMap,
    tokens: collections.abc.Sequence[float],
    slowdowns: collections.abc.Sequence[float] = (),
) -> float:
    """Return the busiest rank's step time relative to balanced ranks, 1 without
    tokens; ``slowdowns`` are factors on each rank's time.
    """
    return SetRebalancer(current, tokens, Bounds(0, 0), slowdowns).skew


def rebalance(
    current: SetMap,
    tokens: collections.abc.Sequence[float],
    bounds: Bounds,
    slowdowns: collections.abc.Sequence[float] = (),
) -> SetMap:
    """Return a more even map within ``bounds`` with a replica of each expert;
    ``tokens`` are expected per expert, ``slowdowns`` multiply each rank's time.
    """
    rebalancer = SetRebalancer(current, tokens, bounds, slowdowns)
    if not bounds.min_gain * sum(tokens):
        return rebalancer.result
    has_improved = True
    while has_improved:
        has_improved = rebalancer.improve()
    return rebalancer.result


def count_copies(before: SetMap, after: SetMap) -> int:
    """Count the experts that their ranks did not hold before."""
    return sum(
        len(set(new).difference(old))
        for old, new in zip(before, after, strict=True)
    )
