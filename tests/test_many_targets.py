"""Test that a control host's work per target does not grow with all targets."""

import asyncio
import types

import attrs

from tamarackthread.control.site import (
    feed,
    machine,
    site_directory,
    target_registry,
)
from tamarackthread.control.site.maps import owner, ranks
from tamarackthread.generated.messages import ttypes as messages
from tamarackthread.shared.site import announcements, configuration, groups
from tests import policy_case, test_large_maps

TARGETS = 3000
FOLLOWERS = 200
SERVICE = 's'


def announcement(number, sequence=1, **fields):
    return announcements.Announcement(
        target=f't{number}',
        service=SERVICE,
        address=f'10.0.{number // 250}.{number % 250}:80',
        zone='z',
        slots=5,
        sequence=sequence,
        born=1000 + number,
        **fields,
    )


class NoScanDict(dict):
    """Dictionary that must not be iterated."""

    def values(self):
        raise AssertionError('all targets were looked at')

    items = values
    __iter__ = values


class SiteDirectoryCase(policy_case.PausedCase):
    def test_one_announcement(self):
        """Recording an announcement does not scan all targets."""
        directory = site_directory.SiteDirectory(machine.SiteMachine(), None)
        for number in range(TARGETS):
            directory.learn_target(announcement(number))
        held = directory._announcements
        directory._announcements = NoScanDict(held)
        directory.learn_target(announcement(7, sequence=2))
        moved = attrs.evolve(
            announcement(TARGETS), address=announcement(8).address
        )
        directory.learn_target(moved)
        rest = dict.keys(directory._announcements)
        self.assertNotIn('t8', rest)
        self.assertIn(moved.target, rest)

    def test_address_that_changes(self):
        """A target is kept when another takes over its former address."""
        directory = site_directory.SiteDirectory(machine.SiteMachine(), None)
        directory.learn_target(announcement(1))
        directory.learn_target(
            attrs.evolve(announcement(1, 2), address=announcement(2).address)
        )
        directory.learn_target(announcement(3))
        directory.learn_target(
            attrs.evolve(announcement(4), address=announcement(1).address)
        )
        names = sorted(row.target for row in directory.known_targets())
        self.assertEqual(['t1', 't3', 't4'], names)


class FeedCase(policy_case.PausedCase):
    def test_many_followers(self):
        """Target updates to many followers are batched."""
        self.assertLess(self.run_paused(self._replies(FOLLOWERS)), 30)

    def test_configuration_waits_for_nothing(self):
        """Other news is not delayed by the batching of target updates."""
        self.run_paused(self._urgent())

    async def _replies(self, followers):
        targets = target_registry.TargetRegistry(1.2)
        site_feed = self._feed_with_followers(targets, followers)
        replies = []

        async def follow():
            serial = 0
            while True:
                reply = await site_feed.answer(_peer(0), _request(serial))
                serial = reply.serial
                replies.append(len(reply.targets))

        following = asyncio.create_task(follow())
        for number in range(1000):
            targets.record(announcement(number))
            await asyncio.sleep(0.01)
        following.cancel()
        self.assertGreater(sum(replies), 900)
        return len(replies)

    async def _urgent(self):
        loop = asyncio.get_running_loop()
        targets = target_registry.TargetRegistry(1.2)
        site_feed = self._feed_with_followers(targets, FOLLOWERS)
        waiting = asyncio.create_task(site_feed.answer(_peer(0), _request(0)))
        await asyncio.sleep(0.1)
        started_at = loop.time()
        targets.record_groups(1, [_group()])
        await waiting
        self.assertEqual(started_at, loop.time())

    def _feed_with_followers(self, targets, followers):
        site_feed = feed.Feed(machine.SiteMachine(), targets, list, 1)
        now = asyncio.get_running_loop().time() + 1000
        site_feed._followers = {
            f'e{number}': now for number in range(followers)
        }
        return site_feed


class SilentRanks(ranks.Ranks):
    """Ranks that never respond, with a count of the queries."""

    def __init__(self):
        self.query_count = 0

    async def report(self, rank):
        self.query_count += 1

    async def counts(self, rank, sets):
        """Return nothing."""

    async def placement(self, rank):
        """Return nothing."""

    async def order(self, rank, silent_ranks):
        return ranks.Outcome.UNKNOWN

    def stall_seconds(self, numbers):
        return 0

    async def close(self):
        """Do nothing."""


class DiscoveryCase(policy_case.PausedCase):
    def test_many_ranks(self):
        """Discovery slows down with the number of ranks."""
        self.run_paused(self._discovers())

    async def _discovers(self):
        rows = [ranks.Rank(f't{number}', 'a') for number in range(TARGETS)]
        silent_ranks = SilentRanks()
        map_owner = owner.Owner(
            silent_ranks,
            lambda service: rows,
            print,
            test_large_maps.InlineOffload(),
        )
        map_owner.reset()
        shape = types.SimpleNamespace()
        service = configuration.Service(name=SERVICE, experts=shape)
        await map_owner.discover([service])
        self.assertGreaterEqual(
            map_owner.discovery_interval,
            TARGETS / owner.MAX_FAST_REPORTS_PER_SECOND,
        )


def _request(serial):
    return messages.SiteFeedRequest(
        epoch=1, serial=serial, version=0, zone_changes=0, wait_ms=5000
    )


def _peer(number):
    identity = types.SimpleNamespace(
        role=messages.Role.ENTRY, address=f'e{number}'
    )
    return types.SimpleNamespace(peer=identity)


def _group():
    return groups.Group('g', frozenset(('t1',)))
