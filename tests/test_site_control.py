"""Prove what control hosts of a site keep, and how they come and go."""

import asyncio
import json
import unittest

from tamarackthread.control import failures
from tamarackthread.control.site import api, feed, machine, target_registry
from tamarackthread.generated.messages import ttypes as messages
from tamarackthread.platform import configuration as reading
from tamarackthread.shared import findings
from tamarackthread.shared.site import announcements, document
from tests import consensus_net, policy_case

State = announcements.State


def said(state=State.READY, sequence=1, target='t1', **fields):
    """Build an announcement."""
    return announcements.Announcement(
        target=target,
        service='s',
        address='10.0.0.1:80',
        state=state,
        sequence=sequence,
        **fields,
    )


def body(version, prefix='/a/'):
    """Build a small configuration in the platform's form."""
    route = {
        'name': 'r',
        'host': 'h.example',
        'path-prefix': prefix,
        'kind': 'idempotent',
        'timeout-ms': 1000,
        'service': 's',
    }
    return json.dumps(
        {'version': version, 'routes': [route], 'services': [{'name': 's'}]}
    ).encode()


class SiteMachineCase(unittest.TestCase):
    def test_highest_version_wins(self):
        """An operator reads back the highest version, in whatever order.

        Two operators race and the older change is committed last; it must
        be acknowledged and change nothing, also after a snapshot.
        """
        site = machine.SiteMachine()
        newer = document.pack(7, b'seven')
        self.assertEqual(machine.APPLIED, site.apply(1, newer.encode()))
        older = document.pack(5, b'five')
        self.assertEqual(machine.SUPERSEDED, site.apply(2, older.encode()))
        restored = machine.SiteMachine()
        restored.restore(site.snapshot())
        self.assertEqual(b'seven', restored.held.body)
        self.assertEqual(7, restored.held.version)

    def test_other_content_under_a_held_version(self):
        """Other content sent under the version in force never shows."""
        site = machine.SiteMachine()
        site.apply(1, document.pack(7, b'first').encode())
        site.apply(2, document.pack(7, b'second').encode())
        self.assertEqual(b'first', site.held.body)


class FollowsCase(unittest.TestCase):
    def test_farewell_is_final(self):
        """A late announcement brings no leaving target back.

        The announcement was held up on its way and arrives, with whatever
        sequence, after the target has said that it leaves.
        """
        leaving = said(State.LEAVING, sequence=5)
        self.assertFalse(said(sequence=9).follows(leaving))
        self.assertTrue(said(State.GONE, sequence=0).follows(leaving))
        gone = said(State.GONE, sequence=0)
        self.assertFalse(said(State.LEAVING, sequence=9).follows(gone))

    def test_overtaken(self):
        """Of two hosts' words the one with the higher sequence counts."""
        self.assertFalse(said(sequence=4).follows(said(sequence=5)))
        self.assertTrue(said(sequence=6).follows(said(State.SILENT, 5)))


class BookCase(policy_case.PausedCase):
    def test_silent_and_back(self):
        """A target that stops announcing itself is told silent, then ready."""
        self.run_paused(self._silent())

    def test_refreshed(self):
        """Word of a target is told again although nothing has changed.

        A target moves from one host to another and back; the other then says
        that it is silent, with a newer sequence than was told here.
        """
        self.run_paused(self._refreshed())

    def test_follower_is_woken(self):
        """A follower that waits learns of a farewell at once."""
        self.run_paused(self._woken())

    async def _silent(self):
        held = target_registry.TargetRegistry(1)
        held.record(said(sequence=1))
        await asyncio.sleep(3)
        held.sweep()
        self.assertEqual(State.READY, held.changed_since(0)[0].state)
        await asyncio.sleep(1)
        held.sweep()
        self.assertEqual(State.SILENT, held.changed_since(0)[0].state)
        held.record(said(sequence=2))
        self.assertEqual(State.READY, held.changed_since(0)[0].state)

    async def _refreshed(self):
        held = target_registry.TargetRegistry(1)
        for sequence in range(6):
            held.record(said(sequence=sequence))
            await asyncio.sleep(1)
        self.assertGreaterEqual(held.serial, 2)

    async def _woken(self):
        held = target_registry.TargetRegistry(1)
        held.record(said())
        followers = feed.Feed(machine.SiteMachine(), held, list, 11)
        asked = messages.SiteFeedRequest(
            version=0, epoch=11, serial=held.serial, wait_ms=60_000
        )
        waiting = asyncio.create_task(followers.answer(_Peer(), asked))
        await asyncio.sleep(1)
        self.assertFalse(waiting.done())
        held.mark_gone('t1')
        reply = await waiting
        self.assertEqual(State.GONE, reply.targets[0].state)


class GroupCase(consensus_net.PausedCase):
    def test_joining_takes_a_silent_place(self):
        """A host that joins replaces a voter that was taken away for good.

        Only added, it would make four voters of which one is always lost;
        the loss of one more would leave no quorum.
        """
        self.run_paused(self._joining())

    def test_silent_voter_is_let_go(self):
        """A fourth voter that was taken away does not count for ever."""
        self.run_paused(self._let_go())

    def test_read_after_suspension(self):
        """A leader that slept does not serve an older configuration.

        Its clock stood still, so its lease looks whole, while another was
        elected and accepted a change.  A read must ask a quorum.
        """
        self.run_paused(self._suspended())

    def test_change_is_taken_through_any_host(self):
        """A follower passes a change on and acknowledges it; resent too."""
        self.run_paused(self._any_host())

    def test_invalid_is_refused_first(self):
        """An invalid change is refused even under an overtaken version."""
        self.run_paused(self._invalid())

    async def _joining(self):
        net = consensus_net.Net(min_voters=3)
        await net.start(*consensus_net.NODES)
        leader = await net.leader()
        lost = next(node for node in consensus_net.NODES if node != leader)
        net.kill(lost)
        await asyncio.sleep(2)
        await net.start('h4', configured=False)
        await _join(net, leader, 'h4')
        wanted = {*consensus_net.NODES, 'h4'} - {lost}
        await net.until(lambda: _voters(net, leader) == wanted)

    async def _let_go(self):
        net = consensus_net.Net(min_voters=3)
        await net.start(*consensus_net.NODES)
        leader = await net.leader()
        await net.start('h4', configured=False)
        await _join(net, leader, 'h4')
        await net.until(lambda: len(_voters(net, leader)) == 4)
        gone = next(node for node in consensus_net.NODES if node != leader)
        net.kill(gone)
        wanted = {*consensus_net.NODES, 'h4'} - {gone}
        await net.until(lambda: _voters(net, leader) == wanted)
        net.kill(next(iter(wanted - {leader, 'h4'})))
        await asyncio.sleep(10)
        self.assertEqual(3, len(_voters(net, leader)))

    async def _suspended(self):
        net = consensus_net.Net(is_lease_trusted=False)
        await net.start(*consensus_net.NODES)
        old = await net.leader()
        net.isolate(old)
        # The lease by its own clock is whole at this moment.
        self.assertTrue(net.processes[old].has_lease())
        with self.assertRaises((failures.NotLeader, failures.NoQuorum)):
            await net.processes[old].read_barrier(0.5)

    async def _any_host(self):
        net = consensus_net.Net(machine.SiteMachine)
        await net.start(*consensus_net.NODES)
        leader = await net.leader()
        follower = next(node for node in consensus_net.NODES if node != leader)
        site = net.machines[follower]
        taken = api.SiteApi(
            net.processes[follower], site, reading.PlatformReader()
        )
        self.assertEqual(3, await taken.replace(body(3)))
        self.assertEqual(3, net.machines[leader].held.version)
        await net.until(lambda: site.held.version == 3)
        net.kill(leader)
        self.assertEqual(3, await taken.replace(body(3)))

    async def _invalid(self):
        net = consensus_net.Net()
        await net.start(*consensus_net.NODES)
        leader = await net.leader()
        site = machine.SiteMachine()
        site.apply(1, document.pack(9, body(9)).encode())
        taken = api.SiteApi(
            net.processes[leader], site, reading.PlatformReader()
        )
        with self.assertRaises(findings.InvalidError):
            await taken.replace(body(3, prefix='no-slash'))


class _Identity:
    role = messages.Role.ENTRY
    address = '10.0.0.9:1'


class _Peer:
    peer = _Identity()


def _voters(net, node):
    return {row.node for row in net.processes[node].members() if row.voter}


async def _join(net, leader, node):
    asked = messages.MemberRequest(
        group=consensus_net.GROUP,
        action='join',
        node=node,
        address=node,
        replaces='',
    )
    reply = await net.processes[leader].handle(messages.Request(member=asked))
    assert reply.failure is None, reply.failure
