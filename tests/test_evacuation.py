"""Prove that an evacuated zone stays so, and that its targets get nothing."""

import asyncio
import random
import types
import unittest

from tamarackthread.cli import client
from tamarackthread.control.site import (
    book,
    committing,
    evacuation,
    feeding,
    handler,
    machine,
)
from tamarackthread.control.site.maps import ranks, switching
from tamarackthread.entry.direct import targets
from tamarackthread.generated.messages import ttypes as messages
from tamarackthread.shared import errors, listener, peers
from tamarackthread.shared.site import announcements, document, zones
from tests import consensus_net, policy_case, test_operator

ZONES = ('east', 'west')
SERVICE = 's'
AUTHOR = 'ann'
SEEDS = (3, 17, 4242)
REQUESTS = 25
COPY_SECONDS = 1.5


def command(name, revision, *, is_evacuated=True):
    return machine.zone_command(zones.Zone(name, is_evacuated, revision))


def said(target, zone, **fields):
    return announcements.Announcement(
        target=target,
        service=SERVICE,
        address=f'{target}:80',
        zone=zone,
        slots=2,
        **fields,
    )


class MachineCase(unittest.TestCase):
    def test_held_up_copy(self):
        """A copy that was held up does not undo a newer request.

        The operator evacuates a zone, a copy of the command stays on its way,
        the zone is restored, and then the copy reaches the leader.
        """
        site = machine.SiteMachine()
        late = command('east', 0)
        self.assertEqual(machine.TOOK_EFFECT, site.apply(1, late))
        back = command('east', 1, is_evacuated=False)
        self.assertEqual(machine.TOOK_EFFECT, site.apply(2, back))
        self.assertEqual(machine.OVERTAKEN, site.apply(3, late))
        self.assertFalse(site.zones.is_evacuated('east'))

    def test_sent_again(self):
        """A request that is sent again changes nothing and is accepted."""
        site = machine.SiteMachine()
        site.apply(1, command('east', 0))
        told = []
        site.on_change(lambda: told.append(1))
        self.assertEqual(machine.TOOK_EFFECT, site.apply(2, command('east', 1)))
        self.assertEqual([], told)
        self.assertEqual(1, site.zones.changes)

    def test_snapshot(self):
        """Zones and the configuration come back from a snapshot.

        One of an older release holds the configuration alone.
        """
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
        """A command that can't be read is left by every member alike."""
        site = machine.SiteMachine()
        unreadable = b'%b%b' % (command('east', 0)[:9], b'\xff')
        self.assertEqual(machine.OVERTAKEN, site.apply(1, unreadable))


class ForgetfulMachine(machine.SiteMachine):
    """The planted fault: what is asked counts, whatever has happened since."""

    def apply(self, index, command):
        if not command.startswith(machine._ZONE):
            return super().apply(index, command)
        asked = machine._read_zone(command)
        held = self.zones.get(asked.name).revision
        return super().apply(
            index,
            machine.zone_command(
                zones.Zone(asked.name, asked.is_evacuated, held)
            ),
        )


class History:
    """Be operators who evacuate and restore zones while hosts are lost.

    Each zone has an operator of its own, who sends a request to host after
    host until it is acknowledged, then reads, and sends the next.  Some copies
    of what hosts proposed are held up and come when the request is over.
    """

    def __init__(self, seed, machine_of=machine.SiteMachine):
        self.random = random.Random(seed)
        self.net = consensus_net.Net(machine_of, snapshot_entries=1)
        self.found = []

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
            self._hold_up(node, name, is_evacuated=is_evacuated)
            try:
                await self._of(node).ask(
                    name, AUTHOR, is_evacuated=is_evacuated
                )
            except errors.CodedError:
                await asyncio.sleep(0.1)
                continue
            return

    def _hold_up(self, node, name, *, is_evacuated):
        """Send what the host is about to propose once more, later."""
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
        async with asyncio.timeout(consensus_net.PATIENCE_SECONDS):
            while True:
                node = self.random.choice(sorted(self.net.processes))
                try:
                    rows = await self._of(node).newest()
                except errors.CodedError:
                    await asyncio.sleep(0.1)
                    continue
                break
        held = {row.name: row.is_evacuated for row in rows}
        if held[name] != self.wanted[name]:
            self.found.append((name, self.wanted[name], held[name]))

    async def _break(self):
        """Kill a host or cut it off, one at a time."""
        while True:
            await asyncio.sleep(self.random.uniform(0.5, 3))
            node = self.random.choice(consensus_net.NODES)
            self.net.kill(node)
            await asyncio.sleep(self.random.uniform(0, 2))
            await self.net.start(node)

    def _of(self, node):
        return evacuation.Evacuation(
            self.net.processes[node], self.net.machines[node], ZONES
        )


class GroupCase(consensus_net.PausedCase):
    def test_through_any_host(self):
        """A follower takes a request; it stands after all hosts were killed."""
        self.run_paused(self._any_host())

    def test_unknown_zone(self):
        """A zone that the site has not is refused before anything is asked."""
        self.run_paused(self._unknown())

    def test_without_a_quorum(self):
        """A host that is cut off does not acknowledge what it seems to hold.

        It has applied the evacuation and not that the zone was restored; the
        operator evacuates it again and must not be told that it is so.
        """
        self.run_paused(self._without_quorum())

    def test_histories(self):
        """Operators race and lose answers while hosts are killed."""
        for seed in SEEDS:
            with self.subTest(seed=seed):
                history = History(seed)
                self.run_paused(history.run())
                self.assertEqual([], history.found)

    def test_histories_with_a_planted_fault(self):
        """The check finds requests that were undone by a late copy."""
        found = []
        for seed in SEEDS:
            history = History(seed, ForgetfulMachine)
            self.run_paused(history.run())
            found += history.found
        self.assertTrue(found)

    async def _any_host(self):
        net = consensus_net.Net(machine.SiteMachine, snapshot_entries=1)
        await net.start(*consensus_net.NODES)
        leader = await net.leader()
        follower = next(node for node in consensus_net.NODES if node != leader)
        asked = evacuation.Evacuation(
            net.processes[follower], net.machines[follower], ZONES
        )
        await asked.ask('east', AUTHOR, is_evacuated=True)
        await asked.ask('east', AUTHOR, is_evacuated=True)
        self.assertTrue(net.machines[leader].zones.is_evacuated('east'))
        net.kill(*consensus_net.NODES)
        await net.start(*consensus_net.NODES)
        leader = await net.leader()
        again = evacuation.Evacuation(
            net.processes[leader], net.machines[leader], ZONES
        )
        rows = await again.newest()
        self.assertEqual(
            {'east': True, 'west': False},
            {row.name: row.is_evacuated for row in rows},
        )

    async def _unknown(self):
        asked = evacuation.Evacuation(None, machine.SiteMachine(), ZONES)
        with self.assertRaises(evacuation.ZoneUnknown):
            await asked.ask('north', AUTHOR, is_evacuated=True)
        self.assertEqual(422, evacuation.ZoneUnknown.status)

    async def _without_quorum(self):
        net = consensus_net.Net(machine.SiteMachine)
        await net.start(*consensus_net.NODES)
        leader = await net.leader()
        cut = next(node for node in consensus_net.NODES if node != leader)
        asked = evacuation.Evacuation(
            net.processes[cut], net.machines[cut], ZONES
        )
        await asked.ask('east', AUTHOR, is_evacuated=True)
        await net.until(lambda: net.machines[cut].zones.changes)
        net.isolate(cut)
        with self.assertRaises(committing.ChangeUnsettled):
            await asked.ask('east', AUTHOR, is_evacuated=True)


class FeedCase(policy_case.PausedCase):
    def test_follower_is_woken(self):
        """A follower learns of an evacuation at once, and is told it once."""
        self.run_paused(self._woken())

    async def _woken(self):
        site = machine.SiteMachine()
        followers = feeding.Feeding(site, book.Book(1), list, 11)
        peer = types.SimpleNamespace(
            peer=types.SimpleNamespace(role=messages.Role.ENTRY, address='e')
        )
        asked = messages.SiteFeedRequest(
            version=0, epoch=11, serial=0, wait_ms=60_000, zone_changes=0
        )
        waiting = asyncio.create_task(followers.answer(peer, asked))
        await asyncio.sleep(1)
        self.assertFalse(waiting.done())
        site.apply(1, command('east', 0))
        reply = await waiting
        rows = zones.of_messages(reply.zones)
        self.assertEqual([zones.Zone('east', True, 1)], rows)
        asked.zone_changes = 1
        asked.wait_ms = 0
        self.assertIsNone((await followers.answer(peer, asked)).zones)


class EntryCase(policy_case.PausedCase):
    def test_targets_get_nothing(self):
        """Every choice of a target leaves an evacuated zone out.

        The zone's targets are the least loaded and in the entry's own zone.  With
        the other zone evacuated too, no call goes anywhere.
        """
        self.run_paused(self._nothing())

    def test_older_word(self):
        """A control host that is behind takes no request back."""
        self.run_paused(self._older())

    async def _nothing(self):
        known = self.known()
        known.learn_zones([zones.Zone('east', True, 1)])
        for _ in range(20):
            found = known.choose(SERVICE, ())
            self.assertEqual('west', found.said.zone)
            found.own += 1
        self.assertEqual('w1', known.choose(SERVICE, ('w0',)).name)
        crowd = known.crowd(SERVICE, 1)
        self.assertEqual((2, 4), (crowd.ranks, crowd.slots))
        known.learn_zones([zones.Zone('west', True, 1)])
        self.assertIsNone(known.choose(SERVICE, ()))
        self.assertEqual(0, known.crowd(SERVICE, 1).ranks)

    async def _older(self):
        known = self.known()
        known.learn_zones([zones.Zone('east', True, 3)])
        known.learn_zones([zones.Zone('east', False, 2)])
        self.assertEqual(3, known.zone_changes)
        self.assertEqual('west', known.choose(SERVICE, ()).said.zone)

    def known(self):
        known = targets.Targets('east', 1.0, random.Random(5))
        for number in range(2):
            known.take(said(f'e{number}', 'east'))
            known.take(said(f'w{number}', 'west'))
        return known


class GroupRanksCase(unittest.TestCase):
    def test_ranks_without_calls(self):
        """Ranks of an evacuated zone say nothing of the demand.

        Their counts stand still and they run no calls: read in place of others,
        no shift is seen and the group seems idle, however uneven it is.
        """
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
        self.assertEqual(members[2:], group.busy)
        self.assertEqual([2, 3], [row.rank for row in group.busy_reports])


class Asked:
    """Stand for the requests of one control host."""

    def __init__(self):
        self.rows = {name: zones.Zone(name) for name in ZONES}
        self.authors = []

    async def ask(self, zone, author, *, is_evacuated):
        if zone not in self.rows:
            raise evacuation.ZoneUnknown(zone)
        self.authors.append(author)
        self.rows[zone] = zones.Zone(zone, is_evacuated, 1)

    async def newest(self):
        return list(self.rows.values())


class OperatorCase(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.asked = Asked()
        self.listener = listener.Listener(
            test_operator.options('c1'),
            handler.SiteHandler(None, None, None, self.asked),
        )
        self.address = await self.listener.start('127.0.0.1', 0)

    async def asyncTearDown(self):
        self.listener.close()
        await asyncio.sleep(0)

    async def test_evacuates_and_lists(self):
        """The command line's client evacuates a zone and is shown all."""
        rows = await self.ask(messages.Role.OPERATOR, 'east')
        self.assertEqual(
            [('east', True), ('west', False)],
            [(row.name, row.is_evacuated) for row in rows],
        )
        self.assertEqual(['ann at desk'], self.asked.authors)

    async def test_refused(self):
        """A zone that is unknown, or a process that is no operator's."""
        for role, zone in (
            (messages.Role.OPERATOR, 'north'),
            (messages.Role.ENTRY, 'east'),
        ):
            with self.assertRaises(errors.CodedError):
                await self.ask(role, zone)
        self.assertEqual([], self.asked.authors)

    async def ask(self, role, zone):
        dialled = peers.Peers(test_operator.options('o', role))
        operator = client.Operator(
            dialled, (self.address,), test_operator.AUTHOR, 5
        )
        try:
            return await operator.zones(
                messages.SiteZoneRequest(name=zone, is_evacuated=True)
            )
        finally:
            dialled.close()
