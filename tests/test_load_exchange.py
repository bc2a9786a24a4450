"""Test that entries exchange their loads and balance by all of them."""

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
    """Simulate the links of one entry to control hosts."""

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
    """Build the targets and the load exchange of an entry."""
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
    exchange = load_exchange.LoadExchange(
        known, links, lambda: tuple(hosts), lambda: ('e1', 'e2'), lambda: None
    )
    return known, links, exchange


class LoadExchangeCase(policy_case.PausedCase):
    def test_sums(self):
        """Each entry learns the load of the others, without its own."""
        self.run_paused(self._sums())

    def test_lost_host(self):
        """After the loss of the host, the next one sums from scratch."""
        self.run_paused(self._lost_host())

    def test_killed_entry(self):
        """The calls of a killed entry expire."""
        self.run_paused(self._killed_entry())

    def test_restarted_host(self):
        """A restarted host has lost its sums and gets them again."""
        self.run_paused(self._restarted_host())

    def test_alone(self):
        """An entry that reaches no host balances by its own calls."""
        self.run_paused(self._alone())

    async def _sums(self):
        hosts = {'h1': loads.Loads(1)}
        first, _, one = entry_of('e1', hosts)
        second, _, two = entry_of('e2', hosts)
        first.get('t0').own_calls = 2
        second.get('t0').own_calls = 1
        for exchange in (one, two, one):
            await exchange.exchange()
        self.assertEqual(1, first.get('t0').other_calls)
        self.assertEqual(2, second.get('t0').other_calls)
        first.get('t0').own_calls = 0
        await one.exchange()
        await two.exchange()
        self.assertEqual(0, second.get('t0').other_calls)

    async def _lost_host(self):
        hosts = {'h1': loads.Loads(1), 'h2': loads.Loads(2)}
        first, first_links, one = entry_of('e1', hosts)
        second, second_links, two = entry_of('e2', hosts)
        first.get('t0').own_calls = 2
        await one.exchange()
        for links in (first_links, second_links):
            links.cut.add('h1')
        self.assertTrue(await one.exchange())
        self.assertTrue(await two.exchange())
        self.assertEqual(2, second.get('t0').other_calls)

    async def _killed_entry(self):
        hosts = {'h1': loads.Loads(1)}
        first, _, one = entry_of('e1', hosts)
        second, _, two = entry_of('e2', hosts)
        first.get('t0').own_calls = 2
        await one.exchange()
        await two.exchange()
        self.assertEqual(2, second.get('t0').other_calls)
        await asyncio.sleep(loads.ENTRY_TIMEOUT_SECONDS + 0.1)
        await two.exchange()
        self.assertEqual(0, second.get('t0').other_calls)

    async def _restarted_host(self):
        hosts = {'h1': loads.Loads(1)}
        first, _, one = entry_of('e1', hosts)
        second, _, two = entry_of('e2', hosts)
        first.get('t0').own_calls = 2
        await one.exchange()
        await two.exchange()
        hosts['h1'] = loads.Loads(7)
        await two.exchange()
        self.assertEqual(0, second.get('t0').other_calls)
        await one.exchange()
        await two.exchange()
        self.assertEqual(2, second.get('t0').other_calls)

    async def _alone(self):
        hosts = {'h1': loads.Loads(1)}
        known, links, exchange = entry_of('e1', hosts)
        known.set_other_loads({'t0': outlier_detection.TargetLoad(3)})
        links.cut.add('h1')
        running = asyncio.create_task(exchange.run())
        await asyncio.sleep(load_exchange.STALE_SECONDS + 0.5)
        self.assertEqual(0, known.get('t0').other_calls)
        running.cancel()


class ChoiceCase(policy_case.PausedCase):
    def test_no_herd(self):
        """Entries don't all send to the one free rank that they see."""
        self.run_paused(self._no_herd())

    async def _no_herd(self):
        known, _, _ = entry_of('e1', {}, targets_known=120)
        known.set_other_loads(
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
        """Entries that share loads have over a tenth more streams in time."""
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
