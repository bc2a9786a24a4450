"""Test routing policies, subsets and ejection."""

import collections
import math
import random
import unittest

import hypothesis
from hypothesis import strategies

from tamarackthread.policy import ejection, routing, subset_ranking, subsets
from tests import policy_case


def policy():
    return routing.ExpectedFirstToken('east', random.Random(policy_case.SEED))


class TestRouting(unittest.TestCase):
    """Choose targets by expected time to first token."""

    def setUp(self):
        self.near = [policy_case.view(f'near-{rank}') for rank in range(2)]
        self.far = [policy_case.view('far', zone='west')]
        self.views = self.near + self.far

    def choose(self, routing_policy=None, call=None, now=0.0):
        return (routing_policy or policy()).choose(
            call or policy_case.call(), self.views, now
        )

    def test_spills_before_it_queues(self):
        """Calls go to another zone when their own has no free slot."""
        self.assertEqual(self.choose().zone, 'east')
        for view in self.near:
            view.load.report(policy_case.report(1, running=4), 0.0)
        self.assertEqual(self.choose().name, 'far')

    def test_leaving_and_stuck_get_nothing(self):
        self.near[0].load.report(policy_case.report(1, leaving=True), 0.0)
        self.near[1].load.report(policy_case.report(1, stuck=True), 0.0)
        chosen = {self.choose().name for _ in range(20)}
        self.assertEqual(chosen, {'far'})

    def test_excluded_target(self):
        tried = frozenset(view.name for view in self.views)
        self.assertIsNone(
            self.choose(call=policy_case.call(excluded=tried)),
        )

    def test_affinity_is_bounded(self):
        """A popular prefix does not concentrate all of its calls on the target
        that has it cached.
        """
        self.views = [policy_case.view(f't-{rank}') for rank in range(8)]
        hot = self.views[0]
        call = policy_case.call(prompt_tokens=768, prefixes=tuple(range(6)))
        hot.prefixes.sent(call.prefixes)
        self.assertIs(self.choose(call=call), hot)
        for _ in range(3):
            hot.load.first_token(hot.load.sent(100, 0.0), 0.0)
        routing_policy = policy()
        chosen = [self.choose(routing_policy, call) for _ in range(40)]
        self.assertLess(chosen.count(hot), 20)

    def test_no_herd_on_old_report(self):
        """Entries with the same outdated report do not herd on the one target
        that it shows idle, as they do by least reported load.
        """
        self.views = [policy_case.view(f't-{rank}') for rank in range(6)]
        for rank, view in enumerate(self.views):
            running = 2 if rank else 0
            view.load.report(
                policy_case.report(1, running=running, queued_tokens=512),
                0.0,
            )
        counts = collections.Counter()
        for seed in range(60):
            generator = random.Random(seed)
            expected_first = routing.ExpectedFirstToken('east', generator)
            counts[self.choose(expected_first).name] += 1
            least_load = routing.LeastReportedLoad(generator)
            self.assertEqual(self.choose(least_load).name, 't-0')
        self.assertLess(counts['t-0'], 36)


def endpoints(prefix, count):
    zones = ('east', 'west', 'north')
    return [
        subsets.Endpoint(f'{prefix}-{rank}', zones[rank % 3])
        for rank in range(count)
    ]


class TestSubsets(unittest.TestCase):
    """Give each entry a stable subset of the targets."""

    def subset(self, entry, entries, targets, healthy=None, size=12):
        ranked = subset_ranking.RankedTargets(entry)
        ranked.set_entries({endpoint.name: endpoint for endpoint in entries})
        ranked.set_targets({endpoint.name: endpoint for endpoint in targets})
        return ranked.choose(
            size, lambda name: healthy is None or name in healthy
        )

    @hypothesis.given(strategies.integers(1, 12), strategies.integers(1, 20))
    @hypothesis.settings(max_examples=30, deadline=None)
    def test_every_target_has_entries(self, entry_count, target_count):
        entries = endpoints('entry', entry_count)
        targets = endpoints('target', target_count)
        counts = collections.Counter()
        for entry in entries:
            subset = self.subset(entry, entries, targets, size=4)
            counts.update(subset)
            self.assertGreaterEqual(len(subset), min(4, target_count))
        least = math.ceil(4 * entry_count / target_count)
        for target in targets:
            self.assertGreaterEqual(
                counts[target.name], min(least, entry_count)
            )

    def test_lost_entry_moves_only_its_pairs(self):
        """Losing an entry moves only its own pairs and at most one more target
        of each other entry.
        """
        entries = endpoints('entry', 30)
        targets = endpoints('target', 60)
        lost = self.subset(entries[0], entries, targets)
        moved = 0
        for entry in entries[1:]:
            old = self.subset(entry, entries, targets)
            new = self.subset(entry, entries[1:], targets)
            moved += len(new - old)
            self.assertLessEqual(len(old - new), 1)
        self.assertLessEqual(moved, 2 * len(lost))

    def test_subset_grows_when_targets_fail(self):
        """An entry whose targets fail gets others, instead of overloading the
        remaining ones.
        """
        entries = endpoints('entry', 30)
        targets = endpoints('target', 30)
        own = self.subset(entries[0], entries, targets)
        healthy = {target.name for target in targets} - own
        grown = self.subset(entries[0], entries, targets, healthy)
        self.assertLessEqual(own, grown)
        self.assertGreaterEqual(len(grown & healthy), 12)

    def test_own_zone_is_likelier(self):
        entries = endpoints('entry', 30)
        targets = endpoints('target', 60)
        zones = {target.name: target.zone for target in targets}
        near = 0
        total = 0
        for entry in entries:
            for name in self.subset(entry, entries, targets):
                near += zones[name] == entry.zone
                total += 1
        self.assertGreater(near / total, 0.45)


class TestEjection(unittest.TestCase):
    """Eject slow targets, within limits."""

    def setUp(self):
        self.ejection = ejection.Ejection()

    def report(self, slow, start, stop, running=3, count=8):
        for tenth in range(int(start * 10), int(stop * 10)):
            for rank in range(count):
                step = 40.0 if rank in slow else 7.0
                self.ejection.observe_step(
                    f'g-{rank}', step, running, tenth / 10
                )

    def test_stalled_group_leaves_and_returns(self):
        """A group with a stalled rank is ejected and returns by slow start when
        it has recovered.
        """
        self.report({0}, 0, 1)
        self.assertEqual(self.ejection.ejected(0.9), ['g-0'])
        self.report(set(), 1, 2)
        shares = [self.ejection.share('g-0', now) for now in (1.6, 3, 9)]
        self.assertEqual(shares, sorted(shares))
        self.assertLess(shares[0], 0.3)
        self.assertEqual(shares[2], 1)

    def test_idle_target_is_ignored(self):
        """An ejected, idle group that repeats its last slow step time is not
        ejected for ever.
        """
        self.report({0}, 0, 1)
        for tenth in range(10, 60):
            self.ejection.observe_step('g-0', 40.0, 0, tenth / 10)
        self.assertGreater(self.ejection.share('g-0', 6.0), 0.5)

    def test_repeated_ejections_back_off(self):
        self.report({0}, 0, 20)
        out = [self.ejection.share('g-0', now) == 0 for now in (19.9, 22)]
        self.assertEqual(out, [True, True])

    def test_ejected_share_is_bounded(self):
        """Ejecting all slow groups would overload the remaining ones."""
        self.report({0, 1, 2}, 0, 3)
        self.assertLessEqual(len(self.ejection.ejected(2.9)), 2)

    def test_only_consecutive_failures_eject(self):
        for rank in range(4):
            self.ejection.record_result(f'g-{rank}', is_good=True, now=0)
        self.ejection.record_result('g-0', is_good=False, now=0)
        self.assertEqual(self.ejection.share('g-0', 0), 1)
        for _ in range(5):
            for rank in range(4):
                good = rank > 0
                self.ejection.record_result(f'g-{rank}', is_good=good, now=0)
        self.assertEqual(self.ejection.share('g-0', 0), 0)
