"""Plan a group's next expert map from the current one and a load forecast; runs
for tens of milliseconds or more, so event loops call it in a thread.
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


_MIN_SQUARES_FALL = 1e-5
# Larger arrays exceed the processor's cache, and each call on them holds the
# interpreter lock for longer.
_BATCH_LAYERS = 16


@attrs.frozen
class BalanceSettings:
    """A profile's trade-off between balance and moved weights."""

    # Cost of moving one weight, in seconds of a layer with skew 1.
    move_cost_seconds: float
    # Reduction of skew below which a layer stays as it is.
    min_gain: float
    # Moves in one plan.
    max_moves_per_layer: int


EVEN = BalanceSettings(
    move_cost_seconds=0.3, min_gain=0.005, max_moves_per_layer=90
)
FEW_MOVES = BalanceSettings(
    move_cost_seconds=4, min_gain=0.1, max_moves_per_layer=16
)


@attrs.frozen(eq=False)
class Plan:
    """A proposed map, its moves ``[move, (layer, rank, expert)]`` and the mean
    forecast skew of layers before and after it.
    """

    new_map: expert_map.ExpertMap
    moves: numpy.ndarray
    skew_before: float
    skew_after: float

    @property
    def is_change(self) -> bool:
        """Tell whether any weight has to move."""
        return bool(len(self.moves))


class Planner(abc.ABC):
    """Plan the next map of one group."""

    def plan(
        self,
        current: expert_map.ExpertMap,
        load_forecast: forecast.LoadForecast,
        lost: set[int] | None = None,
    ) -> Plan:
        """Plan for all ranks that are not in ``lost``."""
        usable = current.without_ranks(lost) if lost else current
        alive = _alive(current, lost or set())
        new_map = self._new_map(usable, load_forecast, alive)
        before = usable.rank_loads(load_forecast.shares)[expert_map.ALL, alive]
        after = new_map.rank_loads(load_forecast.shares)[expert_map.ALL, alive]
        return Plan(
            new_map,
            expert_map.moves_between(usable, new_map),
            float(expert_map.skew(before).mean()),
            float(expert_map.skew(after).mean()),
        )

    @abc.abstractmethod
    def _new_map(
        self,
        current: expert_map.ExpertMap,
        load_forecast: forecast.LoadForecast,
        alive: numpy.ndarray,
    ) -> expert_map.ExpertMap:
        """Choose the map for the ranks numbered in ``alive``."""


class StaticPlanner(Planner):
    """Keep the current map and place only experts without a replica."""

    def _new_map(
        self,
        current: expert_map.ExpertMap,
        load_forecast: forecast.LoadForecast,
        alive: numpy.ndarray,
    ) -> expert_map.ExpertMap:
        return repair.restore_replicas(current, load_forecast.shares, alive)


class GreedyPlanner(Planner):
    """Place all experts from scratch, whatever weights are loaded."""

    def _new_map(
        self,
        current: expert_map.ExpertMap,
        load_forecast: forecast.LoadForecast,
        alive: numpy.ndarray,
    ) -> expert_map.ExpertMap:
        return greedy.place(current.shape, load_forecast.shares, alive)


class IncrementalPlanner(Planner):
    """Change the current map while the gain in balance exceeds the moves."""

    def __init__(self, settings: BalanceSettings, rounds: int = 64) -> None:
        """Set the trade-off; ``rounds`` limits the time of one plan."""
        self._settings = settings
        self._rounds = rounds

    def _new_map(
        self,
        current: expert_map.ExpertMap,
        load_forecast: forecast.LoadForecast,
        alive: numpy.ndarray,
    ) -> expert_map.ExpertMap:
        covered = repair.restore_replicas(current, load_forecast.shares, alive)
        slots = covered.slots.copy()
        loads = covered.rank_loads(load_forecast.shares)[expert_map.ALL, alive]
        # A layer with less skew than the minimal gain cannot gain enough.
        skewed = expert_map.skew(loads) > self._settings.min_gain
        layers = numpy.flatnonzero(skewed)
        move_price = (
            self._settings.move_cost_seconds / load_forecast.valid_seconds
        )
        for start in range(0, layers.size, _BATCH_LAYERS):
            batch = layers[start : start + _BATCH_LAYERS]
            batch_slots = slots[batch][expert_map.ALL, alive]
            history = self._search(batch_slots, load_forecast.shares[batch])
            selected = history.best_slots(move_price, self._settings.min_gain)
            slots[numpy.ix_(batch, alive)] = selected
        return expert_map.ExpertMap(covered.shape, slots)

    def _search(
        self, slots: numpy.ndarray, shares: numpy.ndarray
    ) -> '_SearchHistory':
        state = local_search.SearchState(slots, shares)
        history = _SearchHistory(slots, shares.shape[1], state.loads)
        for _ in range(self._rounds):
            change = state.best_change()
            cost = history.cost + change.cost
            selected = (change.gain > _MIN_SQUARES_FALL) & (
                cost <= self._settings.max_moves_per_layer
            )
            if not selected.any():
                break
            state.apply(change, selected)
            history.record(change, selected, state.loads)
        return history


class _SearchHistory:
    """Record a search's steps, to return each layer to its best one."""

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
        selected: numpy.ndarray,
        loads: numpy.ndarray,
    ) -> None:
        self._changes.append((change, selected))
        self._skews.append(expert_map.skew(loads))
        self._costs.append(self.cost + selected * change.cost)

    def best_slots(self, move_price: float, min_gain: float) -> numpy.ndarray:
        """Replay each layer up to the step with the best net gain."""
        skews = numpy.stack(self._skews)
        net_gain = skews[0] - skews - move_price * numpy.stack(self._costs)
        steps = net_gain.argmax(axis=0)
        gained = numpy.take_along_axis(skews[0] - skews, steps[None], axis=0)[0]
        steps = numpy.where(gained >= min_gain, steps, 0)
        slots = self._slots.astype(int)
        for number, (change, selected) in enumerate(self._changes):
            _replay(slots, change, selected & (steps > number))
        return local_search.to_slots(slots, self._experts)


def _replay(
    slots: numpy.ndarray,
    change: local_search.Change,
    selected: numpy.ndarray,
) -> None:
    layers = numpy.flatnonzero(selected)
    slots[layers, change.rank[layers], change.slot[layers]] = change.expert[
        layers
    ]
    swaps = layers[change.other_rank[layers] >= 0]
    slots[swaps, change.other_rank[swaps], change.other_slot[swaps]] = (
        change.other_expert[swaps]
    )


def _alive(
    current: expert_map.ExpertMap,
    lost: set[int],
) -> numpy.ndarray:
    return numpy.array(
        [rank for rank in range(current.shape.ranks) if rank not in lost],
    )
