"""Prove that the owner's maps and the entries' choice bear a heavy load."""

import unittest

from bench.experiments import heavy

SEED = 17
SECONDS = 4.0


def play(pattern, variant):
    """Play one pattern with the variant of a name."""
    chosen = next(one for one in heavy.VARIANTS if one.name == variant)
    return heavy._play(pattern, chosen, SEED, SECONDS)


class HeavyCase(unittest.TestCase):
    def test_shifting_demand(self):
        """Other experts come into demand every 2.3 s.

        With the first map one rank has three times the mean from then on and
        every caller of the group waits for it.  The owner's maps take off
        more than a third of that, its own time to see a shift included.
        """
        pattern = heavy.PATTERNS[0]
        static = play(pattern, 'least_own_static')
        ours = play(pattern, 'ours')
        self.assertLess(ours['skew_mean'], 0.67 * static['skew_mean'])
        self.assertGreater(ours['on_time_share'], static['on_time_share'] + 0.1)
        self.assertLess(ours['first_p50_ms'], static['first_p50_ms'])

    def test_slow_rank(self):
        """One rank takes four times as long, and no call needs to be there.

        Chosen by calls in flight alone it gets its share, and its own work
        sets the time of every step.
        """
        pattern = heavy.PATTERNS[2]
        by_count = play(pattern, 'least_own_ours')
        ours = play(pattern, 'ours')
        self.assertGreater(ours['on_time_share'], by_count['on_time_share'])
