"""Test that a restarted target is known as a new instance."""

from __future__ import annotations

import asyncio
import json
import logging
import random
import unittest

import aiohttp

from tamarackthread.control import proposing
from tamarackthread.control.site import (
    announcing,
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
    """Build an announcement of a target instance."""
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
        """A restarted target is known despite its lower sequence number."""
        self.assertTrue(
            announcement(born=LATER).supersedes(announcement(sequence=41))
        )

    def test_farewell_is_of_one_start(self):
        """A farewell of an instance doesn't apply to the next one."""
        for farewell in (State.LEAVING, State.GONE):
            held = announcement(farewell, sequence=41)
            self.assertTrue(announcement(born=LATER).supersedes(held))

    def test_earlier_start_never_counts(self):
        """Delayed announcements of an ended instance are ignored."""
        held = announcement(born=LATER)
        for state in (State.READY, State.LEAVING, State.GONE, State.SILENT):
            self.assertFalse(announcement(state, sequence=99).supersedes(held))

    def test_announcement_without_start(self):
        """Announcements of an older release apply to the known instance."""
        held = announcement(sequence=5)
        late = announcement(born=0, sequence=4)
        self.assertFalse(late.supersedes(held))
        leaving = announcement(State.LEAVING, born=0, sequence=1)
        self.assertTrue(leaving.supersedes(held))
        self.assertEqual(BORN, leaving.inherit_start(held).born)
        self.assertTrue(
            announcement(sequence=1).supersedes(
                announcement(born=0, sequence=9)
            )
        )
        self.assertFalse(announcement(sequence=9).supersedes(leaving))

    def test_passed_on(self):
        """The start time is an optional field of the message."""
        row = announcements.to_message(announcement())
        self.assertEqual(BORN, announcements.from_message(row).born)
        row.born_ms = None
        self.assertEqual(0, announcements.from_message(row).born)


class BookCase(policy_case.PausedCase):
    def test_late_farewell(self):
        """A delayed farewell of an ended instance is ignored."""
        self.run_paused(self._late_farewell())

    def test_heartbeat_without_start(self):
        """Heartbeats without a start time don't keep a target alive."""
        self.run_paused(self._heartbeat_without_start())

    def test_pace_is_reset(self):
        """The pace of an ended instance is not kept for the next one."""
        self.run_paused(self._pace_is_reset())

    async def _late_farewell(self):
        held = target_registry.TargetRegistry(BEAT)
        held.record(announcement(born=LATER))
        held.mark_gone('t1', BORN)
        self.assertEqual(State.READY, held.changed_since(0)[0].state)
        held.mark_gone('t1', LATER)
        self.assertEqual(State.GONE, held.changed_since(0)[0].state)

    async def _heartbeat_without_start(self):
        held = target_registry.TargetRegistry(BEAT)
        held.record(announcement())
        with self.assertRaises(target_registry.StartMissing):
            held.record(announcement(born=0, sequence=99))
        self.assertEqual([announcement()], held.changed_since(0))

    async def _pace_is_reset(self):
        held = target_registry.TargetRegistry(BEAT)
        held.record(announcement())
        held.record_pace('t1', 3.0)
        held.record(announcement(born=LATER))
        self.assertEqual({}, held.paces())


class RosterCase(unittest.TestCase):
    def test_late_announcement_at_reused_address(self):
        """A delayed announcement doesn't replace the target at its address."""
        known = site_directory.SiteDirectory(
            machine.SiteMachine(), reading.PlatformReader()
        )
        known.learn_target(announcement(born=LATER, target='t2'))
        known.learn_target(announcement(born=BORN, target='t1', sequence=9))
        names = [member.target for member in known.members('s')]
        self.assertEqual(['t2'], names)

    def test_remembered_name_at_a_living_address(self):
        """A silent target that was read from a file doesn't hide a live one."""
        known = site_directory.SiteDirectory(
            machine.SiteMachine(), reading.PlatformReader()
        )
        known.learn_target(announcement(born=0, target='old'))
        known.learn_target(announcement(born=0, target='new'))
        known.learn_target(announcement(State.SILENT, born=0, target='old'))
        names = [member.target for member in known.members('s')]
        self.assertEqual(['new'], names)

    def test_both_silent(self):
        """Of two silent targets at an address, the later instance counts."""
        known = site_directory.SiteDirectory(
            machine.SiteMachine(), reading.PlatformReader()
        )
        known.learn_target(announcement(State.SILENT, born=LATER, target='t2'))
        known.learn_target(announcement(State.SILENT, born=BORN, target='t1'))
        names = [member.target for member in known.members('s')]
        self.assertEqual(['t2'], names)


class DemandCase(unittest.TestCase):
    def test_counts_begin_anew(self):
        """Counters that restart with a rank don't count as demand."""
        known = demand.Demand()
        known.add_counts({'t1': ranks.Counts(1, ((0, 9),), BORN)}, 0)
        known.add_counts({'t1': ranks.Counts(1, ((50, 10),), LATER)}, 0)
        self.assertEqual([], known.tokens)
        known.add_counts({'t1': ranks.Counts(1, ((51, 10),), LATER)}, 0)
        self.assertEqual([[1, 0]], known.tokens)


class HistoryCase(policy_case.PausedCase):
    """Replay random starts, crashes and farewells out of order."""

    def test_histories(self):
        for seed in SEEDS:
            with self.subTest(seed=seed):
                self.run_paused(self._history(random.Random(seed)))

    async def _history(self, rng):
        hosts = [target_registry.TargetRegistry(BEAT) for _ in range(3)]
        entries = [_Entry(rng, hosts) for _ in range(2)]
        sent, last = _random_history(rng)
        rng.shuffle(sent)
        for row in sent:
            _deliver(rng.choice(hosts), row)
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
    """Follow all control hosts as an entry does."""

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
                self.known.take(announcements.from_message(passed))
            self._serials[number] = host.serial


def _deliver(host, row):
    if row.state == State.GONE:
        host.mark_gone(row.target, row.born)
        return
    host.record(row)


def _random_history(rng):
    """Return all announcements of some instances, and the last one."""
    sent = []
    for start in range(rng.randint(2, 4)):
        born = BORN + start * 1000
        count = rng.randint(1, 5)
        beats = [
            announcement(born=born, sequence=beat) for beat in range(count)
        ]
        sent.extend(beats)
        if rng.random() < 0.5:
            sent.append(announcement(State.LEAVING, sequence=9, born=born))
            sent.append(announcement(State.GONE, sequence=9, born=born))
    has_left = sent[-1].state == State.GONE
    last = sent.pop() if has_left else announcement(born=born, sequence=10)
    return sent, last


class CallsCase(direct_case.DirectCase):
    async def test_under_way_is_lost(self):
        """A call that must not repeat fails when its target restarts."""
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
        """A call that may repeat is retried when its target restarts."""
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
        """Open calls and backoff of an ended instance are not kept."""
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
        """A starting entry logs all new targets in one line."""
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
    """Reject invalid messages at the address for announcements."""

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
        self.announcing = announcing.Announcing(
            _Committed(), machine.SiteMachine(), self.targets
        )
        self.door = http_api.PlatformApi()
        self.address = await self.door.open(
            '127.0.0.1:0', _NoApi(), self.announcing, _NoApi()
        )
        self.session = aiohttp.ClientSession()

    async def asyncTearDown(self):
        await self.session.close()
        await self.door.close()

    async def test_refused(self):
        """Invalid announcements are refused and don't affect valid ones."""
        self.assertEqual(200, await self._beat('t1', self.GOOD))
        logged = self.enterContext(
            self.assertLogs('tamarackthread.control', logging.WARNING)
        )
        for number, body in enumerate(_invalid_bodies(self.GOOD)):
            with self.subTest(body=body):
                self.assertEqual(400, await self._post(f'x{number}', body))
        await self._post('x0', b'')
        self.assertEqual(len(_invalid_bodies(self.GOOD)), len(logged.records))
        known = [row.target for row in self.targets.changed_since(0)]
        self.assertEqual(['t1'], known)

    async def test_farewell_of_a_start(self):
        """A farewell names its instance, in an optional body."""
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


def _invalid_bodies(good):
    """List invalid bodies of announcements."""
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


class _Committed:
    """A stub of the replicated log that commits everything at once."""

    async def submit(self, command, timeout_seconds):
        return proposing.ProposeResult(1, machine.APPLIED)


class _NoApi(api.SiteApi):
    """A stub of the operators' API."""

    def __init__(self):
        """Need nothing."""
