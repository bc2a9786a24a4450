"""Prove by random histories that no node acts on what was replaced.

A tree of nodes runs on paused time while ways are cut in one or both
directions, nodes restart and the leader loses and regains its quorum.  The
checker is checked too: each break of the code on purpose must be found.
"""

import asyncio
import random
import unittest
import unittest.mock

from tamarackthread.shared import feed_server, leased_catalogue
from tests import feed_net

SEEDS = 12
BREAK_SEEDS = 60
SECONDS = 15.0
STEP = 0.02
CONTROL = ('leader', 'a0', 'a1')
NODES = 6
EVENTS = ('commit', 'commit', 'cut', 'mend', 'restart', 'flip')


class History:
    """Run one seeded history and note the first violation."""

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.net = feed_net.Net(seed=seed)
        self.nodes = {}
        self.commits = []
        self.highest = {}
        self.starts = 0
        self.violation = ''

    async def run(self):
        self.commit()
        for number in range(NODES):
            self.start(f'n{number}')
        until = feed_net.now() + SECONDS
        event_at = 0
        while feed_net.now() < until and not self.violation:
            if feed_net.now() >= event_at:
                getattr(self, self.rng.choice(EVENTS))()
                event_at = feed_net.now() + self.rng.expovariate(3)
            await asyncio.sleep(STEP)
            self.check()

    def start(self, name):
        self.starts += 1
        number = int(name[1:])
        self.nodes[name] = self.net.node(
            name,
            CONTROL,
            address=f'a{number}',
            incarnation=self.starts,
        )
        self.nodes[name].start()

    def commit(self):
        if self.net.leader.grants:
            self.commits.append(feed_net.now())
            self.net.leader.commit(len(self.commits))

    def cut(self):
        name = self.rng.choice(list(self.nodes))
        to_leader = {(name, 'leader'), ('leader', name)}
        ways = self.rng.choice(({(name, '*')}, to_leader, {('leader', name)}))
        self.net.cut |= ways

    def mend(self):
        self.net.cut.clear()

    def restart(self):
        name = self.rng.choice(list(self.nodes))
        node = self.nodes[name]
        for task in (*node._tasks, node._pulling):
            task.cancel()
        self.start(name)

    def flip(self):
        self.net.leader.grants = not self.net.leader.grants
        self.net.leader.signal.notify()

    def check(self):
        bound = feed_net.now() - feed_net.LEASE - STEP
        required = sum(at < bound for at in self.commits)
        for name, node in self.nodes.items():
            if not node.is_current():
                continue
            if node.revision < required:
                self.violation = (
                    f'{name} works at {node.revision}, not {required}'
                )
            if node.revision < self.highest.get(name, 0):
                self.violation = f'{name} went back to {node.revision}'
            self.highest[name] = max(node.revision, self.highest.get(name, 0))


def violation_of(seed):
    history = []

    async def scenario():
        history.append(History(seed))
        await history[0].run()

    feed_net.run_paused(scenario)
    return history[0].violation


def first_violation():
    for seed in range(BREAK_SEEDS):
        found = violation_of(seed)
        if found:
            return found
    return ''


def grant_whole(self):
    """Grant a whole lease, whatever is left of the relay's own."""
    if not self.lease_remaining():
        return feed_server.Grant()
    return feed_server.Grant(feed_net.LEASE, 0, self._lease_revision)


def take_any_lease(self, reply, sent_at):
    """Take a lease also for a revision that is not held."""
    self._lease_ends_at = sent_at + (reply.lease_ms or 0) / 1000
    self._backed_at = sent_at
    return True


def forget_start(self, lease_seconds=None):
    """Act on a lease from before the start of the process."""
    return self.lease_remaining() > 0


class HistoryCase(unittest.TestCase):
    def test_no_history_violates_the_promises(self):
        for seed in range(SEEDS):
            with self.subTest(seed=seed):
                self.assertEqual(violation_of(seed), '')

    def test_each_break_is_found(self):
        kept = leased_catalogue.LeasedCatalogue
        breaks = (
            ('grant', grant_whole),
            ('_take_lease', take_any_lease),
            ('is_current', forget_start),
        )
        for name, broken in breaks:
            with self.subTest(broken=name):
                with unittest.mock.patch.object(kept, name, broken):
                    self.assertNotEqual(first_violation(), '')
