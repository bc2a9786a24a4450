"""Prove that cold targets get no more calls than they bear, from all entries."""

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


def said(target, cold=0.0, sequence=1, zone='east'):
    return announcements.Announcement(
        target=target,
        service=SERVICE,
        address=f'{target}:80',
        zone=zone,
        slots=5,
        cold=cold,
        sequence=sequence,
    )


def shares_of(own, seen, rates=None):
    found = cold_start.ColdStartLimits(
        known_entries.KnownEntries(own, lambda: seen), ALLOWANCE, SLACK
    )
    found.set_rates({SERVICE: RATE} if rates is None else rates)
    return found


class Entry:
    """Be an entry whose callers ask as fast as it lets them."""

    def __init__(self, own, seen, number=1):
        self.known = targets.Targets(
            'east', 1.0, random.Random(number), shares_of(own, seen)
        )

    def press(self):
        """Send calls until no target takes one; return who got them."""
        now = asyncio.get_running_loop().time()
        got = []
        while len(got) < 1000:
            target = self.known.choose(SERVICE, ())
            if target is None:
                break
            target.sent.record(now)
            got.append(target.name)
        return got


class SharesCase(policy_case.PausedCase):
    def test_zone_comes_back_cold(self):
        """A zone's targets come back cold and empty, and callers press.

        In no second may a target get more than its limit, although each entry
        has more calls than that by itself.
        """
        self.run_paused(self._pressed({own: ENTRIES for own in ENTRIES}))

    def test_cut_off_from_each_other(self):
        """Entries that lose sight of the others keep to the share they had."""
        self.run_paused(self._cut_off())

    def test_entries_nobody_told_of(self):
        """Entries that have just started are not known to the others yet."""
        told = ENTRIES[:9]
        seen = {own: told if own in told else () for own in ENTRIES}
        self.run_paused(self._pressed(seen))

    def test_more_entries_than_calls(self):
        """With 200 entries each target is left to some of them."""
        many = tuple(f'e{number}' for number in range(200))
        self.run_paused(self._pressed({own: many for own in many}))

    def test_no_limit(self):
        """Without a limit in the configuration a cold target takes any call."""
        self.assertIsNone(shares_of('e1', ENTRIES, {}).max_calls(SERVICE, 't0'))

    def test_warm_again(self):
        """A target that is warm takes any call."""
        self.run_paused(self._warm())

    def test_restored_zone(self):
        """A zone that is taken back is cold, whatever its targets said last."""
        self.run_paused(self._restored())

    async def _pressed(self, seen):
        await self._press([Entry(own, seen[own]) for own in seen])

    async def _press(self, entries):
        for one in entries:
            one.known.take(said('t0', cold=30))
        counts = []
        for _ in range(12):
            counts.append(sum(len(entry.press()) for entry in entries))
            await asyncio.sleep(0.25)
        worst = max(
            sum(counts[start : start + 4]) for start in range(len(counts))
        )
        self.assertLessEqual(worst, LIMIT)
        self.assertGreater(sum(counts), 0)

    async def _cut_off(self):
        seen = {own: list(ENTRIES) for own in ENTRIES}
        entries = [Entry(own, seen[own]) for own in ENTRIES]
        for one in entries:
            one.known.take(said('t0', cold=1))
            one.press()
        await asyncio.sleep(5)
        for held in seen.values():
            del held[2:]
        await self._press(entries)

    async def _warm(self):
        entry = Entry('e1', ENTRIES)
        entry.known.take(said('t0', cold=2))
        self.assertEqual(1, len(entry.press()))
        await asyncio.sleep(2)
        self.assertEqual(1000, len(entry.press()))

    async def _restored(self):
        entry = Entry('e1', ENTRIES)
        entry.known.take(said('t0'))
        entry.known.learn_zones([zones.Zone('east', True, 1)])
        self.assertEqual([], entry.press())
        entry.known.learn_zones([zones.Zone('east', False, 2)])
        self.assertEqual(['t0'], entry.press())
        self.assertIsNone(entry.known.choose(SERVICE, ()))


class NewsCase(policy_case.PausedCase):
    def test_cold_again(self):
        """Entries hear at once that a target has turned cold, and warm.

        Told with the next word that is due in any case, three seconds later,
        a cold target would have crashed by then.
        """
        self.run_paused(self._again())

    async def _again(self):
        held = target_registry.TargetRegistry(1)
        held.record(said('t0', sequence=1))
        before = held.serial
        held.record(said('t0', cold=3, sequence=2))
        self.assertGreater(held.serial, before)
        before = held.serial
        held.record(said('t0', cold=2, sequence=3))
        self.assertEqual(held.serial, before)
        held.record(said('t0', sequence=4))
        self.assertGreater(held.serial, before)
