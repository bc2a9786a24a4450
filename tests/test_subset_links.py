"""Prove that entries share out the targets and follow each other's changes."""

import collections
import unittest

from tamarackthread.policy import subset_ranking, subsets

ZONES = ('a', 'b', 'c')


def places(kind, count):
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
        self.entries = places('entry', 30)
        self.targets = places('target', 120)

    def test_each_target_has_its_share_of_entries(self):
        counted = collections.Counter()
        for entry in self.entries.values():
            chosen = subset_of(entry, self.entries, self.targets)
            self.assertGreaterEqual(len(chosen), 12)
            counted.update(chosen)
        self.assertEqual(set(counted), set(self.targets))
        self.assertGreaterEqual(min(counted.values()), 3)

    def test_following_changes_gives_the_same_as_working_it_out_anew(self):
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
        anew = subset_of(own, self.entries, self.targets)
        self.assertEqual(ranked.choose(12, lambda name: True), anew)

    def test_lost_targets_are_made_up_for(self):
        """An entry whose targets are lost finds others at once.

        A zone's targets stop answering; the subset is widened by as many as
        are lost, and the lost ones stay in it to be found again.
        """
        own = self.entries['entry-3']
        before = subset_of(own, self.entries, self.targets)
        lost = {name for name in before if self.targets[name].zone == 'a'}
        after = subset_of(own, self.entries, self.targets, unusable=lost)
        self.assertTrue(lost)
        self.assertTrue(before <= after)
        self.assertGreaterEqual(len(after - lost), 12)

    def test_small_service_is_taken_whole(self):
        few = places('target', 12)
        chosen = subset_of(self.entries['entry-0'], self.entries, few)
        self.assertEqual(chosen, set(few))
