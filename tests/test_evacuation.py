"""Test that an evacuated zone stays evacuated and its targets get no calls."""

import asyncio
import random
import socket
import struct
import types
import unittest

from tamarackthread.cli import client
from tamarackthread.control import proposing
from tamarackthread.control.site import (
    callers,
    committing,
    evacuation,
    feed,
    handler,
    machine,
    target_registry,
)
from tamarackthread.control.site.maps import ranks, switching
from tamarackthread.entry.direct import targets
from tamarackthread.generated.messages import ttypes as messages
from tamarackthread.platform import http_api
from tamarackthread.shared import errors, link_pool, listener
from tamarackthread.shared.site import announcements, document, zones
from tests import consensus_net, policy_case, test_operator

ZONES = ('east', 'west')
SERVICE = 's'
SEEDS = (3, 17, 4242)
REQUESTS = 25
COPY_SECONDS = 1.5


def command(name, revision, *, is_evacuated=True):
    return machine.zone_command(zones.Zone(name, is_evacuated, revision))


def announcement(target, zone, **fields):
    return announcements.Announcement(
        target=target,
        service=SERVICE,
        address=f'{target}:80',
        zone=zone,
        slots=2,
        **fields,
    )


class PatientCaller(callers.Caller):
    """Caller that waits for its answer however long it takes."""

    @property
    def name(self):
        return 'ann'

    @property
    def is_waiting(self):
        return True


CALLER = PatientCaller()


class MachineCase(unittest.TestCase):
    def test_delayed_copy(self):
        """A delayed copy of a command does not undo a newer request."""
        site = machine.SiteMachine()
        late = command('east', 0)
        self.assertEqual(machine.APPLIED, site.apply(1, late))
        back = command('east', 1, is_evacuated=False)
        self.assertEqual(machine.APPLIED, site.apply(2, back))
        self.assertEqual(machine.SUPERSEDED, site.apply(3, late))
        self.assertFalse(site.zones.is_evacuated('east'))

    def test_repeated_request(self):
        """Guards against an older copy that undoes a repeated request."""
        site = machine.SiteMachine()
        site.apply(1, command('east', 0))
        older_copy = command('east', 1, is_evacuated=False)
        self.assertEqual(machine.APPLIED, site.apply(2, command('east', 1)))
        self.assertTrue(site.zones.is_evacuated('east'))
        self.assertEqual(machine.SUPERSEDED, site.apply(3, older_copy))
        self.assertTrue(site.zones.is_evacuated('east'))

    def test_snapshot(self):
        """Zones and configuration survive a snapshot, also of an older release."""
        site = machine.SiteMachine()
        site.apply(1, document.pack(4, b'four').encode())
        older = site.snapshot()
        site.apply(2, command('west', 0))
        restored = machine.SiteMachine()
        restored.restore(site.snapshot())
        self.assertEqual(b'four', restored.held.body)
        self.assertTrue(restored.zones.is_evacuated('west'))
        restored.restore(older)
        self.assertEqual(4, restored.held.version)
        self.assertFalse(restored.zones.changes)

    def test_command_of_a_later_release(self):
        """Members ignore a command of a later release that they can't parse."""
        site = machine.SiteMachine()
        unreadable = b'%b%b' % (command('east', 0)[:9], b'\xff')
        self.assertEqual(machine.SUPERSEDED, site.apply(1, unreadable))


class UncheckedMachine(machine.SiteMachine):
    """Faulty machine that applies zone changes whatever their revision."""

    def apply(self, index, command):
        if not command.startswith(machine._ZONE_PREFIX):
            return super().apply(index, command)
        proposed = machine._read_zone(command)
        held = self.zones.get(proposed.name).revision
        return super().apply(
            index,
            machine.zone_command(
                zones.Zone(proposed.name, proposed.is_evacuated, held)
            ),
        )


class History:
    """Operators evacuate and restore zones while hosts fail.

    Each zone has its own operator, who retries a request on any host until it
    is acknowledged and then reads it back.  Some proposals arrive again later.
    """

    def __init__(self, seed, machine_of=machine.SiteMachine):
        self.random = random.Random(seed)
        self.net = consensus_net.Net(machine_of, snapshot_entries=1)
        self.mismatches = []

    async def run(self):
        await self.net.start(*consensus_net.NODES)
        await self.net.leader()
        breaking = asyncio.create_task(self._break())
        await asyncio.gather(*(self._operate(name) for name in ZONES))
        breaking.cancel()
        await asyncio.gather(breaking, return_exceptions=True)
        for node in consensus_net.NODES:
            if node not in self.net.processes:
                await self.net.start(node)
        self.net.kill(*consensus_net.NODES)
        await self.net.start(*consensus_net.NODES)
        for name in ZONES:
            await self._check(name)

    async def _operate(self, name):
        self.wanted = getattr(self, 'wanted', {})
        for number in range(REQUESTS):
            self.wanted[name] = number % 2 == 0
            await self._ask(name, is_evacuated=self.wanted[name])
            await asyncio.sleep(self.random.uniform(0, COPY_SECONDS))
            await self._check(name)

    async def _ask(self, name, *, is_evacuated):
        while True:
            node = self.random.choice(sorted(self.net.processes))
            self._schedule_copy(node, name, is_evacuated=is_evacuated)
            try:
                await self._evacuation_on(node).request(
                    name, CALLER, is_evacuated=is_evacuated
                )
            except errors.CodedError:
                await asyncio.sleep(0.1)
                continue
            return

    def _schedule_copy(self, node, name, *, is_evacuated):
        """Schedule a delayed copy of what the host is about to propose."""
        if self.random.random() > 0.5:
            return
        revision = self.net.machines[node].zones.get(name).revision
        copy = command(name, revision, is_evacuated=is_evacuated)
        asyncio.create_task(self._send_late(copy))

    async def _send_late(self, copy):
        await asyncio.sleep(self.random.uniform(0, 2 * COPY_SECONDS))
        for process in tuple(self.net.processes.values()):
            try:
                await process.submit(copy, 0.5)
            except errors.CodedError:
                continue
            return

    async def _check(self, name):
        async with asyncio.timeout(consensus_net.WAIT_TIMEOUT_SECONDS):
            while True:
                node = self.random.choice(sorted(self.net.processes))
                try:
                    rows = await self._evacuation_on(node).list_zones()
                except errors.CodedError:
                    await asyncio.sleep(0.1)
                    continue
                break
        held = {row.name: row.is_evacuated for row in rows}
        if held[name] != self.wanted[name]:
            self.mismatches.append((name, self.wanted[name], held[name]))

    async def _break(self):
        """Kill and restart one host at a time."""
        while True:
            await asyncio.sleep(self.random.uniform(0.5, 3))
            node = self.random.choice(consensus_net.NODES)
            self.net.kill(node)
            await asyncio.sleep(self.random.uniform(0, 2))
            await self.net.start(node)

    def _evacuation_on(self, node):
        return evacuation.Evacuation(
            self.net.processes[node], self.net.machines[node], ZONES
        )


class GroupCase(consensus_net.PausedCase):
    def test_through_any_host(self):
        """A follower accepts a request, and it survives a restart of all hosts."""
        self.run_paused(self._any_host())

    def test_unknown_zone(self):
        """An unknown zone is rejected before anything is proposed."""
        self.run_paused(self._unknown())

    def test_without_a_quorum(self):
        """A partitioned host does not acknowledge a request from stale state."""
        self.run_paused(self._without_quorum())

    def test_histories(self):
        """Requests survive lost responses and host failures."""
        for seed in SEEDS:
            with self.subTest(seed=seed):
                history = History(seed)
                self.run_paused(history.run())
                self.assertEqual([], history.mismatches)

    def test_histories_with_a_planted_fault(self):
        """The history check detects requests undone by a late copy."""
        mismatches = []
        for seed in SEEDS:
            history = History(seed, UncheckedMachine)
            self.run_paused(history.run())
            mismatches += history.mismatches
        self.assertTrue(mismatches)

    async def _any_host(self):
        net = consensus_net.Net(machine.SiteMachine, snapshot_entries=1)
        await net.start(*consensus_net.NODES)
        leader = await net.leader()
        follower = next(node for node in consensus_net.NODES if node != leader)
        requests = evacuation.Evacuation(
            net.processes[follower], net.machines[follower], ZONES
        )
        await requests.request('east', CALLER, is_evacuated=True)
        await requests.request('east', CALLER, is_evacuated=True)
        self.assertTrue(net.machines[leader].zones.is_evacuated('east'))
        net.kill(*consensus_net.NODES)
        await net.start(*consensus_net.NODES)
        leader = await net.leader()
        again = evacuation.Evacuation(
            net.processes[leader], net.machines[leader], ZONES
        )
        rows = await again.list_zones()
        self.assertEqual(
            {'east': True, 'west': False},
            {row.name: row.is_evacuated for row in rows},
        )

    async def _unknown(self):
        requests = evacuation.Evacuation(None, machine.SiteMachine(), ZONES)
        with self.assertRaises(evacuation.ZoneUnknown):
            await requests.request('north', CALLER, is_evacuated=True)
        self.assertEqual(422, evacuation.ZoneUnknown.status)

    async def _without_quorum(self):
        net = consensus_net.Net(machine.SiteMachine)
        await net.start(*consensus_net.NODES)
        leader = await net.leader()
        cut = next(node for node in consensus_net.NODES if node != leader)
        requests = evacuation.Evacuation(
            net.processes[cut], net.machines[cut], ZONES
        )
        await requests.request('east', CALLER, is_evacuated=True)
        await net.until(lambda: net.machines[cut].zones.changes)
        net.isolate(cut)
        with self.assertRaises(committing.ChangeUnsettled):
            await requests.request('east', CALLER, is_evacuated=True)


class LateOrderCase(unittest.IsolatedAsyncioTestCase):
    """Orders over HTTP to a host that was frozen while they arrived."""

    async def asyncSetUp(self):
        self.proposed = []
        self.site = machine.SiteMachine()
        self.api = http_api.PlatformApi()
        self.address = await self.api.open(
            '127.0.0.1:0',
            None,
            None,
            evacuation.Evacuation(self, self.site, ZONES),
        )
        self.addAsyncCleanup(self.api.close)

    async def submit(self, sent, timeout_seconds):
        """Commit a command at once, in place of the consensus group."""
        self.proposed.append(sent)
        applied = self.site.apply(len(self.proposed), sent)
        return proposing.ProposeResult(len(self.proposed), applied)

    async def test_caller_is_gone(self):
        """Guards against an order that takes effect after a newer one."""
        for is_reset in (False, True):
            self._send('finish', is_reset=is_reset).close()
            await asyncio.sleep(3 * evacuation.CLOSE_SECONDS)
            self.assertEqual([], self.proposed)

    async def test_caller_waits(self):
        """Guards against refusing an order whose caller still waits."""
        connection = self._send('start')
        loop = asyncio.get_running_loop()
        connection.setblocking(False)
        answer = await loop.sock_recv(connection, 4096)
        connection.close()
        self.assertIn(b' 200 ', answer.split(b'\r\n')[0])
        self.assertTrue(self.site.zones.is_evacuated('east'))

    def _send(self, order, *, is_reset=False):
        """Send an order while the host's loop does not run."""
        host, _, port = self.address.rpartition(':')
        connection = socket.create_connection((host, int(port)))
        connection.sendall(
            f'POST /tamarackthread/evacuation/east/{order} HTTP/1.1\r\n'
            f'Host: {self.address}\r\nContent-Length: 0\r\n\r\n'.encode()
        )
        if is_reset:
            linger = struct.pack('ii', 1, 0)
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        return connection


class FeedCase(policy_case.PausedCase):
    def test_follower_is_woken(self):
        """A waiting follower receives an evacuation at once, and only once."""
        self.run_paused(self._woken())

    async def _woken(self):
        site = machine.SiteMachine()
        followers = feed.Feed(site, target_registry.TargetRegistry(1), list, 11)
        peer = types.SimpleNamespace(
            peer=types.SimpleNamespace(role=messages.Role.ENTRY, address='e')
        )
        request = messages.SiteFeedRequest(
            version=0, epoch=11, serial=0, wait_ms=60_000, zone_changes=0
        )
        waiting = asyncio.create_task(followers.answer(peer, request))
        await asyncio.sleep(1)
        self.assertFalse(waiting.done())
        site.apply(1, command('east', 0))
        reply = await waiting
        rows = zones.from_messages(reply.zones)
        self.assertEqual([zones.Zone('east', True, 1)], rows)
        request.zone_changes = 1
        request.wait_ms = 0
        self.assertIsNone((await followers.answer(peer, request)).zones)


class EntryCase(policy_case.PausedCase):
    def test_evacuated_zone_gets_no_calls(self):
        """Targets in an evacuated zone are never chosen, even the nearest."""
        self.run_paused(self._nothing())

    def test_older_revision(self):
        """An older revision from a lagging control host is ignored."""
        self.run_paused(self._older())

    async def _nothing(self):
        known = self.known()
        known.learn_zones([zones.Zone('east', True, 1)])
        for _ in range(20):
            chosen = known.choose(SERVICE, ())
            self.assertEqual('west', chosen.announcement.zone)
            chosen.own_calls += 1
        self.assertEqual('w1', known.choose(SERVICE, ('w0',)).name)
        crowd = known.group_load(SERVICE, 1)
        self.assertEqual((2, 4), (crowd.ranks, crowd.slots))
        known.learn_zones([zones.Zone('west', True, 1)])
        self.assertIsNone(known.choose(SERVICE, ()))
        self.assertEqual(0, known.group_load(SERVICE, 1).ranks)

    async def _older(self):
        known = self.known()
        known.learn_zones([zones.Zone('east', True, 3)])
        known.learn_zones([zones.Zone('east', False, 2)])
        self.assertEqual(3, known.zone_changes)
        self.assertEqual('west', known.choose(SERVICE, ()).announcement.zone)

    def known(self):
        known = targets.Targets('east', 1.0, random.Random(5))
        for number in range(2):
            known.take(announcement(f'e{number}', 'east'))
            known.take(announcement(f'w{number}', 'west'))
        return known


class GroupRanksCase(unittest.TestCase):
    def test_ranks_without_calls(self):
        """Ranks of an evacuated zone are not sampled for demand or load."""
        members = tuple(
            ranks.Rank(f't{number}', f'a{number}', takes_calls=number > 1)
            for number in range(4)
        )
        reports = tuple(
            ranks.RankReport(
                group='g',
                epoch=1,
                rank=number,
                size=4,
                is_open=True,
                step=7,
                version=0,
            )
            for number in range(4)
        )
        group = switching.Group(
            name='g', epoch=1, members=members, reports=reports
        )
        self.assertEqual(members[2:], group.serving)
        self.assertEqual([2, 3], [row.rank for row in group.serving_reports])


class FakeEvacuation:
    """Fake of ``evacuation.Evacuation`` that records the authors."""

    def __init__(self):
        self.rows = {name: zones.Zone(name) for name in ZONES}
        self.authors = []

    async def request(self, zone, caller, *, is_evacuated):
        if zone not in self.rows:
            raise evacuation.ZoneUnknown(zone)
        self.authors.append(caller.name)
        self.rows[zone] = zones.Zone(zone, is_evacuated, 1)

    async def list_zones(self):
        return list(self.rows.values())


class OperatorCase(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.fake_evacuation = FakeEvacuation()
        self.listener = listener.Listener(
            test_operator.options('c1'),
            handler.SiteHandler(None, None, None, self.fake_evacuation),
        )
        self.address = await self.listener.start('127.0.0.1', 0)

    async def asyncTearDown(self):
        self.listener.close()
        await asyncio.sleep(0)

    async def test_evacuates_and_lists(self):
        """The command line's client evacuates a zone and lists all zones."""
        rows = await self.ask(messages.Role.OPERATOR, 'east')
        self.assertEqual(
            [('east', True), ('west', False)],
            [(row.name, row.is_evacuated) for row in rows],
        )
        self.assertEqual(['ann at desk'], self.fake_evacuation.authors)

    async def test_refused(self):
        """An unknown zone and a peer that is no operator are rejected."""
        for role, zone in (
            (messages.Role.OPERATOR, 'north'),
            (messages.Role.ENTRY, 'east'),
        ):
            with self.assertRaises(errors.CodedError):
                await self.ask(role, zone)
        self.assertEqual([], self.fake_evacuation.authors)

    async def ask(self, role, zone):
        dialled = link_pool.LinkPool(test_operator.options('o', role))
        operator = client.Operator(
            dialled, (self.address,), test_operator.AUTHOR, 5
        )
        try:
            return await operator.zones(
                messages.SiteZoneRequest(name=zone, is_evacuated=True)
            )
        finally:
            dialled.close()
