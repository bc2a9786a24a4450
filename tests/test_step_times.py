"""Test the owner's estimate of a group's step time."""

import unittest

from tamarackthread.control.site.maps import group_state, ranks, switching
from tamarackthread.shared.site import configuration

SHAPE = configuration.ExpertLayout(sets=1, experts=8, places=4, spare=2)
EMPTY = 0.02
STEP = 0.06


def report(rank, step):
    return ranks.RankReport(
        group='g',
        epoch=1,
        rank=rank,
        size=2,
        is_open=True,
        step=step,
        version=1,
    )


def group(*steps):
    reports = tuple(report(rank, step) for rank, step in enumerate(steps))
    members = tuple(ranks.Rank(f't{rank}', f'a{rank}') for rank in range(2))
    return switching.Group(name='g', epoch=1, members=members, reports=reports)


class StepCase(unittest.TestCase):
    def setUp(self):
        self.state = group_state.GroupState(SHAPE, gap=0.15, min_step=EMPTY)
        self.state.update_from(report(0, 100), 1.0)
        self.state.update_from(report(0, 105), 1.0 + 5 * STEP)

    def test_two_reports(self):
        """Two reports of one rank, far enough apart, give the step time."""
        self.assertAlmostEqual(STEP, self.state.step_seconds)

    def test_fresher_report_of_another_rank(self):
        """A newer report of another rank does not shorten the step time.

        The next switch would be scheduled far too late.
        """
        self.state.update(group(105, 109), 1.312)
        self.assertAlmostEqual(STEP, self.state.step_seconds)

    def test_reports_close_in_time(self):
        """Two reports close in time do not shorten the step time."""
        self.state.update_from(report(0, 109), 1.312)
        self.assertAlmostEqual(STEP, self.state.step_seconds)

    def test_minimum(self):
        """The step time is at least that of a group without calls."""
        self.state.update_from(report(0, 205), 2.0)
        self.assertAlmostEqual(EMPTY, self.state.step_seconds)

    def test_longer_steps(self):
        """Longer steps show in the next two reports."""
        self.state.update_from(report(0, 109), 1.3 + 4 * 0.15)
        self.assertAlmostEqual(0.15, self.state.step_seconds)
