"""Prove what a planned expert map promises."""

import unittest

import hypothesis
import numpy
from hypothesis import strategies

from tamarackthread.policy import expert_map, forecast, placement

SHAPE = expert_map.GroupShape(layers=3, experts=32, ranks=8, slots=6)
PLANNERS = (
    placement.StaticPlanner(),
    placement.GreedyPlanner(),
    placement.IncrementalPlanner(placement.EVEN),
    placement.IncrementalPlanner(placement.FEW_MOVES),
)


def _shares(seed: int, spread: float = 1) -> numpy.ndarray:
    random = numpy.random.default_rng(seed)
    size = (SHAPE.layers, SHAPE.experts)
    tokens = random.lognormal(0, spread, size)
    return tokens / tokens.sum(axis=1, keepdims=True)


def _outlook(seed: int, spread: float = 1) -> forecast.LoadForecast:
    return forecast.LoadForecast(_shares(seed, spread), 600)


def _repeats(placed: expert_map.ExpertMap) -> int:
    filled = (placed.slots >= 0).sum()
    return int(filled - placed.holds().sum())


class TestPlans(unittest.TestCase):
    """Check every planner's maps."""

    @hypothesis.settings(max_examples=25, deadline=None, derandomize=True)
    @hypothesis.given(
        strategies.integers(0, 10**6),
        strategies.floats(0.1, 2),
        strategies.sets(strategies.integers(0, 7), max_size=2),
    )
    def test_valid(self, seed: int, spread: float, lost: set[int]) -> None:
        """Each expert has a replica, none twice on a rank, none on lost."""
        today = expert_map.cold_start(SHAPE)
        for planner in PLANNERS:
            plan = planner.plan(today, _outlook(seed, spread), lost)
            plan.new_map.check()
            self.assertEqual(_repeats(plan.new_map), 0)
            gone = plan.new_map.slots[expert_map.ALL, sorted(lost)]
            self.assertTrue((gone == expert_map.EMPTY).all())

    @hypothesis.settings(max_examples=25, deadline=None, derandomize=True)
    @hypothesis.given(strategies.integers(0, 10**6), strategies.floats(0.1, 3))
    def test_bound(self, seed: int, spread: float) -> None:
        """No plan is more even than the bound for any placement."""
        outlook = _outlook(seed, spread)
        bound = expert_map.skew_bound(outlook.shares, SHAPE)
        for planner in PLANNERS:
            plan = planner.plan(expert_map.cold_start(SHAPE), outlook)
            loads = plan.new_map.rank_loads(outlook.shares)
            skew = expert_map.skew(loads)
            self.assertTrue((skew >= bound - 1e-9).all())

    def test_even_map_stays(self) -> None:
        """A map that is even enough is left alone: no move pays."""
        planner = placement.IncrementalPlanner(placement.FEW_MOVES)
        outlook = _outlook(1)
        even = placement.GreedyPlanner().plan(
            expert_map.cold_start(SHAPE),
            outlook,
        )
        plan = planner.plan(even.new_map, outlook)
        self.assertFalse(plan.is_change)
        self.assertEqual(plan.new_map.digest(), even.new_map.digest())

    def test_cap(self) -> None:
        """One plan never moves more than the profile's cap in a layer."""
        cap = placement.FEW_MOVES.max_moves_per_layer
        planner = placement.IncrementalPlanner(placement.FEW_MOVES)
        plan = planner.plan(expert_map.cold_start(SHAPE), _outlook(3, 2))
        self.assertTrue(plan.is_change)
        counts = numpy.bincount(plan.moves[..., 0])
        self.assertLessEqual(counts.max(), cap)

    def test_profiles_differ(self) -> None:
        """Even moves more and ends more even than few moves."""
        today = expert_map.cold_start(SHAPE)
        even, few = (
            placement.IncrementalPlanner(weights).plan(today, _outlook(4))
            for weights in (placement.EVEN, placement.FEW_MOVES)
        )
        self.assertGreater(len(even.moves), len(few.moves))
        self.assertLess(even.skew_after, few.skew_after)
        self.assertLess(few.skew_after, few.skew_before)

    def test_rank_lost(self) -> None:
        """Callers see their answers go on after a rank is lost.

        The rank's sole experts have no replica left; the plan gives each a
        slot on another rank, whatever its moves cost, since no token of
        theirs could be computed.
        """
        today = expert_map.cold_start(SHAPE)
        sole = {
            int(one)
            for one in today.without_ranks({0}).without_replica()[..., 1]
        }
        self.assertTrue(sole)
        plan = placement.StaticPlanner().plan(today, _outlook(5), {0})
        plan.new_map.check()
        self.assertEqual({int(expert) for _, _, expert in plan.moves}, sole)

    def test_rank_added(self) -> None:
        """A rank that is new and empty takes load from the others."""
        today = expert_map.cold_start(SHAPE).without_ranks({7})
        planner = placement.IncrementalPlanner(placement.EVEN)
        covered = (
            placement.StaticPlanner().plan(today, _outlook(6), {7}).new_map
        )
        plan = planner.plan(covered, _outlook(6))
        self.assertTrue((plan.new_map.slots[expert_map.ALL, 7] >= 0).any())
        self.assertLess(plan.skew_after, plan.skew_before / 2)

    def test_too_few_slots(self) -> None:
        """A group that cannot hold its experts is an error, not a map."""
        today = expert_map.cold_start(SHAPE)
        for planner in PLANNERS:
            with self.assertRaises(expert_map.ExpertMapInvalid):
                planner.plan(today, _outlook(7), {0, 1, 2})

    def test_json(self) -> None:
        """A map survives its way through an order, nonsense does not."""
        today = expert_map.cold_start(SHAPE)
        again = expert_map.from_json(today.to_json())
        self.assertEqual(again.digest(), today.digest())
        for text in ('', '{}', '[]', today.to_json().replace('31', '99')):
            with self.assertRaises(expert_map.ExpertMapInvalid):
                expert_map.from_json(text)


class TestForecast(unittest.TestCase):
    """Check the forecast from late reports."""

    def setUp(self) -> None:
        """Start cold with windows of an hour, so that a day is short."""
        settings = forecast.ForecastSettings(window_seconds=3600)
        self._forecaster = forecast.Forecaster(settings)

    def _observe(self, tokens: numpy.ndarray, window: int) -> None:
        self._forecaster.observe(tokens, window * 3600)

    def test_cold(self) -> None:
        """Nothing is known before the first window."""
        self.assertTrue(self._forecaster.is_cold)
        self._observe(_shares(1), 0)
        self.assertFalse(self._forecaster.is_cold)

    def test_late_report(self) -> None:
        """A report that comes again, or after a newer one, changes nothing."""
        self._observe(_shares(1), 5)
        self._observe(_shares(2), 5)
        self._observe(_shares(3), 4)
        seen = self._forecaster.forecast(6 * 3600).shares
        numpy.testing.assert_allclose(seen, _shares(1))

    def test_empty_report(self) -> None:
        """A report without tokens is no reason to forget the load."""
        self._observe(_shares(1), 0)
        self._observe(numpy.zeros((SHAPE.layers, SHAPE.experts)), 1)
        seen = self._forecaster.forecast(2 * 3600).shares
        numpy.testing.assert_allclose(seen, _shares(1))

    def test_sudden_change(self) -> None:
        """One window after a topic change the forecast has followed it."""
        for window in range(6):
            self._observe(_shares(1), window)
            self._forecaster.forecast((window + 1) * 3600)
        self._observe(_shares(2), 6)
        seen = self._forecaster.forecast(7 * 3600).shares
        missed = numpy.abs(seen - _shares(2)).sum(axis=1).max()
        self.assertLess(missed, numpy.abs(_shares(1) - _shares(2)).sum() / 30)

    def test_day(self) -> None:
        """What yesterday did after this hour lowers the error."""
        days = 4
        errors = []
        for window in range(days * 24):
            self._observe(_daily(window), window)
            seen = self._forecaster.forecast((window + 3) * 3600).shares
            due = _daily(window + 3)
            errors.append(
                (
                    numpy.abs(seen - due).sum(),
                    numpy.abs(_daily(window) - due).sum(),
                ),
            )
        ours, last = numpy.array(errors[-24:]).mean(axis=0)
        self.assertLess(ours, last)


def _daily(window: int) -> numpy.ndarray:
    part = 0.5 + 0.4 * numpy.sin(window / 24 * 2 * numpy.pi)
    return part * _shares(1) + (1 - part) * _shares(2)
