"""Prove that entries know of each other's calls, and choose by all of them."""

from __future__ import annotations

import asyncio
import random
import statistics
import unittest

import attrs

from bench.experiments import heavy
from tamarackthread.control.site import loads
from tamarackthread.entry.direct import (
    load_exchange,
    outlier_detection,
    targets,
)
from tamarackthread.generated.messages import ttypes as messages
from tamarackthread.shared import errors
from tamarackthread.shared.site import announcements
from tests import policy_case

SERVICE = 's'
SEEDS = (17, 18)


class Host:
    """Be the links of one entry to some control hosts."""

    def __init__(self, name, hosts):
        self.name = name
        self.hosts = hosts
        self.cut = set()

    async def request(self, address, asked, seconds):
        await asyncio.sleep(0.001)
        if address in self.cut:
            raise errors.FrameInvalid('cut')
        reply = self.hosts[address].answer(self.name, asked.site_load)
        return messages.Reply(site_load=reply)


def entry_of(name, hosts, targets_known=2):
    """Build an entry that knows some targets, and its part of sharing."""
    known = targets.Targets('z', 1.0, random.Random(1))
    for number in range(targets_known):
        known.take(
            announcements.Announcement(
                target=f't{number}',
                service=SERVICE,
                address=f'10.0.0.{number}:80',
                zone='z',
                slots=3,
            )
        )
    links = Host(name, hosts)
    shared = load_exchange.LoadExchange(
        known, links, lambda: tuple(hosts), lambda: ('e1', 'e2'), lambda: None
    )
    return known, links, shared


class SharingCase(policy_case.PausedCase):
    def test_sums(self):
        """Each entry learns the calls of the others, without its own."""
        self.run_paused(self._sums())

    def test_lost_host(self):
        """The host that sums is gone: the next one does, from nothing."""
        self.run_paused(self._lost_host())

    def test_killed_entry(self):
        """An entry is killed with calls; they do not count for ever."""
        self.run_paused(self._killed_entry())

    def test_restarted_host(self):
        """A host that starts again has other sums, and all are told anew."""
        self.run_paused(self._restarted_host())

    def test_alone(self):
        """An entry that reaches no host goes by its own calls."""
        self.run_paused(self._alone())

    async def _sums(self):
        hosts = {'h1': loads.Loads(1)}
        first, _, one = entry_of('e1', hosts)
        second, _, two = entry_of('e2', hosts)
        first.get('t0').own = 2
        second.get('t0').own = 1
        for shared in (one, two, one):
            await shared.exchange()
        self.assertEqual(1, first.get('t0').others)
        self.assertEqual(2, second.get('t0').others)
        first.get('t0').own = 0
        await one.exchange()
        await two.exchange()
        self.assertEqual(0, second.get('t0').others)

    async def _lost_host(self):
        hosts = {'h1': loads.Loads(1), 'h2': loads.Loads(2)}
        first, first_links, one = entry_of('e1', hosts)
        second, second_links, two = entry_of('e2', hosts)
        first.get('t0').own = 2
        await one.exchange()
        for links in (first_links, second_links):
            links.cut.add('h1')
        self.assertTrue(await one.exchange())
        self.assertTrue(await two.exchange())
        self.assertEqual(2, second.get('t0').others)

    async def _killed_entry(self):
        hosts = {'h1': loads.Loads(1)}
        first, _, one = entry_of('e1', hosts)
        second, _, two = entry_of('e2', hosts)
        first.get('t0').own = 2
        await one.exchange()
        await two.exchange()
        self.assertEqual(2, second.get('t0').others)
        await asyncio.sleep(loads.ENTRY_TIMEOUT_SECONDS + 0.1)
        await two.exchange()
        self.assertEqual(0, second.get('t0').others)

    async def _restarted_host(self):
        hosts = {'h1': loads.Loads(1)}
        first, _, one = entry_of('e1', hosts)
        second, _, two = entry_of('e2', hosts)
        first.get('t0').own = 2
        await one.exchange()
        await two.exchange()
        hosts['h1'] = loads.Loads(7)
        await two.exchange()
        self.assertEqual(0, second.get('t0').others)
        await one.exchange()
        await two.exchange()
        self.assertEqual(2, second.get('t0').others)

    async def _alone(self):
        hosts = {'h1': loads.Loads(1)}
        known, links, shared = entry_of('e1', hosts)
        known.share({'t0': outlier_detection.TargetLoad(3)})
        links.cut.add('h1')
        running = asyncio.create_task(shared.run())
        await asyncio.sleep(load_exchange.STALE_SECONDS + 0.5)
        self.assertEqual(0, known.get('t0').others)
        running.cancel()


class ChoiceCase(policy_case.PausedCase):
    def test_no_herd(self):
        """One rank of many is free, and every entry sees it at once.

        What was sent since the last exchange is not known: if all entries
        went for the freest rank it would get all of that.  Each compares a
        few ranks that it draws, so that one in thirty goes there.
        """
        self.run_paused(self._no_herd())

    async def _no_herd(self):
        known, _, _ = entry_of('e1', {}, targets_known=120)
        known.share(
            {
                f't{number}': outlier_detection.TargetLoad(1)
                for number in range(1, 120)
            }
        )
        chosen = [known.choose(SERVICE, ()).name for _ in range(300)]
        self.assertLess(chosen.count('t0'), 30)
        self.assertGreater(chosen.count('t0'), 0)


class LargeLoadCase(unittest.TestCase):
    def test_many_entries_before_a_large_group(self):
        """Streams of 39 entries press 129 ranks of three places each.

        The pattern: each entry sees a thirty-ninth of the calls.  By its own
        calls alone it sends some to ranks that others have filled, where they
        wait for as long as a stream lasts, while most ranks have a place.  At
        1.15 of the load at which nobody waits with even maps, told of all
        calls more than a tenth more of them are in time.
        """
        pattern = attrs.evolve(_pattern('large'), load=1.15)
        shared, alone = (
            statistics.mean(
                heavy._play(pattern, _variant(name), seed, 4.0)['on_time_share']
                for seed in SEEDS
            )
            for name in ('oracle', 'oracle_unshared')
        )
        self.assertGreater(shared, alone + 0.1)


def _variant(name):
    return next(one for one in heavy.VARIANTS if one.name == name)


def _pattern(name):
    return next(one for one in heavy.PATTERNS if one.name == name)
