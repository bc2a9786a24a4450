"""Test the replicated log under partitions, crashes and disk faults."""

from __future__ import annotations

import asyncio
from unittest import mock

from tamarackthread.control import failures, transport
from tamarackthread.generated.messages import ttypes as messages
from tamarackthread.shared import errors
from tests import consensus_net


class LeadingTest(consensus_net.PausedCase):
    """Test leadership, leases and reads."""

    def test_isolated_leader_steps_down_first(self) -> None:
        """Guards against an old leader that still leads beside a new one."""
        self.run_paused(self._isolated())

    def test_lease_is_never_shared(self) -> None:
        """Guards against two hosts with a lease at once, and so stale reads."""
        self.run_paused(self._shared())

    def test_stalled_disk(self) -> None:
        """Guards against a leader with a stalled disk that keeps its place."""
        self.run_paused(self._stalled())

    def test_stop_hands_over(self) -> None:
        """Guards against a planned stop that waits for an election timeout."""
        self.run_paused(self._handover())

    def test_handover_keeps_promise(self) -> None:
        """Guards against a handover before a reported lease has expired."""
        self.run_paused(self._promise())

    def test_cancelled_handover(self) -> None:
        """Guards against a leader stuck in a handover that was cancelled."""
        self.run_paused(self._cancelled())

    def test_read_without_lease(self) -> None:
        """Guards against a stale read on a partitioned host."""
        self.run_paused(self._reads())

    def test_unknown_outcome(self) -> None:
        """Guards against calling a change refused that may yet be committed."""
        self.run_paused(self._unknown())

    def test_too_large(self) -> None:
        """Guards against log entries that exceed the size of a message."""
        self.run_paused(self._too_large())

    def test_timeout_includes_connecting(self) -> None:
        """Guards against a request timeout that leaves out connecting."""
        self.run_paused(self._connecting())

    async def _too_large(self) -> None:
        net = consensus_net.Net()
        await net.start(*consensus_net.NODES)
        leader = await net.leader()
        with self.assertRaises(failures.CommandTooLarge):
            await net.processes[leader].propose(bytes(600 << 10))
        await net.processes[leader].propose(bytes(500 << 10))

    async def _connecting(self) -> None:
        hanging = asyncio.get_running_loop().create_future()
        links = mock.Mock(request=mock.Mock(return_value=hanging))
        link_transport = transport.LinkTransport(links)
        with self.assertRaises(errors.AddressUnreachable):
            await link_transport.call('h9', messages.Request(), 1)
        link_transport.set_address('h9', 'loopback:1')
        with self.assertRaises(errors.RequestTimeout):
            await link_transport.call('h9', messages.Request(), 1)

    async def _isolated(self) -> None:
        net = consensus_net.Net()
        await net.start(*consensus_net.NODES)
        old = await net.leader()
        net.isolate(old)
        await net.until(lambda: not net.processes[old].has_lease())
        others = [node for node in consensus_net.NODES if node != old]
        self.assertFalse(any(net.processes[node].is_leader for node in others))
        await net.leader(old)
        self.assertFalse(net.processes[old].is_leader)
        with self.assertRaises(failures.NotLeader):
            await net.processes[old].propose(b'late')

    async def _shared(self) -> None:
        net = consensus_net.Net()
        await net.start(*consensus_net.NODES)
        for _ in range(10):
            net.isolate(await net.leader())
            await self._watch_leases(net)
            net.network.heal()

    async def _watch_leases(self, net: consensus_net.Net) -> None:
        for _ in range(100):
            leases = [process.has_lease() for process in net.processes.values()]
            self.assertLessEqual(sum(leases), 1)
            await asyncio.sleep(0.02)

    async def _stalled(self) -> None:
        net = consensus_net.Net()
        await net.start(*consensus_net.NODES)
        old = await net.leader()
        loop = asyncio.get_running_loop()
        net.platters[old].stalled_until = loop.time() + 60
        await net.processes[old].propose(b'one')
        new = await net.leader(old)
        await net.processes[new].propose(b'two')
        self.assertEqual(['one', 'two'], net.machines[new].rows)

    async def _handover(self) -> None:
        net = consensus_net.Net()
        await net.start(*consensus_net.NODES)
        old = await net.leader()
        await net.fill(old, 50)
        loop = asyncio.get_running_loop()
        began = loop.time()
        process = net.processes.pop(old)
        await process.stop()
        net.network.handlers.pop(old)
        new = await net.leader()
        self.assertLess(loop.time() - began, 0.9)
        self.assertEqual(50, len(net.machines[new].rows))

    async def _promise(self) -> None:
        net = consensus_net.Net()
        await net.start(*consensus_net.NODES)
        old = await net.leader()
        loop = asyncio.get_running_loop()
        until = loop.time() + net.processes[old].lease_remaining()
        stopping = asyncio.create_task(net.processes[old].stop())
        await net.until(
            lambda: any(
                net.processes[node].is_leader
                for node in consensus_net.NODES
                if node != old
            )
        )
        self.assertGreaterEqual(loop.time(), until)
        await stopping

    async def _cancelled(self) -> None:
        net = consensus_net.Net()
        await net.start(*consensus_net.NODES)
        old = await net.leader()
        net.isolate(old)
        stopping = asyncio.create_task(net.processes[old].transfer())
        await asyncio.sleep(0.1)
        stopping.cancel()
        await asyncio.sleep(0)
        net.network.heal()
        new = await net.leader()
        await net.processes[new].propose(b'on')

    async def _reads(self) -> None:
        net = consensus_net.Net()
        await net.start(*consensus_net.NODES)
        old = await net.leader()
        net.isolate(old)
        new = await net.leader(old)
        await net.processes[new].propose(b'newer')
        with self.assertRaises(failures.NotLeader):
            await net.processes[old].read_barrier()
        net.network.heal()
        await net.until(lambda: net.processes[old].leader == new)
        index = await net.processes[old].read_barrier()
        self.assertEqual(['newer'], net.machines[old].rows)
        self.assertGreaterEqual(index, 3)

    async def _unknown(self) -> None:
        net = consensus_net.Net()
        await net.start(*consensus_net.NODES)
        old = await net.leader()
        net.isolate(old)
        with self.assertRaises(failures.OutcomeUnknown):
            await net.processes[old].propose(b'perhaps')


class DiskTest(consensus_net.PausedCase):
    """Test failing, full and wiped disks."""

    def test_failed_sync(self) -> None:
        """Guards against a host that runs on with data its disk has lost."""
        self.run_paused(self._failed_sync())

    def test_full_disk(self) -> None:
        """Guards against a full disk that blocks reads or logs a refusal."""
        self.run_paused(self._full())

    def test_full_followers(self) -> None:
        """Guards against proposals while no quorum has free disk space."""
        self.run_paused(self._full_followers())

    def test_full_disk_at_election(self) -> None:
        """Guards against a host that stops when it can't store its vote."""
        self.run_paused(self._full_at_election())

    def test_wiped_disk_has_no_vote(self) -> None:
        """Guards against a wiped voter that elects a leader with an old log."""
        self.run_paused(self._wiped_vote())

    def test_second_host_lost_after_repair(self) -> None:
        """Guards against data loss when a host is lost right after a repair."""
        self.run_paused(self._second_loss())

    def test_wiped_first_host_forms_nothing(self) -> None:
        """Guards against a wiped host that bootstraps the group again."""
        self.run_paused(self._wiped_first())

    def test_power_loss(self) -> None:
        """Guards against loss of committed changes in a crash of all hosts."""
        self.run_paused(self._power_loss())

    async def _failed_sync(self) -> None:
        net = consensus_net.Net()
        await net.start(*consensus_net.NODES)
        old = await net.leader()
        net.platters[old].is_failing = True
        with self.assertRaises(failures.OutcomeUnknown):
            await net.processes[old].propose(b'one')
        new = await net.leader(old)
        self.assertIsNotNone(net.processes[old].failure)
        await net.processes[new].propose(b'two')
        self.assertEqual('two', net.machines[new].rows[-1])

    async def _full(self) -> None:
        net = consensus_net.Net()
        await net.start(*consensus_net.NODES)
        leader = await net.leader()
        await net.processes[leader].propose(b'one')
        for platter in net.platters.values():
            platter.is_full = True
        with self.assertRaises(failures.DiskFull):
            await net.processes[leader].propose(b'two')
        await asyncio.sleep(5)
        self.assertEqual(3, await net.processes[leader].read_barrier())
        for platter in net.platters.values():
            platter.is_full = False
        await net.processes[leader].propose(b'three')
        self.assertEqual(['one', 'three'], net.machines[leader].rows)

    async def _full_followers(self) -> None:
        net = consensus_net.Net()
        await net.start(*consensus_net.NODES)
        leader = await net.leader()
        for node in consensus_net.NODES:
            net.platters[node].is_full = node != leader
        with self.assertRaises(failures.OutcomeUnknown):
            await net.processes[leader].propose(b'one', 2)
        with self.assertRaises(failures.DiskFull):
            await net.processes[leader].propose(b'two', 2)
        self.assertTrue(net.processes[leader].has_lease())

    async def _full_at_election(self) -> None:
        net = consensus_net.Net()
        await net.start(*consensus_net.NODES)
        leader = await net.leader()
        for node in consensus_net.NODES:
            net.platters[node].is_full = node != leader
        net.kill(leader)
        await asyncio.sleep(5)
        for process in net.processes.values():
            self.assertIsNone(process.failure)
            self.assertFalse(process.is_leader)

    async def _wiped_vote(self) -> None:
        net = consensus_net.Net()
        await net.start(*consensus_net.NODES)
        leader = await net.leader()
        wiped, lagging = (
            node for node in consensus_net.NODES if node != leader
        )
        net.isolate(lagging)
        await net.processes[leader].propose(b'accepted')
        net.kill(wiped, leader)
        net.platters[wiped].wipe()
        net.network.heal()
        await net.start(wiped)
        await asyncio.sleep(10)
        self.assertFalse(
            any(process.is_leader for process in net.processes.values())
        )
        await net.start(leader)
        self.assertEqual(leader, await net.leader())
        await net.until(lambda: net.machines[wiped].rows)
        self.assertEqual(['accepted'], net.machines[wiped].rows)

    async def _second_loss(self) -> None:
        net = consensus_net.Net(snapshot_entries=100, trailing_entries=10)
        await net.start(*consensus_net.NODES)
        leader = await net.leader()
        await net.fill(leader, 300)
        wiped = next(node for node in consensus_net.NODES if node != leader)
        net.kill(wiped)
        net.platters[wiped].wipe()
        await net.start(wiped)
        await net.until(
            lambda: (
                all(
                    row.voter and row.reachable
                    for row in net.processes[leader].members()
                )
                and net.state(leader).membership.is_voter(
                    wiped, net.processes[wiped].disk_id
                )
            )
        )
        net.kill(leader)
        new = await net.leader()
        await net.processes[new].propose(b'last')
        self.assertEqual(301, len(net.machines[new].rows))

    async def _wiped_first(self) -> None:
        net = consensus_net.Net()
        await net.start(*consensus_net.NODES)
        await net.processes[await net.leader()].propose(b'kept')
        net.kill('h1')
        net.platters['h1'].wipe()
        await net.start('h1')
        await net.until(lambda: net.machines['h1'].rows)
        self.assertEqual(['kept'], net.machines['h1'].rows)

    async def _power_loss(self) -> None:
        net = consensus_net.Net(segment_bytes=500)
        await net.start(*consensus_net.NODES)
        for number in range(1, 11):
            leader = await net.leader()
            await net.fill(leader, 10)
            hanging = asyncio.create_task(
                net.processes[leader].submit(b'in flight')
            )
            await asyncio.sleep(0.002)
            net.kill(*consensus_net.NODES)
            await asyncio.gather(hanging, return_exceptions=True)
            await net.start(*consensus_net.NODES)
            rows = net.machines[await net.leader()].rows
            kept = [row for row in rows if row != 'in flight']
            self.assertEqual(10 * number, len(kept))


class CatchUpTest(consensus_net.PausedCase):
    """Test lagging members and membership changes."""

    def test_catch_up_by_log(self) -> None:
        """Guards against an election while a host catches up on the log."""
        self.run_paused(self._catch_up({'snapshot_entries': 100_000}))

    def test_catch_up_by_snapshot(self) -> None:
        """Guards against a restart of a snapshot transfer after a crash."""
        self.run_paused(self._snapshot())

    def test_damaged_snapshot(self) -> None:
        """Guards against installing a snapshot with a wrong checksum."""
        self.run_paused(self._damaged())

    def test_replace_lost_host(self) -> None:
        """Guards against a replacement that stops when the leader changes."""
        self.run_paused(self._replace())

    def test_one_change_at_a_time(self) -> None:
        """Guards against disjoint quorums by concurrent membership changes."""
        self.run_paused(self._one_change())

    def test_removed_host_disturbs_nobody(self) -> None:
        """Guards against a removed host that deposes the leader."""
        self.run_paused(self._removed())

    async def _catch_up(self, times: dict[str, float]) -> None:
        net = consensus_net.Net(**times)
        await net.start(*consensus_net.NODES)
        leader = await net.leader()
        behind = next(node for node in consensus_net.NODES if node != leader)
        net.kill(behind)
        await net.fill(leader, 20_000)
        term = net.processes[leader].term
        await net.start(behind)

        def is_level() -> bool:
            self.assertTrue(net.processes[leader].has_lease())
            return len(net.machines[behind].rows) == 20_000

        await net.until(is_level)
        self.assertEqual(term, net.processes[leader].term)

    async def _snapshot(self) -> None:
        net = consensus_net.Net(
            snapshot_entries=500, trailing_entries=10, chunk_bytes=200
        )
        await net.start(*consensus_net.NODES)
        leader = await net.leader()
        behind = next(node for node in consensus_net.NODES if node != leader)
        net.kill(behind)
        await net.fill(leader, 2_000)
        await net.start(behind)
        received = await net.until(lambda: self._incoming(net, behind, 3_000))
        for name, data in net.platters[behind].seen.items():
            net.platters[behind].lasting[name] = data
        net.kill(behind)
        await net.start(behind)
        offsets: list[int] = []
        handle = net.network.handlers[behind]

        async def note(request: messages.Request) -> messages.Reply:
            if request.snapshot is not None:
                offsets.append(request.snapshot.offset)
            return await handle(request)

        net.network.handlers[behind] = note
        await net.until(lambda: len(net.machines[behind].rows) == 2_000)
        self.assertGreaterEqual(min(offsets[1:]), received)

    async def _damaged(self) -> None:
        net = consensus_net.Net(
            snapshot_entries=500, trailing_entries=10, chunk_bytes=200
        )
        await net.start(*consensus_net.NODES)
        leader = await net.leader()
        behind = next(node for node in consensus_net.NODES if node != leader)
        net.kill(behind)
        await net.fill(leader, 2_000)
        await net.start(behind)
        await net.until(lambda: self._incoming(net, behind, 1_000))
        seen = net.platters[behind].seen
        name = next(name for name in seen if name.startswith('incoming'))
        seen[name] = bytes(len(seen[name]))
        await net.until(lambda: len(net.machines[behind].rows) == 2_000)

    async def _replace(self) -> None:
        net = consensus_net.Net()
        await net.start(*consensus_net.NODES)
        leader = await net.leader()
        await net.fill(leader, 100)
        lost = next(node for node in consensus_net.NODES if node != leader)
        net.kill(lost)
        await net.start('h4', configured=False)
        net.processes[leader].replace(lost, 'h4', 'h4')
        await net.until(lambda: net.processes['h4'].members())
        net.kill(leader)
        await net.start(leader)
        wanted = {*consensus_net.NODES, 'h4'} - {lost}
        await net.until(
            lambda: (
                {row.node for row in net.processes['h4'].members() if row.voter}
                == wanted
            )
        )
        self.assertEqual(100, len(net.machines['h4'].rows))

    async def _one_change(self) -> None:
        net = consensus_net.Net()
        await net.start(*consensus_net.NODES)
        leader = await net.leader()
        others = [node for node in consensus_net.NODES if node != leader]
        net.isolate(leader)
        net.processes[leader].remove(others[0])
        with self.assertRaises(failures.MemberChangeRefused):
            net.processes[leader].remove(others[1])

    async def _removed(self) -> None:
        net = consensus_net.Net()
        await net.start(*consensus_net.NODES)
        leader = await net.leader()
        removed = next(node for node in consensus_net.NODES if node != leader)
        net.isolate(removed)
        net.processes[leader].remove(removed)
        await asyncio.sleep(1)
        net.network.heal()
        term = net.processes[leader].term
        await asyncio.sleep(10)
        self.assertTrue(net.processes[leader].has_lease())
        self.assertEqual(term, net.processes[leader].term)

    def _incoming(self, net: consensus_net.Net, node: str, least: int) -> int:
        for name, data in net.platters[node].seen.items():
            if name.startswith('incoming') and len(data) > least:
                return len(data)
        return 0
