"""Compare ways of keeping ranks even under the same drifting load.

``static`` keeps the first map, ``replan`` plans anew in each window and
switches with all moves done in time whatever their number, ``ours_even`` and
``ours_few_moves`` are the two profiles.  A plan sees windows two back and
older, some lost, and its map serves from the next window on.
"""

from __future__ import annotations

import collections
import time

import attrs
import numpy

from bench.engines import drift, notices, plan_timer, skew_picture
from tamarackthread.policy import expert_map, forecast, moves, placement

_TUNING_SEEDS = (11, 12)
_KEPT_OUT_SEEDS = (9001, 9002)
_STEP_TOKENS = 65536
_STEPS_A_WINDOW = 4
_LOST_REPORTS = 0.05
_LAG_WINDOWS = 2


@attrs.define(eq=False)
class Variant:
    """One way of planning with its map and what was measured."""

    planner: placement.Planner
    map: expert_map.ExpertMap
    path: notices.PathReplay
    forecasts: bool = False
    always_switches: bool = False
    skews: list[numpy.ndarray] = attrs.Factory(list)
    slowdowns: list[numpy.ndarray] = attrs.Factory(list)
    moved: list[int] = attrs.Factory(list)
    interrupted: list[int] = attrs.Factory(list)
    plan_seconds: list[float] = attrs.Factory(list)

    def serve(self, counts: numpy.ndarray) -> None:
        """Measure steps whose tokens are ``counts[step, layer, expert]``."""
        loads = _step_loads(self.map, counts)
        self.skews.append(expert_map.skew(loads))
        self.slowdowns.append(expert_map.slowdown(loads))

    def move(
        self, outlook: forecast.LoadForecast, calls: list, span: float
    ) -> None:
        """Plan, load what the plan adds, and switch if all was loaded."""
        started = time.perf_counter()
        plan = self.planner.plan(self.map, outlook)
        self.plan_seconds.append(time.perf_counter() - started)
        before = self.path.waits.interrupted
        queue = moves.MoveQueue(
            (moves.Move(*(int(part) for part in row)) for row in plan.moves),
            notices.PathSettings().pieces_each,
        )
        complete = self.path.run(queue, calls, span)
        if complete or self.always_switches:
            self.map = plan.new_map
        self.moved.append(len(plan.moves))
        self.interrupted.append(self.path.waits.interrupted - before)


def run(quick: bool) -> dict:
    """Run all seeds and return the figures; a picture goes to ``out/``."""
    settings = drift.DriftSettings(layers=4 if quick else 8)
    windows = 72 if quick else 576
    tuned, kept_out = _TUNING_SEEDS, _KEPT_OUT_SEEDS
    if quick:
        tuned, kept_out = tuned[:1], kept_out[:1]
    runs = [_Run(seed, settings, windows) for seed in (*tuned, *kept_out)]
    for one in runs:
        one.run()
        print(f'seed {one.seed}: {one.summary()}')
    skew_picture.draw(runs[0].variants, runs[0].span, 'out/skew.png')
    figures = _merge(runs[: len(tuned)])
    figures['kept_out'] = _merge(runs[len(tuned) :])
    figures['goals'] = _goals(figures)
    figures['goals_kept_out'] = _goals(figures['kept_out'])
    figures.update(plan_timer.time_plans(3 if quick else 20))
    figures['plan_layers'] = plan_timer.SHAPE.layers
    figures['seeds'] = {'tuned': tuned, 'kept_out': kept_out}
    figures['windows'] = windows
    return figures


def _step_loads(
    placed: expert_map.ExpertMap,
    counts: numpy.ndarray,
) -> numpy.ndarray:
    """Return loads ``[step, layer, rank]`` of ``counts[step, layer, expert]``.

    An expert's tokens are split evenly between its replicas.
    """
    held = placed.holds()
    replicas = numpy.maximum(held.sum(axis=1), 1)
    share = (counts / replicas).transpose(1, 2, 0)
    return numpy.matmul(held.astype(float), share).transpose(2, 0, 1)


class _Run:
    """Run every variant under the load of one seed."""

    def __init__(
        self,
        seed: int,
        settings: drift.DriftSettings,
        windows: int,
    ) -> None:
        self.seed = seed
        self.span = settings.window_seconds
        self._windows = windows
        self._load = drift.DriftingLoad(seed, settings)
        self._random = numpy.random.default_rng((seed, 1))
        self._shape = expert_map.GroupShape(
            settings.layers,
            settings.experts,
            ranks=32,
            slots=10,
        )
        self._forecaster = forecast.Forecaster(
            forecast.ForecastSettings(window_seconds=self.span),
        )
        self.variants: dict[str, Variant] = {}
        self.oracle: list[numpy.ndarray] = []
        self.bounds: list[numpy.ndarray] = []
        self.sampling: list[numpy.ndarray] = []

    def run(self) -> None:
        shares = self._load.next_window(0)
        self._start(shares)
        seen: collections.deque = collections.deque(maxlen=_LAG_WINDOWS)
        reported = shares
        for number in range(1, self._windows):
            seen.append(shares)
            if len(seen) == _LAG_WINDOWS:
                late = seen[0]
                if self._random.random() > _LOST_REPORTS:
                    reported = late
                    started = (number - _LAG_WINDOWS) * self.span
                    self._forecaster.observe(late * 1e9, started)
            shares = self._load.next_window(number)
            self._serve(shares)
            self._plan(reported, number)

    def summary(self) -> dict:
        return {
            name: round(float(numpy.mean(variant.skews)), 3)
            for name, variant in self.variants.items()
        }

    def _start(self, shares: numpy.ndarray) -> None:
        outlook = forecast.LoadForecast(shares, self.span)
        cold = expert_map.cold_start(self._shape)
        first = placement.GreedyPlanner().plan(cold, outlook).new_map
        path = notices.PathSettings()
        paused = {'pauses': True, 'settings': path}
        self.variants = {
            'static': Variant(
                placement.StaticPlanner(),
                first,
                notices.PathReplay(**paused),
            ),
            'replan': Variant(
                placement.GreedyPlanner(),
                first,
                notices.PathReplay(path, pauses=False),
                always_switches=True,
            ),
            'ours_even': Variant(
                placement.IncrementalPlanner(placement.EVEN),
                first,
                notices.PathReplay(**paused),
                forecasts=True,
            ),
            'ours_few_moves': Variant(
                placement.IncrementalPlanner(placement.FEW_MOVES),
                first,
                notices.PathReplay(**paused),
                forecasts=True,
            ),
        }

    def _serve(self, shares: numpy.ndarray) -> None:
        size = (_STEPS_A_WINDOW, *shares.shape)
        counts = self._random.poisson(shares * _STEP_TOKENS, size)
        for variant in self.variants.values():
            variant.serve(counts)
        # Equal expected loads: what is left is each step's own draw.
        equal = _STEP_TOKENS / self._shape.ranks
        ranks = (_STEPS_A_WINDOW, self._shape.layers, self._shape.ranks)
        draws = self._random.poisson(equal, ranks)
        self.sampling.append(expert_map.skew(draws))
        self.bounds.append(expert_map.skew_bound(shares, self._shape))
        known = forecast.LoadForecast(shares, self.span)
        today = self.variants['static'].map
        best = placement.GreedyPlanner().plan(today, known)
        served = _step_loads(best.new_map, counts)
        self.oracle.append(expert_map.skew(served))

    def _plan(self, reported: numpy.ndarray, number: int) -> None:
        calls = notices.draw_notices(
            self._random,
            self.span,
            notices.PathSettings(),
        )
        plain = forecast.LoadForecast(reported, self.span)
        ahead = plain
        if not self._forecaster.is_cold:
            ahead = self._forecaster.forecast((number + 1) * self.span)
        for variant in self.variants.values():
            outlook = ahead if variant.forecasts else plain
            variant.move(outlook, calls, self.span)


def _merge(runs: list[_Run]) -> dict:
    figures: dict = {}
    for name in runs[0].variants:
        variants = [one.variants[name] for one in runs]
        skews = numpy.concatenate([one.skews for one in variants])
        slow = numpy.concatenate([one.slowdowns for one in variants])
        waits = [one.path.waits for one in variants]
        figures[name] = {
            'skew_mean': round(float(skews.mean()), 4),
            'skew_p99': round(float(numpy.quantile(skews, 0.99)), 4),
            'slowdown_mean': round(float(slow.mean()), 4),
            'weights_moved': sum(sum(one.moved) for one in variants),
            'urgent_delayed': sum(one.delayed for one in waits),
            'urgent_notices': sum(one.notices for one in waits),
            'urgent_wait_max_ms': round(
                max(one.longest for one in waits) * 1000,
                4,
            ),
            'pieces_interrupted': sum(one.interrupted for one in waits),
            'plans_unfinished': sum(one.unfinished for one in waits),
        }
    figures['bound'] = {
        'placement': _mean([one.bounds for one in runs]),
        'sampling': _mean([one.sampling for one in runs]),
        'known_shares': _mean([one.oracle for one in runs]),
    }
    return figures


def _mean(parts: list) -> float:
    return round(float(numpy.concatenate(parts).mean()), 4)


def _goals(figures: dict) -> dict:
    static, replan = figures['static'], figures['replan']
    even, few = figures['ours_even'], figures['ours_few_moves']
    moved = replan['weights_moved']
    return {
        'even_skew_to_replan': round(
            even['skew_mean'] / replan['skew_mean'],
            3,
        ),
        'even_moves_to_replan': round(even['weights_moved'] / moved, 4),
        'few_skew_to_static': round(few['skew_mean'] / static['skew_mean'], 3),
        'few_moves_to_replan': round(few['weights_moved'] / moved, 4),
    }
