"""Prove that a short wave with a stalled rank makes nothing late."""

import unittest

from bench.experiments import surge
from bench.surge import workload

WAVE = workload.Wave(before=1, rise=1, hold=5, fall=1, after=1)


class TestSurge(unittest.TestCase):
    """Play a wave through the product's own classes on paused time."""

    def test_early_refusals_and_nothing_late(self):
        """Three times the capacity arrives, then a group's rank stalls.

        Every caller gets an answer on time or an early refusal; urgent ones
        get their answer.  Streams on the stalled group end on time elsewhere.
        """
        found = surge.run_seed(5, WAVE, ('ours',))['ours']
        self.assertEqual(found['urgent_late'], 0)
        self.assertEqual(found['late_instead_of_refused'], 0)
        self.assertGreater(found['refused'], found['calls'] / 3)
        self.assertGreater(found['small_organisation_on_time_share'], 0.95)
