"""Test the planners of expert maps and the load forecast."""

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


def _forecast(seed: int, spread: float = 1) -> forecast.LoadForecast:
    return forecast.LoadForecast(_shares(seed, spread), 600)


def _duplicates(placed: expert_map.ExpertMap) -> int:
    filled = (placed.slots >= 0).sum()
    return int(filled - placed.holds().sum())


class TestPlans(unittest.TestCase):
    """Check the maps of every planner."""

    @hypothesis.settings(max_examples=25, deadline=None, derandomize=True)
    @hypothesis.given(
        strategies.integers(0, 10**6),
        strategies.floats(0.1, 2),
        strategies.sets(strategies.integers(0, 7), max_size=2),
    )
    def test_valid(self, seed: int, spread: float, lost: set[int]) -> None:
        """Maps have all experts, no duplicates and no experts on lost ranks."""
        current = expert_map.cold_start(SHAPE)
        for planner in PLANNERS:
            plan = planner.plan(current, _forecast(seed, spread), lost)
            plan.new_map.check()
            self.assertEqual(_duplicates(plan.new_map), 0)
            lost_slots = plan.new_map.slots[expert_map.ALL, sorted(lost)]
            self.assertTrue((lost_slots == expert_map.EMPTY).all())

    @hypothesis.settings(max_examples=25, deadline=None, derandomize=True)
    @hypothesis.given(strategies.integers(0, 10**6), strategies.floats(0.1, 3))
    def test_bound(self, seed: int, spread: float) -> None:
        """No plan has less skew than the lower bound for any placement."""
        load_forecast = _forecast(seed, spread)
        bound = expert_map.skew_bound(load_forecast.shares, SHAPE)
        for planner in PLANNERS:
            plan = planner.plan(expert_map.cold_start(SHAPE), load_forecast)
            loads = plan.new_map.rank_loads(load_forecast.shares)
            skew = expert_map.skew(loads)
            self.assertTrue((skew >= bound - 1e-9).all())

    def test_even_map_stays(self) -> None:
        """A balanced map stays, since no move would pay off."""
        planner = placement.IncrementalPlanner(placement.FEW_MOVES)
        load_forecast = _forecast(1)
        even = placement.GreedyPlanner().plan(
            expert_map.cold_start(SHAPE),
            load_forecast,
        )
        plan = planner.plan(even.new_map, load_forecast)
        self.assertFalse(plan.is_change)
        self.assertEqual(plan.new_map.digest(), even.new_map.digest())

    def test_cap(self) -> None:
        """A plan keeps the profile's limit on moves per layer."""
        cap = placement.FEW_MOVES.max_moves_per_layer
        planner = placement.IncrementalPlanner(placement.FEW_MOVES)
        plan = planner.plan(expert_map.cold_start(SHAPE), _forecast(3, 2))
        self.assertTrue(plan.is_change)
        counts = numpy.bincount(plan.moves[..., 0])
        self.assertLessEqual(counts.max(), cap)

    def test_profiles_differ(self) -> None:
        """The EVEN settings move more and end with less skew than FEW_MOVES."""
        current = expert_map.cold_start(SHAPE)
        even, few_moves = (
            placement.IncrementalPlanner(weights).plan(current, _forecast(4))
            for weights in (placement.EVEN, placement.FEW_MOVES)
        )
        self.assertGreater(len(even.moves), len(few_moves.moves))
        self.assertLess(even.skew_after, few_moves.skew_after)
        self.assertLess(few_moves.skew_after, few_moves.skew_before)

    def test_rank_lost(self) -> None:
        """After the loss of a rank, exactly the experts without a replica move,
        since no token routed to them could be computed.
        """
        current = expert_map.cold_start(SHAPE)
        sole_experts = {
            int(one)
            for one in current.without_ranks({0}).without_replica()[..., 1]
        }
        self.assertTrue(sole_experts)
        plan = placement.StaticPlanner().plan(current, _forecast(5), {0})
        plan.new_map.check()
        self.assertEqual(
            {int(expert) for _, _, expert in plan.moves}, sole_experts
        )

    def test_rank_added(self) -> None:
        """A new, empty rank takes load from the others."""
        current = expert_map.cold_start(SHAPE).without_ranks({7})
        planner = placement.IncrementalPlanner(placement.EVEN)
        covered = (
            placement.StaticPlanner().plan(current, _forecast(6), {7}).new_map
        )
        plan = planner.plan(covered, _forecast(6))
        self.assertTrue((plan.new_map.slots[expert_map.ALL, 7] >= 0).any())
        self.assertLess(plan.skew_after, plan.skew_before / 2)

    def test_too_few_slots(self) -> None:
        """Planning raises if the remaining ranks cannot hold all experts."""
        current = expert_map.cold_start(SHAPE)
        for planner in PLANNERS:
            with self.assertRaises(expert_map.ExpertMapInvalid):
                planner.plan(current, _forecast(7), {0, 1, 2})

    def test_json(self) -> None:
        """A map survives encoding; malformed JSON is refused."""
        current = expert_map.cold_start(SHAPE)
        decoded = expert_map.from_json(current.to_json())
        self.assertEqual(decoded.digest(), current.digest())
        for text in ('', '{}', '[]', current.to_json().replace('31', '99')):
            with self.assertRaises(expert_map.ExpertMapInvalid):
                expert_map.from_json(text)


class TestForecast(unittest.TestCase):
    """Check the forecast from late and repeated reports."""

    def setUp(self) -> None:
        """Use windows of an hour, so that a day has only 24."""
        settings = forecast.ForecastSettings(window_seconds=3600)
        self._forecaster = forecast.Forecaster(settings)

    def _observe(self, tokens: numpy.ndarray, window: int) -> None:
        self._forecaster.observe(tokens, window * 3600)

    def test_cold(self) -> None:
        """The forecaster is cold until the first window."""
        self.assertTrue(self._forecaster.is_cold)
        self._observe(_shares(1), 0)
        self.assertFalse(self._forecaster.is_cold)

    def test_late_report(self) -> None:
        """Repeated and overtaken reports are ignored."""
        self._observe(_shares(1), 5)
        self._observe(_shares(2), 5)
        self._observe(_shares(3), 4)
        forecast_shares = self._forecaster.forecast(6 * 3600).shares
        numpy.testing.assert_allclose(forecast_shares, _shares(1))

    def test_empty_report(self) -> None:
        """A report without tokens keeps the forecast."""
        self._observe(_shares(1), 0)
        self._observe(numpy.zeros((SHAPE.layers, SHAPE.experts)), 1)
        forecast_shares = self._forecaster.forecast(2 * 3600).shares
        numpy.testing.assert_allclose(forecast_shares, _shares(1))

    def test_sudden_change(self) -> None:
        """The forecast follows a sudden change within one window."""
        for window in range(6):
            self._observe(_shares(1), window)
            self._forecaster.forecast((window + 1) * 3600)
        self._observe(_shares(2), 6)
        forecast_shares = self._forecaster.forecast(7 * 3600).shares
        error = numpy.abs(forecast_shares - _shares(2)).sum(axis=1).max()
        self.assertLess(error, numpy.abs(_shares(1) - _shares(2)).sum() / 30)

    def test_day(self) -> None:
        """The daily pattern lowers the error against the last value."""
        days = 4
        errors = []
        for window in range(days * 24):
            self._observe(_daily(window), window)
            forecast_shares = self._forecaster.forecast(
                (window + 3) * 3600
            ).shares
            due = _daily(window + 3)
            errors.append(
                (
                    numpy.abs(forecast_shares - due).sum(),
                    numpy.abs(_daily(window) - due).sum(),
                ),
            )
        forecast_error, naive_error = numpy.array(errors[-24:]).mean(axis=0)
        self.assertLess(forecast_error, naive_error)


def _daily(window: int) -> numpy.ndarray:
    day_share = 0.5 + 0.4 * numpy.sin(window / 24 * 2 * numpy.pi)
    return day_share * _shares(1) + (1 - day_share) * _shares(2)
