"""Test that a roll-out stops at the first group with a regression."""

import unittest

from bench.experiments import switch as experiment
from tamarackthread.agent import order_errors, rollout


class _Group(rollout.RolloutGroup):
    """Fake a group whose step time depends on its version and the load."""

    def __init__(self, name: str, world: dict[str, float]) -> None:
        self._name = name
        self._world = world
        self.versions = ['v1']

    @property
    def name(self) -> str:
        """Return the name."""
        return self._name

    async def load_version(self, version: str, rollout_id: str) -> str:
        """Load the version at once."""
        previous = self.versions[-1]
        if version == 'broken':
            raise order_errors.EngineFailed('no such version')
        self.versions.append(version)
        self._world['wave'] *= self._world['growth']
        return previous

    async def health(self, seconds: float) -> rollout.GroupHealth:
        """Slow down under the version 'slow', fail under 'failing'."""
        version = self.versions[-1]
        slow = 1.3 if version == 'slow' else 1
        failed = 0.02 if version == 'failing' else 0
        return rollout.GroupHealth(6 * slow * self._world['wave'], failed)


class TestRollout(unittest.TestCase):
    """Roll versions out over three groups."""

    def setUp(self) -> None:
        """Build groups that share one load."""
        self._world: dict[str, float] = {'wave': 1, 'growth': 1}
        self._groups = [_Group(name, self._world) for name in 'abc']

    def _rollout(self, version: str) -> rollout.Rollout:
        limits = rollout.RolloutLimits()
        return rollout.Rollout('r1', version, self._groups, limits)

    def _versions(self) -> list[str]:
        return [group.versions[-1] for group in self._groups]

    def test_good(self) -> None:
        """A good version reaches every group."""
        rolling = self._rollout('v2')
        experiment.run_paused(rolling.run)
        self.assertEqual(self._versions(), ['v2', 'v2', 'v2'])
        self.assertEqual(rolling.progress.left, ())

    def test_regression(self) -> None:
        """A version that slows or fails is rolled back; the rest is untouched."""
        for version in ('slow', 'failing', 'broken'):
            with self.subTest(version=version):
                rolling = self._rollout(version)
                with self.assertRaises(order_errors.RolloutStopped):
                    experiment.run_paused(rolling.run)
                self.assertEqual(self._versions(), ['v1', 'v1', 'v1'])
                self.assertIn('a: ', rolling.progress.stopped)

    def test_load_change(self) -> None:
        """A change of load that slows every group is not a regression."""
        self._world['growth'] = 1.4
        groups = self._groups[:2]
        rolling = rollout.Rollout('r', 'v2', groups, rollout.RolloutLimits())
        # The last group has no other one left to compare with.
        with self.assertRaisesRegex(order_errors.RolloutStopped, 'b: '):
            experiment.run_paused(rolling.run)

    def test_operator_stops(self) -> None:
        """After a stop by an operator no further group is upgraded."""
        rolling = self._rollout('v2')
        rolling.stop('asked to')
        with self.assertRaises(order_errors.RolloutStopped):
            experiment.run_paused(rolling.run)
        self.assertEqual(self._versions(), ['v1', 'v1', 'v1'])
