"""Test that entries together keep to the limits of cold targets."""

import asyncio
import random

from tamarackthread.control.site import target_registry
from tamarackthread.entry.direct import targets
from tamarackthread.policy import cold_start, known_entries
from tamarackthread.shared.site import announcements, zones
from tests import policy_case

SERVICE = 's'
RATE = 32.0
ALLOWANCE = 1.5
SLACK = 5.0
LIMIT = 53
ENTRIES = tuple(f'e{number}' for number in range(17))


def announcement(target, cold=0.0, sequence=1, zone='east'):
    return announcements.Announcement(
        target=target,
        service=SERVICE,
        address=f'{target}:80',
        zone=zone,
        slots=5,
        cold=cold,
        sequence=sequence,
    )


def build_limits(own, seen, rates=None):
    limits = cold_start.ColdStartLimits(
        known_entries.KnownEntries(own, lambda: seen), ALLOWANCE, SLACK
    )
    limits.set_rates({SERVICE: RATE} if rates is None else rates)
    return limits


class Entry:
    """A simulated entry that sends as many calls as its limits allow."""

    def __init__(self, own, seen, number=1):
        self.known = targets.Targets(
            'east', 1.0, random.Random(number), build_limits(own, seen)
        )

    def send_all(self):
        """Send calls until no target is eligible; return their targets."""
        now = asyncio.get_running_loop().time()
        chosen = []
        while len(chosen) < 1000:
            target = self.known.choose(SERVICE, ())
            if target is None:
                break
            target.sent.record(now)
            chosen.append(target.name)
        return chosen


class SharedLimitCase(policy_case.PausedCase):
    def test_zone_comes_back_cold(self):
        """Guards against overloading a zone's targets after a restart."""
        self.run_paused(self._overloaded({own: ENTRIES for own in ENTRIES}))

    def test_network_partition(self):
        """Guards against shares that grow during a network partition."""
        self.run_paused(self._partitioned())

    def test_undiscovered_entries(self):
        """Guards against exceeding the limit through undiscovered entries."""
        discovered = ENTRIES[:9]
        seen = {own: discovered if own in discovered else () for own in ENTRIES}
        self.run_paused(self._overloaded(seen))

    def test_more_entries_than_calls(self):
        """Guards against exceeding the limit with more entries than calls."""
        many = tuple(f'e{number}' for number in range(200))
        self.run_paused(self._overloaded({own: many for own in many}))

    def test_no_limit(self):
        """Guards against a limit where none is configured."""
        self.assertIsNone(
            build_limits('e1', ENTRIES, {}).max_calls(SERVICE, 't0')
        )

    def test_warm_again(self):
        """Guards against a limit that remains on a warm target."""
        self.run_paused(self._warm())

    def test_restored_zone(self):
        """Guards against treating the targets of a restored zone as warm."""
        self.run_paused(self._restored())

    async def _overloaded(self, seen):
        await self._send_and_check([Entry(own, seen[own]) for own in seen])

    async def _send_and_check(self, entries):
        for one in entries:
            one.known.take(announcement('t0', cold=30))
        counts = []
        for _ in range(12):
            counts.append(sum(len(entry.send_all()) for entry in entries))
            await asyncio.sleep(0.25)
        worst = max(
            sum(counts[start : start + 4]) for start in range(len(counts))
        )
        self.assertLessEqual(worst, LIMIT)
        self.assertGreater(sum(counts), 0)

    async def _partitioned(self):
        seen = {own: list(ENTRIES) for own in ENTRIES}
        entries = [Entry(own, seen[own]) for own in ENTRIES]
        for one in entries:
            one.known.take(announcement('t0', cold=1))
            one.send_all()
        await asyncio.sleep(5)
        for held in seen.values():
            del held[2:]
        await self._send_and_check(entries)

    async def _warm(self):
        entry = Entry('e1', ENTRIES)
        entry.known.take(announcement('t0', cold=2))
        self.assertEqual(1, len(entry.send_all()))
        await asyncio.sleep(2)
        self.assertEqual(1000, len(entry.send_all()))

    async def _restored(self):
        entry = Entry('e1', ENTRIES)
        entry.known.take(announcement('t0'))
        entry.known.learn_zones([zones.Zone('east', True, 1)])
        self.assertEqual([], entry.send_all())
        entry.known.learn_zones([zones.Zone('east', False, 2)])
        self.assertEqual(['t0'], entry.send_all())
        self.assertIsNone(entry.known.choose(SERVICE, ()))


class AnnouncementCase(policy_case.PausedCase):
    def test_cold_again(self):
        """Guards against delayed announcements of cold and warm targets."""
        self.run_paused(self._again())

    async def _again(self):
        held = target_registry.TargetRegistry(1)
        held.record(announcement('t0', sequence=1))
        before = held.serial
        held.record(announcement('t0', cold=3, sequence=2))
        self.assertGreater(held.serial, before)
        before = held.serial
        held.record(announcement('t0', cold=2, sequence=3))
        self.assertEqual(held.serial, before)
        held.record(announcement('t0', sequence=4))
        self.assertGreater(held.serial, before)
