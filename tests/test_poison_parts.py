"""Test that a prompt part that crashes targets is detected, and no other."""

import asyncio
import random
import unittest
from unittest import mock

import aiohttp

from bench.poison import site as site_model
from tamarackthread.policy import crash_records, poison_calls
from tamarackthread.shared.site import configuration
from tests import direct_case, policy_case

TARGETS = 16
POISON_CALLS = 10
# Crashes after which calls with the part must stop, and those still on their way.
MAX_CRASHES = 5
MAX_LATE_CALLS = 3
WHOLE = (200, b'id: 1\ndata: e1\n\nid: 2\ndata: e2\n\n')
# An answer that broke off after its head.
CUT = (200, b'')
BAD = frozenset(('bad', 'worse'))
# Of calls that share parts, by the place of the part that crashes targets.
PLACES = (('bad', 'topic'), ('shared', 'bad'), ('shared', 'bad', 'topic'))
TOPICS = 8
SECONDS = 40
SEEDS = range(3)
# From the fifth crash of a part on, so long its calls may still be sent; twice
# as long after it sound calls are refused no more.
WINDOW_SECONDS = 3.0


class SiteCase(policy_case.PausedCase):
    """Test entries that exchange what they know of crashes."""

    def test_places_and_rates(self):
        """Guards against a part that its place or its rate hides."""
        for place in PLACES:
            for gap in (0.1, 0.5, 2.5):
                self.play([place], gap)

    def test_lockstep_group(self):
        """Guards against blaming what calls share that a group's loss cut."""
        for place in PLACES:
            for gap in (0.1, 0.5, 2.5):
                self.play([place], gap, is_group=True)

    def test_two_parts(self):
        """Guards against one such part that hides another."""
        for is_group in (False, True):
            self.play([('shared', 'bad'), ('shared', 'worse')], 0.3, is_group)

    def test_same_topic(self):
        """Guards against blaming the topic of all calls with the part."""
        for is_group in (False, True):
            self.play([('shared', 'bad', 'topic0')], 0.3, is_group)

    def test_several_services(self):
        """Guards against counting the crashes of each service by itself."""
        self.play([('shared', 'bad')], 0.3, services=('s', 'other', 'third'))

    def test_no_cause(self):
        """Guards against refusing calls for crashes that none has caused."""
        for is_group in (False, True):
            for gap in (1.5, 4, 8):
                for seed in SEEDS:
                    site = self.run_paused(
                        self._crash_at_random(seed, is_group, gap)
                    )
                    self.assertEqual([], _blamed(site))
                    self.assertGreaterEqual(len(site.crashes), MAX_CRASHES)

    def test_entry_cut_off(self):
        """Guards against an entry that never hears of the others' crashes."""
        for seed in SEEDS:
            site = self.run_paused(
                self._play(seed, [('shared', 'bad')], 0.5, at=5, do=_cut_off)
            )
            self.check(site, {'e0'})

    def test_entry_restarts(self):
        """Guards against crashes that are known only to an entry that ended."""
        for seed in SEEDS:
            site = self.run_paused(
                self._play(seed, [('shared', 'bad')], 0.5, at=8, do=_restart)
            )
            self.check(site)

    def test_summing_host_is_lost(self):
        """Guards against crashes known only to the host that passes them on."""
        for seed in SEEDS:
            site = self.run_paused(
                self._play(seed, [('shared', 'bad')], 0.5, at=4, do=_lose_host)
            )
            self.check(site)

    def play(self, places, gap, is_group=False, services=('s',)):
        for seed in SEEDS:
            with self.subTest(places=places, gap=gap, seed=seed):
                site = self.run_paused(
                    self._play(seed, places, gap, is_group, services)
                )
                self.check(site)

    def check(self, site, without=()):
        """Check the bounds on calls with the part, and on sound calls."""
        crashes = [crash.at for crash in site.crashes]
        self.assertTrue(crashes)
        for part in BAD.intersection(crash.part for crash in site.crashes):
            late = site.late_from(part, MAX_CRASHES) + WINDOW_SECONDS
            found = [
                one
                for one in site.arrivals
                if one.part == part and one.at > late
            ]
            in_touch = [one for one in found if one.entry not in without]
            self.assertLessEqual(len(in_touch), MAX_LATE_CALLS)
        served_from = crashes[:MAX_CRASHES][-1] + 2 * WINDOW_SECONDS
        self.assertEqual([], [at for at in _blamed(site) if at > served_from])

    async def _play(  # noqa: WPS211
        self, seed, places, gap, is_group=False, services=('s',), at=0, do=None
    ):
        site = site_model.Site(random.Random(seed), is_group)
        site.open()
        next_poison = 5.0
        now = 0.0
        while now < SECONDS:
            await site.tick()
            now = asyncio.get_running_loop().time()
            if do is not None and now >= at:
                do(site)
                do = None
            _send_sound(site, places, services)
            if now < next_poison:
                continue
            next_poison = now + site.rng.expovariate(1 / gap)
            place = site.rng.choice(places)
            site.send(
                _with_topic(site, place),
                bad_part=min(BAD.intersection(place)),
                service=site.rng.choice(services),
            )
        return site

    async def _crash_at_random(self, seed, is_group, gap):
        site = site_model.Site(random.Random(seed), is_group)
        site.open()
        now = 0.0
        next_crash = 5.0
        while now < 2 * SECONDS:
            await site.tick()
            now = asyncio.get_running_loop().time()
            _send_sound(site, [('shared', 'topic')], ('s',))
            if now < next_crash or not site.up:
                continue
            next_crash = now + site.rng.expovariate(1 / gap)
            site.crash(site.rng.choice(list(site.up.values())), now)
        return site


def _blamed(site):
    """List when sound calls were refused as poison."""
    return [call.at for call in site.sound if call.was_blamed]


def _send_sound(site, places, services):
    """Send calls with all parts of the others but the one that crashes."""
    for _ in range(2):
        place = [part for part in site.rng.choice(places) if part not in BAD]
        site.send(_with_topic(site, place), service=site.rng.choice(services))


def _with_topic(site, parts):
    """Put one of several topics where the parts name one."""
    number = site.rng.randrange(TOPICS)
    return [f'topic{number}' if part == 'topic' else part for part in parts]


def _cut_off(site):
    site.entries[0].links.cut.update(site.hosts)


def _restart(site):
    for number in range(3):
        site.entries[number] = site.new_entry(f'e{number}')


def _lose_host(site):
    for entry in site.entries:
        entry.links.cut.add('h0')


class VerdictCase(unittest.TestCase):
    def test_strictest_of_a_call(self):
        """Guards against a doubtful suspect that hides the one to refuse."""
        known = poison_calls.PoisonCalls()
        self._crash(known, b'doubtful', 0)
        known.records.record_answer(
            's', (b'doubtful',), crash_records.Reach.BEGUN, 1
        )
        for now in (20, 30, 40, 50):
            self._crash(known, b'doubtful', now)
        for now in (25, 35, 45):
            self._crash(known, b'poison', now)
        marks = (b'doubtful', b'poison')
        no_retry = poison_calls.Verdict.NO_RETRY
        refused = poison_calls.Verdict.REFUSED
        self.assertEqual(no_retry, known.verdict(marks[:1], 60))
        self.assertEqual(refused, known.verdict(marks[1:], 60))
        self.assertEqual(refused, known.verdict(marks, 60))

    def test_silent_service(self):
        """Guards against blaming what calls share while none is answered."""
        known = poison_calls.PoisonCalls()
        for now in (0, 10, 20):
            self._crash(known, b'shared', now, is_silent=True)
        self.assertEqual(
            poison_calls.Verdict.ALLOWED, known.verdict((b'shared',), 30)
        )
        known.records.record_answer('s', (), crash_records.Reach.BEGUN, 30)
        self.assertEqual(
            poison_calls.Verdict.REFUSED, known.verdict((b'shared',), 31)
        )

    def _crash(self, known, mark, now, is_silent=False):
        if not is_silent:
            known.records.record_answer('s', (), crash_records.Reach.BEGUN, now)
        known.records.record(
            crash_records.Crash(
                start=f'target at {now}',
                service='s',
                suspects=(crash_records.Suspect(mark),),
            ),
            now,
        )


class CallerCase(direct_case.DirectCase):
    async def test_part_that_crashes_each_target(self):
        """Guards against calls, each new, that crash targets by a shared part."""
        # Attributes losses without waiting for correlated ones.
        with mock.patch.object(poison_calls, 'CORRELATED_LOSS_SECONDS', 0):
            await self._ask_poison_and_sound()

    async def test_crash_of_an_unframed_answer(self):
        """Guards against an unframed crash that passes for an empty stream."""
        with mock.patch.object(poison_calls, 'CORRELATED_LOSS_SECONDS', 0):
            await self._ask_poison_and_sound('Connection: close')

    async def _ask_poison_and_sound(self, framing='Transfer-Encoding: chunked'):
        self.serve(configuration.RouteKind.STREAM, is_resumable=True)
        for _ in range(TARGETS):
            await self.add(_crashing_on('bad', framing))
        poisoned = []
        sound = []
        for number in range(POISON_CALLS):
            poisoned.append(await self._ask_parts(number, 'shared', 'bad'))
            sound.append(await self._ask_parts(number, 'shared', 'topic'))
        arrived = [
            head
            for fake in self.fakes
            for head in fake.heads
            if ',bad:' in direct_case.header(head, 'Prompt-Prefix')
        ]
        self.assertLessEqual(len(arrived), MAX_CRASHES + MAX_LATE_CALLS)
        for status, body in poisoned[-MAX_LATE_CALLS:]:
            self.assertEqual(503, status)
            self.assertIn(b'TT7213', body)
        for answer in sound:
            self.assertEqual(WHOLE, answer)

    async def _ask_parts(self, number, *parts):
        """Send a call that is like no other except for the parts."""
        names = (*parts, f'own-{parts[-1]}-{number}')
        prompt = ','.join(f'{name}:100' for name in names)
        headers = {'Attempt-Id': names[-1], 'Prompt-Prefix': prompt}
        try:
            status, body, _ = await self.ask(body=prompt.encode(), **headers)
        except aiohttp.ClientPayloadError:
            return CUT
        return status, body


def _crashing_on(part, framing):
    """Answer in whole, or crash after the head of an answer on a part."""
    whole = direct_case.streaming(1, 2, is_whole=True)

    async def script(target, head, writer):
        if f'{part}:' not in direct_case.header(head, 'Prompt-Prefix'):
            await target.body(head)
            await whole(target, head, writer)
            return
        start = direct_case.head_of(target, head)
        writer.write(f'{start}{framing}\r\n\r\n'.encode())
        await writer.drain()
        target.close()
        writer.close()

    return script
