"""Test that calls go to groups with free slots."""

import asyncio
import random
import types
import unittest

import attrs

from tamarackthread.control.site import feed, machine, target_registry
from tamarackthread.control.site.maps import membership, ranks
from tamarackthread.entry.direct import targets
from tamarackthread.generated.messages import ttypes as messages
from tamarackthread.shared.site import announcements, groups
from tests import policy_case, test_admission_control

SERVICE = test_admission_control.SERVICE
SLOTS = 5
RANKS = 8
NAMES = ('g0', 'g1', 'g2')


def rows(closed=()):
    return [
        groups.Group(
            name,
            frozenset(f'{name}-{rank}' for rank in range(RANKS)),
            name not in closed,
        )
        for name in NAMES
    ]


def known_targets(reported=True):
    """Build an entry's targets; group ``gN`` is in zone ``zN``."""
    known = targets.Targets('z0', 1.0, random.Random(4))
    for name in NAMES:
        for rank in range(RANKS):
            known.take(
                announcements.Announcement(
                    target=f'{name}-{rank}',
                    service=SERVICE,
                    address=f'{name}-{rank}:80',
                    zone=f'z{name[1]}',
                    slots=SLOTS,
                )
            )
    known.set_other_loads({})
    if reported:
        known.learn_groups(1, rows())
    return known


class ChoiceCase(policy_case.PausedCase):
    def test_closed_group(self):
        """A closed group gets calls only if all groups are closed."""
        self.run_paused(self._closed())

    def test_group_that_failed_the_call(self):
        """A call avoids groups that have failed it, if there are others."""
        self.run_paused(self._failed())

    async def _closed(self):
        known = known_targets()
        for target in known.of_service(SERVICE):
            target.own_calls = 0 if target.group == 'g0' else 2
        known.learn_groups(1, rows(closed=('g0',)))
        found = {known.choose(SERVICE, ()).group for _ in range(40)}
        self.assertEqual({'g1', 'g2'}, found)
        load = known.group_load(SERVICE, 1)
        self.assertEqual(2 * RANKS, load.ranks)
        self.assertEqual(2 * RANKS * SLOTS, load.slots)
        known.learn_groups(1, rows(closed=NAMES))
        self.assertIsNotNone(known.choose(SERVICE, ()))

    async def _failed(self):
        known = known_targets()
        found = {
            known.choose(SERVICE, (), {'g0', 'g1'}).group for _ in range(9)
        }
        self.assertEqual({'g2'}, found)
        self.assertIsNotNone(known.choose(SERVICE, (), set(NAMES)))


class LearnedCase(policy_case.PausedCase):
    def test_former_owner(self):
        """Groups reported by a former owner, with a lower term, are ignored."""
        self.run_paused(self._former())

    def test_one_group(self):
        """Targets without known groups get calls."""
        self.run_paused(self._one())

    def test_new_start(self):
        """A new target is in no group until one is reported."""
        self.run_paused(self._new_start())

    async def _former(self):
        known = known_targets()
        moved = [groups.Group('g9', frozenset(('g0-0',))), *rows()[1:]]
        known.learn_groups(4, moved)
        known.learn_groups(3, rows())
        self.assertEqual('g9', known.get('g0-0').group)

    async def _one(self):
        known = known_targets(reported=False)
        for left in ((), {''}):
            self.assertIsNotNone(known.choose(SERVICE, (), left))
        self.assertEqual(len(NAMES) * RANKS, known.group_load(SERVICE, 1).ranks)

    async def _new_start(self):
        known = known_targets()
        known.take(
            announcements.Announcement(
                target='new', service=SERVICE, address='new:80', slots=SLOTS
            )
        )
        self.assertEqual('', known.get('new').group)
        fresh = attrs.evolve(rows()[0], members=frozenset(('new',)))
        known.learn_groups(2, [fresh, *rows()[1:]])
        self.assertEqual('g0', known.get('new').group)


def report(group, rank, *, is_open=True):
    return ranks.RankReport(
        group=group,
        epoch=1,
        rank=rank,
        size=2,
        is_open=is_open,
        step=1,
        version=0,
    )


class MembershipCase(unittest.TestCase):
    def setUp(self):
        self.held = membership.Membership()
        self.members = [
            ranks.Rank(f't{number}', f'a{number}') for number in range(4)
        ]

    def learn(self, *found):
        self.held.learn(SERVICE, self.members, found)
        return {row.name: (set(row.members), row.is_open) for row in self.rows}

    @property
    def rows(self):
        return self.held.rows

    def test_silent_rank(self):
        """A rank whose report is missing stays in its group."""
        whole = (report('a', 0), report('a', 1), report('b', 0))
        self.learn(*whole, report('b', 1))
        found = self.learn(*whole, None)
        self.assertEqual(({'t2', 't3'}, True), found['b'])

    def test_closed(self):
        """One rank that reports its group as closed is enough."""
        found = self.learn(
            report('a', 0),
            report('a', 1, is_open=False),
            report('b', 0),
            report('b', 1),
        )
        self.assertEqual((False, True), (found['a'][1], found['b'][1]))
        self.assertTrue(self.held.has_closed_group)

    def test_one_group(self):
        """The group of a service with one group is not reported."""
        self.assertEqual({}, self.learn(*(report('a', 0) for _ in range(4))))


class FeedCase(policy_case.PausedCase):
    def test_sent_once(self):
        """A follower gets changed groups at once, and only once."""
        self.run_paused(self._sent_once())

    async def _sent_once(self):
        held = target_registry.TargetRegistry(1)
        followers = feed.Feed(machine.SiteMachine(), held, list, 11)
        peer = types.SimpleNamespace(
            peer=types.SimpleNamespace(role=messages.Role.ENTRY, address='e')
        )
        asked = messages.SiteFeedRequest(
            version=0, epoch=11, serial=0, wait_ms=60_000, zone_changes=0
        )
        waiting = asyncio.create_task(followers.answer(peer, asked))
        await asyncio.sleep(1)
        self.assertFalse(waiting.done())
        held.record_groups(7, rows())
        reply = await waiting
        self.assertEqual(7, reply.groups_term)
        self.assertEqual(rows(), groups.from_messages(reply.groups))
        held.record_groups(7, rows())
        asked.serial = reply.serial
        asked.groups_serial = reply.groups_serial
        asked.wait_ms = 0
        self.assertIsNone((await followers.answer(peer, asked)).groups)
