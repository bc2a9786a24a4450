"""Test that subsets divide targets evenly and follow membership changes."""

import collections
import unittest

from tamarackthread.policy import subset_ranking, subsets

ZONES = ('a', 'b', 'c')


def endpoints(kind, count):
    return {
        f'{kind}-{number}': subsets.Endpoint(
            f'{kind}-{number}',
            ZONES[number % len(ZONES)],
        )
        for number in range(count)
    }


def subset_of(entry, entries, targets, size=12, unusable=()):
    ranked = subset_ranking.RankedTargets(entry)
    ranked.set_entries(entries)
    ranked.set_targets(targets)
    return ranked.choose(size, lambda name: name not in unusable)


class SubsetCase(unittest.TestCase):
    def setUp(self):
        self.entries = endpoints('entry', 30)
        self.targets = endpoints('target', 120)

    def test_each_target_has_its_share_of_entries(self):
        counts = collections.Counter()
        for entry in self.entries.values():
            chosen = subset_of(entry, self.entries, self.targets)
            self.assertGreaterEqual(len(chosen), 12)
            counts.update(chosen)
        self.assertEqual(set(counts), set(self.targets))
        self.assertGreaterEqual(min(counts.values()), 3)

    def test_incremental_updates_equal_a_full_computation(self):
        own = self.entries['entry-3']
        ranked = subset_ranking.RankedTargets(own)
        ranked.set_entries(self.entries)
        ranked.set_targets(self.targets)
        for name in ('entry-1', 'entry-9', 'target-7'):
            self.entries.pop(name, None)
            self.targets.pop(name, None)
        self.entries['entry-99'] = subsets.Endpoint('entry-99', 'b')
        ranked.set_entries(self.entries)
        ranked.set_targets(self.targets)
        recomputed = subset_of(own, self.entries, self.targets)
        self.assertEqual(ranked.choose(12, lambda name: True), recomputed)

    def test_lost_targets_are_replaced(self):
        """Lost targets are replaced in the subset and stay in it, so that their
        recovery is noticed.
        """
        own = self.entries['entry-3']
        before = subset_of(own, self.entries, self.targets)
        lost = {name for name in before if self.targets[name].zone == 'a'}
        after = subset_of(own, self.entries, self.targets, unusable=lost)
        self.assertTrue(lost)
        self.assertTrue(before <= after)
        self.assertGreaterEqual(len(after - lost), 12)

    def test_small_service_has_no_subsets(self):
        few_targets = endpoints('target', 12)
        chosen = subset_of(self.entries['entry-0'], self.entries, few_targets)
        self.assertEqual(chosen, set(few_targets))
