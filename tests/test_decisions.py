"""Prove what control keeps of the switches of a group."""

import unittest

from tamarackthread.control import decisions, leases
from tamarackthread.generated.messages import ttypes as messages

GROUP = 'group-1'


def asked(switch, decision='', fence=1):
    return messages.DecisionRequest(
        group=GROUP,
        fence=fence,
        switch_id=switch,
        decision=decision,
        body=f'switch {switch}',
    )


class LatestCase(unittest.TestCase):
    def setUp(self):
        table = leases.LeaseTable()
        request = messages.LeaseRequest(
            name=GROUP,
            holder='owner',
            lease_ms=1000,
            fence=0,
            release=False,
        )
        self.fence = table.apply(request).fence
        self.decisions = decisions.Decisions(table)

    def latest(self):
        return self.decisions.decide(asked(decisions.LATEST))

    def test_nothing_decided(self):
        self.assertFalse(self.latest().decision)

    def test_rank_without_memory_learns_the_latest(self):
        """A rank restarts and asks control without knowing any id.

        Were it told that nothing is recorded, it would serve the group's
        first map while the others serve the one last switched to.
        """
        for switch, decision in ((1, 'prepare'), (2, 'commit'), (3, 'prepare')):
            self.decisions.decide(asked(switch, decision, self.fence))
            found = self.latest()
            self.assertEqual(found.switch_id, switch)
            self.assertEqual(found.decision, decision)
            self.assertEqual(found.body, f'switch {switch}')
            self.assertFalse(found.recorded)

    def test_latest_survives_a_snapshot(self):
        for switch in range(1, 2 * decisions.MAX_PER_GROUP):
            self.decisions.decide(asked(switch, 'commit', self.fence))
        newest = self.latest()
        self.decisions.replace(self.decisions.everything())
        self.assertEqual(self.latest(), newest)

    def test_nothing_is_recorded_without_an_id(self):
        found = self.decisions.decide(asked(0, 'commit', self.fence))
        self.assertFalse(found.decision)
        self.assertFalse(self.latest().decision)
