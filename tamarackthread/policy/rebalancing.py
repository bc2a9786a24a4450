"""Even the ranks of a group by a few new replicas of busy experts.

Answers the load in which some experts take many times the mean and others
take over every few seconds: a whole new map would copy most weights each time,
and engines take only a few new experts a rank at once.  From the map in force,
the busiest rank gives part of one expert to a rank with little to do, again
and again, while each step takes enough off the busiest rank.

``policy.placement`` plans for engines that take any map, on arrays; this works
on plain lists, for one set of layers at a time, and needs no library.
"""

from __future__ import annotations

import abc
import collections.abc

import attrs

# Experts of one set by rank.
SetMap = tuple[tuple[int, ...], ...]

# A step must take so much of the mean off the busiest rank; with less, copies are
# made that no caller notices.
MIN_GAIN = 0.05
# Where evener ranks than that serve nobody better: half of the copies.
COARSE_MIN_GAIN = 0.15
# Ranks with least to do that are weighed as takers in each step.
MAX_RECIPIENTS = 16


@attrs.frozen
class Bounds:
    """Bound what a rank holds, and what of it may be new in one map.

    ``min_gain`` is what each copy must take off the busiest rank, as a part
    of the mean.
    """

    slots: int
    max_new: int
    min_gain: float = MIN_GAIN


@attrs.frozen
class _Step:
    """Give ``expert`` to rank ``taker``, which drops ``dropped``, if any.

    Without an expert the rank only drops one, which copies nothing.
    """

    taker: int
    expert: int | None
    dropped: int | None


class CopyBudget(abc.ABC):
    """Bound the copies of ranks over several sets."""

    @abc.abstractmethod
    def has_room(self, rank: int) -> bool:
        """Tell whether a rank may copy one expert more."""

    @abc.abstractmethod
    def change(self, rank: int, change: int) -> None:
        """Count copies that a rank has more, or less."""


class SetRebalancer:
    """A set's map while it is changed."""

    def __init__(
        self,
        current: SetMap,
        tokens: collections.abc.Sequence[float],
        bounds: Bounds,
        paces: collections.abc.Sequence[float] = (),
        copies: CopyBudget | None = None,
    ) -> None:
        """Begin with ``current``; what ranks copy is within ``copies`` too."""
        self._copies = copies
        self._tokens = tokens
        self._least = bounds.min_gain * sum(tokens) / max(1, len(current))
        self._paces = paces or tuple(1 for _ in current)
        self._bounds = bounds
        self._before = [frozenset(held) for held in current]
        self._held = [set(held) for held in current]
        self._owners: list[set[int]] = [set() for _ in tokens]
        for rank, held in enumerate(current):
            for expert in held:
                self._owners[expert].add(rank)
        self._loads = self._summed()

    @property
    def result(self) -> SetMap:
        """Return the map as it is now."""
        return tuple(tuple(sorted(held)) for held in self._held)

    @property
    def loads(self) -> list[float]:
        """Return the time that each rank takes, in tokens of a usual rank."""
        return self._loads

    @property
    def skew(self) -> float:
        """Return the time of the busiest rank over that of even usual ranks."""
        total = sum(self._tokens)
        return max(self._loads) * len(self._loads) / total if total else 1

    def improve(self) -> bool:
        """Take the best step; return whether one took off enough.

        A step is judged by the ranks that it changes.  With many ranks
        another one is often as busy as the busiest; judged by the peak of
        all, no single step would do any good and the plan would end there.
        """
        loads = self._loads
        busiest = max(range(len(loads)), key=loads.__getitem__)
        best = None
        best_peak = loads[busiest]
        for step in self._steps(busiest):
            peak = max(self._changed_by(step).values())
            if step.expert is not None:
                peak += self._least
            if peak < best_peak:
                best = step
                best_peak = peak
        if best is None:
            return False
        self._take(best)
        return True

    def _summed(self) -> list[float]:
        found: list[float] = [0 for _ in self._held]
        for expert, owners in enumerate(self._owners):
            for rank in owners:
                share = self._tokens[expert] / len(owners)
                found[rank] += share * self._paces[rank]
        return found

    def _steps(self, busiest: int) -> collections.abc.Iterator[_Step]:
        for held in self._shared_by(busiest):
            yield _Step(busiest, None, held)
        takers = sorted(range(len(self._loads)), key=self._loads.__getitem__)
        for taker in takers[:MAX_RECIPIENTS]:
            if taker == busiest or not self._takes_more(taker):
                continue
            for expert in self._held[busiest] - self._held[taker]:
                for dropped in self._droppable(taker):
                    yield _Step(taker, expert, dropped)

    def _takes_more(self, rank: int) -> bool:
        if self._copies is not None and not self._copies.has_room(rank):
            return False
        return self._fresh(rank) < self._bounds.max_new

    def _fresh(self, rank: int) -> int:
        """Count the experts that are new to a rank."""
        return len(self._held[rank] - self._before[rank])

    def _droppable(self, rank: int) -> list[int] | list[None]:
        """List what may make room: nothing, or experts held elsewhere too."""
        if len(self._held[rank]) < self._bounds.slots:
            return [None]
        return self._shared_by(rank)

    def _shared_by(self, rank: int) -> list[int]:
        """List the experts of a rank that others hold as well."""
        return [
            expert
            for expert in self._held[rank]
            if len(self._owners[expert]) > 1
        ]

    def _changed_by(self, step: _Step) -> dict[int, float]:
        """Return the loads of the ranks that a step changes, by rank."""
        changed: dict[int, float] = {}
        if step.dropped is not None:
            self._shift(changed, step.dropped, step.taker, -1)
        if step.expert is not None:
            self._shift(changed, step.expert, step.taker, 1)
        return changed

    def _shift(
        self,
        changed: dict[int, float],
        expert: int,
        rank: int,
        change: int,
    ) -> None:
        """Share an expert's tokens among one rank more, or one less."""
        owners = self._owners[expert]
        before = self._tokens[expert] / len(owners)
        after = self._tokens[expert] / (len(owners) + change)
        for owner in owners:
            held = changed.get(owner, self._loads[owner])
            changed[owner] = held + (after - before) * self._paces[owner]
        moved = after if change > 0 else -after
        held = changed.get(rank, self._loads[rank])
        changed[rank] = held + moved * self._paces[rank]

    def _take(self, step: _Step) -> None:
        fresh = self._fresh(step.taker)
        for rank, load in self._changed_by(step).items():
            self._loads[rank] = load
        if step.dropped is not None:
            self._held[step.taker].discard(step.dropped)
            self._owners[step.dropped].discard(step.taker)
        if step.expert is not None:
            self._held[step.taker].add(step.expert)
            self._owners[step.expert].add(step.taker)
        if self._copies is not None:
            change = self._fresh(step.taker) - fresh
            self._copies.change(step.taker, change)


def skew(
    current: SetMap,
    tokens: collections.abc.Sequence[float],
    paces: collections.abc.Sequence[float] = (),
) -> float:
    """Return the time of the busiest rank over that of even usual ranks.

    ``paces`` are how much longer than usual each rank takes; 1 without any
    tokens.
    """
    return SetRebalancer(current, tokens, Bounds(0, 0), paces).skew


def rebalance(
    current: SetMap,
    tokens: collections.abc.Sequence[float],
    bounds: Bounds,
    paces: collections.abc.Sequence[float] = (),
) -> SetMap:
    """Return a map that differs from ``current`` by few experts.

    ``tokens`` are the expected tokens by expert.  Each expert keeps a rank at
    least, no rank holds more than ``slots`` or gets more than ``max_new`` new.  A rank
    that takes longer than usual, by ``paces``, is left less to do.
    """
    plan = SetRebalancer(current, tokens, bounds, paces)
    if not bounds.min_gain * sum(tokens):
        return plan.result
    is_better = True
    while is_better:
        is_better = plan.improve()
    return plan.result


def count_copies(before: SetMap, after: SetMap) -> int:
    """Count the experts that are new to their rank."""
    return sum(
        len(set(new).difference(old))
        for old, new in zip(before, after, strict=True)
    )
