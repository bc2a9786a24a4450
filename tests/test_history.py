"""Test simulated histories by seed, and that faults in the code are found."""

from __future__ import annotations

import types
import unittest

from bench.history import breaks, checker, events, runner

SOUND_SEEDS = (1, 2, 3, 46, 72)
BROKEN = types.MappingProxyType(
    {
        'skip-log-sync': 1,
        'drop-lease-check': 2,
        'ignore-based-on': 1,
    }
)


def change(**changed) -> events.Operation:
    """Build an accepted change that differs by ``changed``."""
    fields = {
        'caller': 1,
        'outcome': events.ACCEPTED,
        'name': 'meadow',
        'began': 1,
        'ended': 2,
        'change_id': 'c1',
        'version': 1,
        'body': 'one',
    }
    return events.Operation(**(fields | changed))


class HistoryTest(unittest.TestCase):
    """Test whole simulations."""

    def test_sound_seeds(self) -> None:
        """Guards against violations under any kind of fault."""
        for seed in SOUND_SEEDS:
            with self.subTest(seed=seed):
                verdict = runner.run_seed(seed)
                shown = ''
                if verdict.violations:
                    shown = verdict.history.render()
                self.assertEqual([], verdict.violations, shown)

    def test_same_seed_same_history(self) -> None:
        """Guards against simulations that a seed doesn't reproduce."""
        first, second = runner.run_seed(5), runner.run_seed(5)
        self.assertEqual(first.history.render(), second.history.render())

    def test_breaks_are_found(self) -> None:
        """Guards against a checker that misses a removed safeguard."""
        for broken in breaks.ALL:
            seed = BROKEN.get(broken.name)
            if seed is None:
                continue
            with self.subTest(broken.name), broken.apply():
                self.assertTrue(runner.run_seed(seed).violations)


class CheckerTest(unittest.TestCase):
    """Test the checker on handwritten histories."""

    def test_stale_read(self) -> None:
        """Guards against missing a read that lacks an earlier change."""
        read = change(
            outcome=events.READ, began=3, ended=4, version=0, change_id=''
        )
        self._assert_found('order', change(), read)

    def test_two_winners(self) -> None:
        """Guards against missing two changes that made one version."""
        other = change(change_id='c2', body='two')
        self._assert_found('order', change(), other)

    def test_wrong_base(self) -> None:
        """Guards against missing a change that skipped a version."""
        late = change(change_id='c2', body='two', version=3, based_on=1)
        self._assert_found('based on', late)

    def test_lost_change(self) -> None:
        """Guards against missing the loss of an accepted change."""
        self._assert_found('lost', change())

    def test_effective_refusal(self) -> None:
        """Guards against missing a refused change that was applied."""
        applied = events.Applied(
            node='h1', index=3, digest=1, change_id='c1', is_fresh_accept=True
        )
        for outcome in (events.REFUSED, events.CONFLICT):
            refused = change(outcome=outcome)
            history = events.History(seed=0, operations=[refused])
            history.applied.append(applied)
            self._assert_names('refusal', history)

    def test_two_leaders(self) -> None:
        """Guards against missing two leaders in one term."""
        history = events.History(seed=0, accepted_by={2: {'h1', 'h2'}})
        self._assert_names('leader', history)

    def _assert_found(self, rule: str, *done: events.Operation) -> None:
        history = events.History(seed=0, operations=list(done))
        history.kept.append(
            events.Kept(node='h1', state=1, versions={}, answers={})
        )
        self._assert_names(rule, history)

    def _assert_names(self, rule: str, history: events.History) -> None:
        names = {row.split(':')[0] for row in checker.check(history)}
        self.assertIn(rule, names)
