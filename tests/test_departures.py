"""Test that an acknowledged departure of a target is never lost or undone."""

from __future__ import annotations

import asyncio
import random
import unittest

import attrs

from tamarackthread.control.site import (
    announcing,
    committing,
    departures,
    machine,
    target_registry,
)
from tamarackthread.entry.direct import targets
from tamarackthread.shared import errors
from tamarackthread.shared.site import announcements, document
from tests import membership_net, test_site_control

State = announcements.State
# Bounds of the platform's pages, in seconds.
BEAT = 1.2
DRAIN = 2.0
TOUCH = 3.0
CATCH_UP = 4.0
CALL_TIMEOUT = 1.0
DRAWN_HISTORIES = 12
ROUNDS = 3


def command(announced, at_ms=0):
    return machine.departure_command(departures.Departure(announced, at_ms))


class MachineCase(unittest.TestCase):
    def test_snapshot(self):
        """Guards against departures that a restart of all hosts forgets."""
        site = machine.SiteMachine()
        site.apply(1, document.pack(4, b'four').encode())
        site.apply(2, command(test_site_control.announcement(State.LEAVING)))
        site.apply(
            3,
            command(
                test_site_control.announcement(State.GONE, target='t2', born=7)
            ),
        )
        heard = []
        restored = machine.SiteMachine()
        restored.on_departure(heard.append)
        restored.restore(site.snapshot())
        self.assertEqual(4, restored.held.version)
        self.assertEqual(['t1', 't2'], [row.target for row in heard])
        self.assertTrue(
            restored.departures.covers(
                test_site_control.announcement(State.LEAVING)
            )
        )
        self.assertFalse(
            restored.departures.covers(
                test_site_control.announcement(State.GONE)
            )
        )

    def test_late_and_doubled_commands(self):
        """Guards against a late copy that takes back what was said later."""
        site = machine.SiteMachine()
        gone = command(test_site_control.announcement(State.GONE, born=7))
        late = command(test_site_control.announcement(State.LEAVING, born=7))
        self.assertEqual(machine.APPLIED, site.apply(1, gone))
        self.assertEqual(machine.SUPERSEDED, site.apply(2, gone))
        self.assertEqual(machine.SUPERSEDED, site.apply(3, late))
        held = site.departures.rows[0].announcement
        self.assertEqual(State.GONE, held.state)

    def test_unreadable_commands(self):
        """Guards against a command that halts the group on every member."""
        site = machine.SiteMachine()
        prefix = command(test_site_control.announcement(State.GONE))[:8]
        for body in (
            b'',
            b'\xff',
            command(test_site_control.announcement())[8:],
        ):
            with self.subTest(body=body):
                self.assertEqual(
                    machine.SUPERSEDED, site.apply(1, prefix + body)
                )

    def test_bounded(self):
        """Guards against a snapshot that grows with every departure."""
        site = machine.SiteMachine()
        for number in range(departures.MAX_ROWS + 5):
            site.apply(
                number,
                command(
                    test_site_control.announcement(
                        State.GONE, target=f't{number}'
                    )
                ),
            )
        self.assertEqual(departures.MAX_ROWS, len(site.departures.rows))
        later = departures.RETENTION_MS + 1
        site.apply(
            1,
            command(
                test_site_control.announcement(State.GONE, target='last'), later
            ),
        )
        self.assertEqual(1, len(site.departures.rows))


class _Machine(machine.SiteMachine):
    """The replicated state of a host, with the registry that it informs."""

    def __init__(self):
        super().__init__()
        self.registry = target_registry.TargetRegistry(BEAT)
        self.on_departure(self.registry.record_departure)


class _Site:
    """Control hosts, and targets that tell them of their departure."""

    def __init__(self, seed):
        self.random = random.Random(seed)
        self.net = membership_net.MembershipNet(seed)
        self.net._machine_of = _Machine

    async def start(self):
        for node in membership_net.SEEDS:
            await self.net.run_host(node, first_start=True)
        await self.net.leader()

    def announcing_on(self, node):
        held = self.net.machines[node]
        return announcing.Announcing(
            self.net.processes[node], held, held.registry
        )

    async def leave(self, announced):
        """Tell one host after another, as targets do; return who acked."""
        while True:
            node = self.random.choice(sorted(self.net.processes))
            if await self._is_acked(node, announced):
                return node
            await asyncio.sleep(0.05)

    async def _is_acked(self, node, announced):
        try:
            async with asyncio.timeout(CALL_TIMEOUT):
                await self._tell(node, announced)
        except (errors.CodedError, TimeoutError):
            return False
        return True

    async def _tell(self, node, announced):
        if announced.state == State.GONE:
            await self.announcing_on(node).deregister(announced.target)
        else:
            await self.announcing_on(node).announce(announced)

    async def disrupt(self, node):
        """Let the host that acknowledged be lost, in a drawn way."""
        kind = self.random.choice(('disk', 'crash', 'freeze', 'cut', 'power'))
        if kind == 'disk':
            await self.net.lose_disk(node, 1)
        elif kind == 'crash':
            self.net.crash(node)
            await asyncio.sleep(1)
            await self.net.run_host(node)
        elif kind == 'freeze':
            await self.net.freeze(node, self.random.uniform(1, CATCH_UP))
        elif kind == 'cut':
            self.net.isolate(node)
            await asyncio.sleep(self.random.uniform(1, CATCH_UP))
            self.net.network.heal()
        else:
            await self._lose_power()

    async def _lose_power(self):
        for node in membership_net.SEEDS:
            self.net.crash(node)
        for node in membership_net.SEEDS:
            await self.net.run_host(node)

    async def beat_late(self, announced):
        """Deliver old announcements to drawn hosts, as a healed link does."""
        for _ in range(4):
            await asyncio.sleep(self.random.uniform(0, 1))
            running = sorted(self.net.processes)
            registry = self.net.machines[self.random.choice(running)].registry
            registry.restore(announced)
            registry.record(attrs.evolve(announced, sequence=99))

    def told_states(self, target):
        """Return the states that a new entry and an old one end up with."""
        new = targets.Targets('z', BEAT, self.random)
        old = targets.Targets('z', BEAT, self.random)
        old.take(test_site_control.announcement(target=target))
        for node in self.random.sample(membership_net.SEEDS, 3):
            for row in self.net.machines[node].registry.changed_since(0):
                new.take(row)
                old.take(row)
        return [known.get(target).announcement.state for known in (new, old)]


class DrawnHistoriesCase(membership_net.FrozenCase):
    def test_acknowledged_departure(self):
        """Guards against a departure that is lost with the host that acked it."""
        for seed in range(DRAWN_HISTORIES):
            with self.subTest(seed=seed):
                self.run_paused(self._play(seed))

    def test_minority_away(self):
        """Guards against a target that can't leave while a host is lost."""
        self.run_paused(self._minority())

    def test_no_quorum(self):
        """Guards against an acknowledgement that only one host stands behind."""
        self.run_paused(self._no_quorum())

    async def _play(self, seed):
        site = _Site(seed)
        await site.start()
        for number in range(ROUNDS):
            name = f't{number}'
            ready = test_site_control.announcement(target=name)
            home = site.random.choice(membership_net.SEEDS)
            site.net.machines[home].registry.record(ready)
            state = site.random.choice((State.LEAVING, State.GONE))
            leaving = attrs.evolve(ready, state=state, sequence=2)
            acked_by = await site.leave(leaving)
            late = asyncio.create_task(site.beat_late(ready))
            await site.disrupt(acked_by)
            await asyncio.sleep(TOUCH)
            for told in site.told_states(name):
                self.assertIn(told, {State.LEAVING, State.GONE}, acked_by)
            await late
            await asyncio.sleep(CATCH_UP)
            for told in site.told_states(name):
                self.assertIn(told, {State.LEAVING, State.GONE}, acked_by)

    async def _minority(self):
        for is_leader in (True, False):
            site = _Site(seed=5)
            await site.start()
            leader = await site.net.leader()
            lost = leader if is_leader else _other(leader)
            site.net.crash(lost)
            async with asyncio.timeout(CATCH_UP):
                await site.leave(test_site_control.announcement(State.GONE))

    async def _no_quorum(self):
        site = _Site(seed=6)
        await site.start()
        left = await site.net.leader()
        for node in membership_net.SEEDS:
            if node != left:
                site.net.crash(node)
        registry = site.net.machines[left].registry
        registry.record(test_site_control.announcement())
        with self.assertRaises(committing.ChangeUnsettled):
            async with asyncio.timeout(CALL_TIMEOUT):
                await site.announcing_on(left).deregister('t1')
        # Entries are told all the same: that only withholds calls.
        self.assertEqual(State.GONE, registry.changed_since(0)[0].state)


def _other(leader):
    return next(node for node in membership_net.SEEDS if node != leader)
