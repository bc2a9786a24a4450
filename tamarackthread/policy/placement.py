"""Plan which rank holds which expert.

A planner is given today's map and an outlook and returns the map to go to.
It is plain computation that takes tens of milliseconds and more: callers on
an event loop run it in a thread.
"""

from __future__ import annotations

import abc

import attrs
import numpy

from tamarackthread.policy import (
    expert_map,
    forecast,
    greedy,
    local_search,
    repair,
)


_LEAST_FALL = 1e-5
# Larger arrays leave the processor's cache, and each call on them keeps other
# threads, the event loop's too, waiting for longer.
_LAYERS_AT_ONCE = 16


@attrs.frozen
class BalanceSettings:
    """A profile's trade-off between evenness and moves.

    ``move_cost_seconds`` is what moving one weight is worth in seconds of a
    layer's full skew; ``min_gain`` is the skew that a layer must win
    before anything of it moves; ``max_moves_per_layer`` caps one plan.
    """

    move_cost_seconds: float
    min_gain: float
    max_moves_per_layer: int


EVEN = BalanceSettings(
    move_cost_seconds=0.3, min_gain=0.005, max_moves_per_layer=90
)
FEW_MOVES = BalanceSettings(
    move_cost_seconds=4, min_gain=0.1, max_moves_per_layer=16
)


@attrs.frozen(eq=False)
class Plan:
    """A proposed map with what it costs and promises.

    ``skew_before`` and ``skew_after`` are the forecast's means over layers.
    """

    new_map: expert_map.ExpertMap
    moves: numpy.ndarray
    skew_before: float
    skew_after: float

    @property
    def is_change(self) -> bool:
        """Tell whether any weight moves."""
        return bool(len(self.moves))


class Planner(abc.ABC):
    """Plan the next map of one group."""

    def plan(
        self,
        today: expert_map.ExpertMap,
        outlook: forecast.LoadForecast,
        lost: set[int] | None = None,
    ) -> Plan:
        """Return the plan for the ranks that are not in ``lost``."""
        usable = today.without_ranks(lost) if lost else today
        alive = _alive(today, lost or set())
        new_map = self._new_map(usable, outlook, alive)
        before = usable.rank_loads(outlook.shares)[expert_map.ALL, alive]
        after = new_map.rank_loads(outlook.shares)[expert_map.ALL, alive]
        return Plan(
            new_map,
            expert_map.moves_between(usable, new_map),
            float(expert_map.skew(before).mean()),
            float(expert_map.skew(after).mean()),
        )

    @abc.abstractmethod
    def _new_map(
        self,
        today: expert_map.ExpertMap,
        outlook: forecast.LoadForecast,
        alive: numpy.ndarray,
    ) -> expert_map.ExpertMap:
        """Choose the map for the ranks numbered in ``alive``."""


class StaticPlanner(Planner):
    """Keep today's map and replace only experts with no replica left."""

    def _new_map(
        self,
        today: expert_map.ExpertMap,
        outlook: forecast.LoadForecast,
        alive: numpy.ndarray,
    ) -> expert_map.ExpertMap:
        return repair.restore_replicas(today, outlook.shares, alive)


class GreedyPlanner(Planner):
    """Plan anew each time, as if no weight were anywhere yet."""

    def _new_map(
        self,
        today: expert_map.ExpertMap,
        outlook: forecast.LoadForecast,
        alive: numpy.ndarray,
    ) -> expert_map.ExpertMap:
        return greedy.place(today.shape, outlook.shares, alive)


class IncrementalPlanner(Planner):
    """Change today's map as long as a change is worth its moves."""

    def __init__(self, weights: BalanceSettings, rounds: int = 64) -> None:
        """Set the trade-off; ``rounds`` bounds the time of one plan."""
        self._weights = weights
        self._rounds = rounds

    def _new_map(
        self,
        today: expert_map.ExpertMap,
        outlook: forecast.LoadForecast,
        alive: numpy.ndarray,
    ) -> expert_map.ExpertMap:
        covered = repair.restore_replicas(today, outlook.shares, alive)
        slots = covered.slots.copy()
        loads = covered.rank_loads(outlook.shares)[expert_map.ALL, alive]
        # Below the least gain no change could pay: the layer is left alone.
        uneven = expert_map.skew(loads) > self._weights.min_gain
        layers = numpy.flatnonzero(uneven)
        price = self._weights.move_cost_seconds / outlook.valid_seconds
        for start in range(0, layers.size, _LAYERS_AT_ONCE):
            few = layers[start : start + _LAYERS_AT_ONCE]
            part = slots[few][expert_map.ALL, alive]
            trail = self._search(part, outlook.shares[few])
            chosen = trail.best_slots(price, self._weights.min_gain)
            slots[numpy.ix_(few, alive)] = chosen
        return expert_map.ExpertMap(covered.shape, slots)

    def _search(self, slots: numpy.ndarray, shares: numpy.ndarray) -> '_Trail':
        state = local_search.SearchState(slots, shares)
        trail = _Trail(slots, shares.shape[1], state.loads)
        for _ in range(self._rounds):
            change = state.best_change()
            spent = trail.cost + change.cost
            chosen = (change.gain > _LEAST_FALL) & (
                spent <= self._weights.max_moves_per_layer
            )
            if not chosen.any():
                break
            state.apply(change, chosen)
            trail.record(change, chosen, state.loads)
        return trail


class _Trail:
    """Keep a search's steps, to go back to where each layer was best."""

    def __init__(
        self,
        slots: numpy.ndarray,
        experts: int,
        loads: numpy.ndarray,
    ) -> None:
        self._slots = slots
        self._experts = experts
        self._skews = [expert_map.skew(loads)]
        self._costs = [numpy.zeros(slots.shape[0], dtype=int)]
        self._changes: list[tuple[local_search.Change, numpy.ndarray]] = []

    @property
    def cost(self) -> numpy.ndarray:
        return self._costs[-1]

    def record(
        self,
        change: local_search.Change,
        chosen: numpy.ndarray,
        loads: numpy.ndarray,
    ) -> None:
        self._changes.append((change, chosen))
        self._skews.append(expert_map.skew(loads))
        self._costs.append(self.cost + chosen * change.cost)

    def best_slots(self, price: float, min_gain: float) -> numpy.ndarray:
        """Replay each layer up to the step worth most after its price."""
        skews = numpy.stack(self._skews)
        worth = skews[0] - skews - price * numpy.stack(self._costs)
        steps = worth.argmax(axis=0)
        won = numpy.take_along_axis(skews[0] - skews, steps[None], axis=0)[0]
        steps = numpy.where(won >= min_gain, steps, 0)
        slots = self._slots.astype(int)
        for number, (change, chosen) in enumerate(self._changes):
            _replay(slots, change, chosen & (steps > number))
        return local_search.to_slots(slots, self._experts)


def _replay(
    slots: numpy.ndarray,
    change: local_search.Change,
    chosen: numpy.ndarray,
) -> None:
    layers = numpy.flatnonzero(chosen)
    slots[layers, change.rank[layers], change.slot[layers]] = change.expert[
        layers
    ]
    swaps = layers[change.other_rank[layers] >= 0]
    slots[swaps, change.other_rank[swaps], change.other_slot[swaps]] = (
        change.other_expert[swaps]
    )


def _alive(
    today: expert_map.ExpertMap,
    lost: set[int],
) -> numpy.ndarray:
    return numpy.array(
        [rank for rank in range(today.shape.ranks) if rank not in lost],
    )
