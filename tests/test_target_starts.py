"""Prove that a target which starts again under its name is known as new."""

from __future__ import annotations

import asyncio
import json
import logging
import random
import unittest

import aiohttp

from tamarackthread.control.site import (
    api,
    machine,
    site_directory,
    target_registry,
)
from tamarackthread.control.site.maps import demand, ranks
from tamarackthread.entry.direct import targets
from tamarackthread.generated.messages import ttypes as messages
from tamarackthread.platform import configuration as reading
from tamarackthread.platform import http_api
from tamarackthread.shared import wire
from tamarackthread.shared.site import announcements
from tests import direct_case, policy_case

State = announcements.State
BORN = 1_780_000_000_000
LATER = BORN + 5000
BEAT = 1.0
SEEDS = range(300)


def announcement(
    state=State.READY, sequence=1, born=BORN, target='t1', port=80
):
    """Build an announcement of a start."""
    return announcements.Announcement(
        target=target,
        service='s',
        address=f'10.0.0.1:{port}',
        state=state,
        sequence=sequence,
        born=born,
    )


class FollowsCase(unittest.TestCase):
    def test_later_start_counts(self):
        """A target crashes and starts again under its name.

        Its sequence begins anew, so that by sequence alone nothing that it
        says would count until it has beaten as often as before its crash.
        """
        self.assertTrue(
            announcement(born=LATER).follows(announcement(sequence=41))
        )

    def test_farewell_is_of_one_start(self):
        """A target leaves and starts again: the new start takes calls."""
        for farewell in (State.LEAVING, State.GONE):
            held = announcement(farewell, sequence=41)
            self.assertTrue(announcement(born=LATER).follows(held))

    def test_earlier_start_never_counts(self):
        """Words of a crashed start come late, its farewell among them."""
        held = announcement(born=LATER)
        for state in (State.READY, State.LEAVING, State.GONE, State.SILENT):
            self.assertFalse(announcement(state, sequence=99).follows(held))

    def test_word_without_a_start(self):
        """A process of an older release passes words on without their start.

        They are judged as of the start that is held, and do not hide it.
        """
        held = announcement(sequence=5)
        late = announcement(born=0, sequence=4)
        self.assertFalse(late.follows(held))
        leaving = announcement(State.LEAVING, born=0, sequence=1)
        self.assertTrue(leaving.follows(held))
        self.assertEqual(BORN, leaving.after(held).born)
        self.assertTrue(
            announcement(sequence=1).follows(announcement(born=0, sequence=9))
        )
        self.assertFalse(announcement(sequence=9).follows(leaving))

    def test_passed_on(self):
        """The start is in the messages between our processes, and optional."""
        row = announcements.to_message(announcement())
        self.assertEqual(BORN, announcements.of_message(row).born)
        row.born_ms = None
        self.assertEqual(0, announcements.of_message(row).born)


class BookCase(policy_case.PausedCase):
    def test_late_farewell(self):
        """The farewell of an earlier start comes after the later one's word."""
        self.run_paused(self._late_farewell())

    def test_word_of_nobody(self):
        """Another writer beats under the name of a target, without a start.

        Taken for its newest word, it would keep a dead target alive.
        """
        self.run_paused(self._word_of_nobody())

    def test_slow_no_more(self):
        """An earlier start was slow; the later one is as fast as any."""
        self.run_paused(self._slow_no_more())

    async def _late_farewell(self):
        held = target_registry.TargetRegistry(BEAT)
        held.record(announcement(born=LATER))
        held.mark_gone('t1', BORN)
        self.assertEqual(State.READY, held.changed_since(0)[0].state)
        held.mark_gone('t1', LATER)
        self.assertEqual(State.GONE, held.changed_since(0)[0].state)

    async def _word_of_nobody(self):
        held = target_registry.TargetRegistry(BEAT)
        held.record(announcement())
        with self.assertRaises(target_registry.StartMissing):
            held.record(announcement(born=0, sequence=99))
        self.assertEqual([announcement()], held.changed_since(0))

    async def _slow_no_more(self):
        held = target_registry.TargetRegistry(BEAT)
        held.record(announcement())
        held.record_pace('t1', 3.0)
        held.record(announcement(born=LATER))
        self.assertEqual({}, held.paces())


class RosterCase(unittest.TestCase):
    def test_late_word_at_a_reused_address(self):
        """A word of a crashed target comes when another has its address.

        Taken for the newer one, it would take a living rank out of its group
        until that speaks again, a beat later.
        """
        known = site_directory.SiteDirectory(
            machine.SiteMachine(), reading.PlatformReader()
        )
        known.learn_target(announcement(born=LATER, target='t2'))
        known.learn_target(announcement(born=BORN, target='t1', sequence=9))
        names = [member.target for member in known.members('s')]
        self.assertEqual(['t2'], names)

    def test_remembered_name_at_a_living_address(self):
        """All hosts lost power; a target is back under a new name.

        A host tells of the old name from its file, then that it is silent.
        The rank at the address is the new one, and each order that is meant
        for the old one would be refused: no map would be changed any more.
        """
        known = site_directory.SiteDirectory(
            machine.SiteMachine(), reading.PlatformReader()
        )
        known.learn_target(announcement(born=0, target='old'))
        known.learn_target(announcement(born=0, target='new'))
        known.learn_target(announcement(State.SILENT, born=0, target='old'))
        names = [member.target for member in known.members('s')]
        self.assertEqual(['new'], names)

    def test_both_silent(self):
        """Of two silent targets the later start is at the address."""
        known = site_directory.SiteDirectory(
            machine.SiteMachine(), reading.PlatformReader()
        )
        known.learn_target(announcement(State.SILENT, born=LATER, target='t2'))
        known.learn_target(announcement(State.SILENT, born=BORN, target='t1'))
        names = [member.target for member in known.members('s')]
        self.assertEqual(['t2'], names)


class DemandCase(unittest.TestCase):
    def test_counts_begin_anew(self):
        """A rank starts again within an epoch, and its counts with it.

        Their difference to those of the earlier start is nobody's demand.
        """
        known = demand.Demand()
        known.add_counts({'t1': ranks.Counts(1, ((0, 9),), BORN)}, 0)
        known.add_counts({'t1': ranks.Counts(1, ((50, 10),), LATER)}, 0)
        self.assertEqual([], known.tokens)
        known.add_counts({'t1': ranks.Counts(1, ((51, 10),), LATER)}, 0)
        self.assertEqual([[1, 0]], known.tokens)


class HistoryCase(policy_case.PausedCase):
    """Starts, crashes, farewells and restarts, told late and out of order.

    Words of each start go to any of three control hosts and come in any order;
    entries ask the hosts at any moment.  Once it is quiet, each entry holds
    the latest start, with the farewell that this one has said, if any.
    """

    def test_histories(self):
        for seed in SEEDS:
            with self.subTest(seed=seed):
                self.run_paused(self._history(random.Random(seed)))

    async def _history(self, rng):
        hosts = [target_registry.TargetRegistry(BEAT) for _ in range(3)]
        entries = [_Entry(rng, hosts) for _ in range(2)]
        words, last = _lives(rng)
        rng.shuffle(words)
        for word in words:
            _deliver(rng.choice(hosts), word)
            await asyncio.sleep(rng.random() * BEAT)
            for host in hosts:
                host.sweep()
            if rng.random() < 0.5:
                rng.choice(entries).ask()
        _deliver(rng.choice(hosts), last)
        for entry in entries:
            entry.ask()
            held = entry.known.get('t1').announcement
            self.assertEqual(last.born, held.born)
            self.assertEqual(last.is_leaving, held.is_leaving)


class _Entry:
    """Follow all hosts as an entry does."""

    def __init__(self, rng, hosts):
        self.known = targets.Targets('z', BEAT, rng)
        self._serials = {number: 0 for number in range(len(hosts))}
        self._hosts = hosts

    def ask(self):
        for number, host in enumerate(self._hosts):
            for row in host.changed_since(self._serials[number]):
                passed = wire.decode(
                    messages.SiteTarget,
                    wire.encode(announcements.to_message(row)),
                )
                self.known.take(announcements.of_message(passed))
            self._serials[number] = host.serial


def _deliver(host, word):
    if word.state == State.GONE:
        host.mark_gone(word.target, word.born)
        return
    host.record(word)


def _lives(rng):
    """Return all words of some starts but the last one, and that."""
    words = []
    for start in range(rng.randint(2, 4)):
        born = BORN + start * 1000
        count = rng.randint(1, 5)
        beats = [
            announcement(born=born, sequence=beat) for beat in range(count)
        ]
        words.extend(beats)
        if rng.random() < 0.5:
            words.append(announcement(State.LEAVING, sequence=9, born=born))
            words.append(announcement(State.GONE, sequence=9, born=born))
    has_left = words[-1].state == State.GONE
    last = words.pop() if has_left else announcement(born=born, sequence=10)
    return words, last


class CallsCase(direct_case.DirectCase):
    async def test_under_way_is_lost(self):
        """A target loses power with a call, and starts again under its name.

        No reset tells of it.  The call may have run, so it runs nowhere else,
        and its caller hears so at once and not at the deadline.
        """
        self.serve(direct_case.ONCE)
        fake = await self.add(direct_case.silent)
        other = await self.add(direct_case.whole('yes'), zone='far')
        asking = asyncio.create_task(self.ask(left='60000'))
        while not fake.heads:
            await asyncio.sleep(0)
        await self._start_again(fake)
        self.assertEqual(502, (await asking)[0])
        self.assertEqual([], other.heads)

    async def test_goes_on_elsewhere(self):
        """The same of a call that may repeat: another target answers it."""
        self.serve(direct_case.IDEMPOTENT)
        fake = await self.add(direct_case.silent)
        await self.add(direct_case.whole('yes'), zone='far')
        asking = asyncio.create_task(self.ask(left='60000'))
        while not fake.heads:
            await asyncio.sleep(0)
        await self._start_again(fake)
        self.assertEqual((200, b'yes'), (await asking)[:2])
        self.assertEqual(1, len(fake.heads))

    async def test_new_start_is_idle(self):
        """Nothing that was held of the earlier start burdens the later one."""
        self.serve(direct_case.IDEMPOTENT)
        fake = await self.add(direct_case.whole('yes'))
        earlier = self.known.get(fake.name)
        earlier.own_calls = 5
        earlier.back_off(asyncio.get_running_loop().time())
        await self._start_again(fake)
        later = self.known.get(fake.name)
        self.assertEqual((0, 0), (later.own_calls, later.backoff_until))
        self.assertEqual((200, b'yes'), (await self.ask())[:2])

    async def _start_again(self, fake):
        held = self.known.get(fake.name).announcement
        for born in (BORN, LATER):
            self.known.take(
                announcements.Announcement(
                    target=fake.name,
                    service='s',
                    address=held.address,
                    zone=held.zone,
                    born=born,
                )
            )


class ManyTargetsCase(policy_case.PausedCase):
    def test_one_line_for_all(self):
        """An entry of a large site starts and learns of all targets at once.

        A line for each, at each entry, is thousands in which the line that an
        operator looks for is lost; their names are in one.
        """
        self.run_paused(self._one_line())

    async def _one_line(self):
        known = targets.Targets('z', BEAT, random.Random(1))
        for number in range(129):
            known.take(announcement(target=f't{number}', port=number))
        logged = self.enterContext(self.assertLogs('tamarackthread.entry'))
        known.sweep()
        known.take(announcement(State.LEAVING, target='t5', port=5))
        lines = [row.fields for row in logged.records]
        self.assertEqual(129, len(lines[0]['targets']))
        self.assertEqual('t5', lines[1]['target'])
        self.assertEqual(2, len(lines))


class OtherWritersCase(unittest.IsolatedAsyncioTestCase):
    """Anybody can write to the address to which targets announce themselves."""

    GOOD = {
        'service': 's',
        'address': '10.0.0.1:80',
        'zone': 'z',
        'slots': 3,
        'state': 'ready',
        'cold-remaining-ms': 0,
        'sequence': 1,
        'born': BORN,
    }

    async def asyncSetUp(self):
        self.targets = target_registry.TargetRegistry(BEAT)
        self.door = http_api.PlatformApi()
        self.address = await self.door.open(
            '127.0.0.1:0', _NoApi(), self.targets, _NoApi()
        )
        self.session = aiohttp.ClientSession()

    async def asyncTearDown(self):
        await self.session.close()
        await self.door.close()

    async def test_refused(self):
        """Each strange word is refused with its place; the others hold."""
        self.assertEqual(200, await self._beat('t1', self.GOOD))
        logged = self.enterContext(
            self.assertLogs('tamarackthread.control', logging.WARNING)
        )
        for number, body in enumerate(_strange(self.GOOD)):
            with self.subTest(body=body):
                self.assertEqual(400, await self._post(f'x{number}', body))
        await self._post('x0', b'')
        self.assertEqual(len(_strange(self.GOOD)), len(logged.records))
        known = [row.target for row in self.targets.changed_since(0)]
        self.assertEqual(['t1'], known)

    async def test_farewell_of_a_start(self):
        """A farewell names its start, in a body that older targets leave out."""
        await self._beat('t1', {**self.GOOD, 'born': LATER})
        early = json.dumps({'born': BORN}).encode()
        self.assertEqual(200, await self._post('t1', early, 'deregister'))
        self.assertEqual(State.READY, self.targets.changed_since(0)[0].state)
        self.assertEqual(400, await self._post('t1', b'[', 'deregister'))
        self.assertEqual(200, await self._post('t1', b'', 'deregister'))
        self.assertEqual(State.GONE, self.targets.changed_since(0)[0].state)

    async def _beat(self, target, row):
        return await self._post(target, json.dumps(row).encode())

    async def _post(self, target, body, verb='heartbeat'):
        path = f'/tamarackthread/replicas/{target}/{verb}'
        url = f'http://{self.address}{path}'
        async with self.session.post(url, data=body) as answer:
            await answer.read()
            return answer.status


def _strange(good):
    """List bodies that no target sends."""
    bodies = [b'', b'[]', b'"t"', b'{', b'\xff\xfe', b'[' * 100_000]
    for name in good:
        if name not in {'born', 'cold-remaining-ms'}:
            row = {key: value for key, value in good.items() if key != name}
            bodies.append(json.dumps(row).encode())
    for name, value in (
        *(('slots', value) for value in (True, '7', -1, 1 << 31, 1e400)),
        *(('sequence', value) for value in (True, '7', -1, 1 << 63, 0.5)),
        *(('born', value) for value in (True, '7', -1, 1 << 63, 1e12, {})),
        *(('state', value) for value in ('gone', 'READY', None, 1, [])),
        *(('service', value) for value in (None, '', 7, 'x' * 300)),
        *(('address', value) for value in ('', 'host:80', '10.0.0.1', None)),
        *(('cold-remaining-ms', value) for value in (True, -1, 1e400, 'x')),
    ):
        bodies.append(json.dumps({**good, name: value}).encode())
    return bodies


class _NoApi(api.SiteApi):
    """Be the operators' part of a door that only targets come to."""

    def __init__(self):
        """Need nothing."""
