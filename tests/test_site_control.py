"""Test what control hosts of a site store, and how they join and leave."""

import asyncio
import json
import unittest

from tamarackthread.control import failures
from tamarackthread.control.site import (
    api,
    committing,
    feed,
    machine,
    target_registry,
)
from tamarackthread.generated.messages import ttypes as messages
from tamarackthread.platform import configuration as reading
from tamarackthread.shared import findings
from tamarackthread.shared.site import announcements, document
from tests import consensus_net, policy_case

State = announcements.State


def announcement(state=State.READY, sequence=1, target='t1', **fields):
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
        """The highest version wins whatever the order of commits."""
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
        """Different content under the version in force is ignored."""
        site = machine.SiteMachine()
        site.apply(1, document.pack(7, b'first').encode())
        site.apply(2, document.pack(7, b'second').encode())
        self.assertEqual(b'first', site.held.body)


class FollowsCase(unittest.TestCase):
    def test_late_announcement(self):
        """A late announcement does not revive a target that is leaving."""
        leaving = announcement(State.LEAVING, sequence=5)
        self.assertFalse(announcement(sequence=9).supersedes(leaving))
        self.assertTrue(
            announcement(State.GONE, sequence=0).supersedes(leaving)
        )
        gone = announcement(State.GONE, sequence=0)
        self.assertFalse(
            announcement(State.LEAVING, sequence=9).supersedes(gone)
        )

    def test_higher_sequence_wins(self):
        """Of two hosts' announcements the higher sequence wins."""
        self.assertFalse(
            announcement(sequence=4).supersedes(announcement(sequence=5))
        )
        self.assertTrue(
            announcement(sequence=6).supersedes(announcement(State.SILENT, 5))
        )


class TargetRegistryCase(policy_case.PausedCase):
    def test_silent_and_back(self):
        """A target turns silent after missed announcements, then ready again."""
        self.run_paused(self._silent())

    def test_refreshed(self):
        """Unchanged targets are published again periodically.

        Another host may have published a newer, silent state meanwhile.
        """
        self.run_paused(self._refreshed())

    def test_follower_is_woken(self):
        """A waiting follower learns at once that a target is gone."""
        self.run_paused(self._woken())

    async def _silent(self):
        registry = target_registry.TargetRegistry(1)
        registry.record(announcement(sequence=1))
        await asyncio.sleep(3)
        registry.sweep()
        self.assertEqual(State.READY, registry.changed_since(0)[0].state)
        await asyncio.sleep(1)
        registry.sweep()
        self.assertEqual(State.SILENT, registry.changed_since(0)[0].state)
        registry.record(announcement(sequence=2))
        self.assertEqual(State.READY, registry.changed_since(0)[0].state)

    async def _refreshed(self):
        registry = target_registry.TargetRegistry(1)
        for sequence in range(6):
            registry.record(announcement(sequence=sequence))
            await asyncio.sleep(1)
        self.assertGreaterEqual(registry.serial, 2)

    async def _woken(self):
        registry = target_registry.TargetRegistry(1)
        registry.record(announcement())
        followers = feed.Feed(machine.SiteMachine(), registry, list, 11)
        request = messages.SiteFeedRequest(
            version=0, epoch=11, serial=registry.serial, wait_ms=60_000
        )
        waiting = asyncio.create_task(followers.answer(_Peer(), request))
        await asyncio.sleep(1)
        self.assertFalse(waiting.done())
        registry.mark_gone('t1')
        reply = await waiting
        self.assertEqual(State.GONE, reply.targets[0].state)


class GroupCase(consensus_net.PausedCase):
    def test_joining_host_replaces_voter(self):
        """A joining host replaces a lost voter.

        Four voters, one of them lost, would lose the quorum with one more.
        """
        self.run_paused(self._joining())

    def test_lost_voter_is_removed(self):
        """A fourth voter that was lost is removed."""
        self.run_paused(self._voter_removed())

    def test_read_after_suspension(self):
        """A suspended leader with a seemingly valid lease serves no reads."""
        self.run_paused(self._suspended())

    def test_change_through_any_host(self):
        """A follower forwards a change and acknowledges it, also on a retry."""
        self.run_paused(self._any_host())

    def test_stopping_host(self):
        """Guards against a change that is cut off as its host stops."""
        self.run_paused(self._stopping())

    def test_invalid_is_refused_first(self):
        """An invalid change is rejected even if its version is outdated."""
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

    async def _voter_removed(self):
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
        # By its own clock the lease is still valid.
        self.assertTrue(net.processes[old].has_lease())
        with self.assertRaises((failures.NotLeader, failures.NoQuorum)):
            await net.processes[old].read_barrier(0.5)

    async def _any_host(self):
        net = consensus_net.Net(machine.SiteMachine)
        await net.start(*consensus_net.NODES)
        leader = await net.leader()
        follower = next(node for node in consensus_net.NODES if node != leader)
        site = net.machines[follower]
        site_api = api.SiteApi(
            net.processes[follower], site, reading.PlatformReader()
        )
        self.assertEqual(3, await site_api.replace(body(3)))
        self.assertEqual(3, net.machines[leader].held.version)
        await net.until(lambda: site.held.version == 3)
        net.kill(leader)
        self.assertEqual(3, await site_api.replace(body(3)))

    async def _stopping(self):
        net = consensus_net.Net(machine.SiteMachine)
        await net.start(*consensus_net.NODES)
        stopping = await net.leader()
        site_api = api.SiteApi(
            net.processes[stopping],
            net.machines[stopping],
            reading.PlatformReader(),
        )
        await net.processes[stopping].stop()
        loop = asyncio.get_running_loop()
        asked_at = loop.time()
        with self.assertRaises(committing.ChangeUnsettled):
            await site_api.replace(body(3))
        with self.assertRaises(api.NewestUnknown):
            await site_api.read()
        self.assertEqual(asked_at, loop.time())

    async def _invalid(self):
        net = consensus_net.Net()
        await net.start(*consensus_net.NODES)
        leader = await net.leader()
        site = machine.SiteMachine()
        site.apply(1, document.pack(9, body(9)).encode())
        site_api = api.SiteApi(
            net.processes[leader], site, reading.PlatformReader()
        )
        with self.assertRaises(findings.InvalidError):
            await site_api.replace(body(3, prefix='no-slash'))


class _Identity:
    role = messages.Role.ENTRY
    address = '10.0.0.9:1'


class _Peer:
    peer = _Identity()


def _voters(net, node):
    return {row.node for row in net.processes[node].members() if row.voter}


async def _join(net, leader, node):
    request = messages.MemberRequest(
        group=consensus_net.GROUP,
        action='join',
        node=node,
        address=node,
        replaces='',
    )
    reply = await net.processes[leader].handle(messages.Request(member=request))
    assert reply.failure is None, reply.failure
