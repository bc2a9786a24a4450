"""Prove that the owner of a group's maps knows how long its steps take."""

import unittest

from tamarackthread.control.site.maps import group_state, ranks, switching
from tamarackthread.shared.site import configuration

SHAPE = configuration.Experts(sets=1, experts=8, places=4, spare=2)
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
        self.known = group_state.GroupState(SHAPE, gap=0.15, min_step=EMPTY)
        self.known.update_from(report(0, 100), 1.0)
        self.known.update_from(report(0, 105), 1.0 + 5 * STEP)

    def test_usual(self):
        """Two reports of one rank, far enough apart, tell the step."""
        self.assertAlmostEqual(STEP, self.known.step_seconds)

    def test_fresher_report_of_another_rank(self):
        """A group keeps the map of a demand that is over for six seconds.

        The first rank's report is four steps old and another one's is new, both
        asked for within a hundredth of a second.  A step seems to take 3 ms, and
        the next switch is armed for a step that comes ten seconds late; until
        then the ranks refuse every other map.
        """
        self.known.update(group(105, 109), 1.312)
        self.assertAlmostEqual(STEP, self.known.step_seconds)

    def test_report_made_anew(self):
        """The rank's report is made anew between two questions, four steps on."""
        self.known.update_from(report(0, 109), 1.312)
        self.assertAlmostEqual(STEP, self.known.step_seconds)

    def test_least(self):
        """No step is shorter than one of a group without calls."""
        self.known.update_from(report(0, 205), 2.0)
        self.assertAlmostEqual(EMPTY, self.known.step_seconds)

    def test_longer_steps(self):
        """Demand has shifted: the next two reports tell of longer steps."""
        self.known.update_from(report(0, 109), 1.3 + 4 * 0.15)
        self.assertAlmostEqual(0.15, self.known.step_seconds)
