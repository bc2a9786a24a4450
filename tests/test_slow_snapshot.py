"""Test a snapshot that is still being stored when the log has moved on."""

from __future__ import annotations

import asyncio
import random

from bench.history import disks
from tamarackthread.control import snapshots, timing
from tamarackthread.generated.messages import ttypes as messages
from tests import consensus_net

BEFORE = 20
AFTER = 60
SEEDS = range(10)


class SlowSnapshotTest(consensus_net.PausedCase):
    """Test a follower whose disk takes long to store a snapshot."""

    def test_log_moved_on(self) -> None:
        """Guards against entries that a follower acked and then drops."""
        for seed in SEEDS:
            with self.subTest(seed=seed):
                self.run_paused(self._play(seed))

    async def _play(self, seed: int) -> None:
        rng = random.Random(seed)
        net = consensus_net.Net()
        await net.start(*consensus_net.NODES)
        leader = await net.leader()
        node = next(name for name in consensus_net.NODES if name != leader)
        net.kill(node)
        await net.fill(leader, BEFORE)
        request = await _snapshot_of(net, leader)
        # This host compacts its log at once; the leader keeps its own.
        net._times = timing.Timing(snapshot_entries=1, snapshot_bytes=1)
        await net.start(node)
        net.isolate(node)
        slow = _Slow()
        store = net.state(node).snapshots
        store._drop_incoming = slow.wrap(store._drop_incoming)
        installing = asyncio.create_task(
            net.processes[node].handle(messages.Request(snapshot=request))
        )
        await net.until(lambda: slow.is_waiting)
        net.network.heal()
        await net.fill(leader, AFTER, 'later')
        await net.until(lambda: len(net.machines[node].rows) > BEFORE)
        await asyncio.sleep(rng.uniform(0, 3))
        slow.go.set()
        reply = await installing
        self.assertTrue(reply.snapshot.installed)
        expected = net.machines[leader].rows
        await net.until(lambda: net.machines[node].rows == expected)
        state = net.state(node)
        self.assertGreaterEqual(state.log.last_index, state.commit_index)
        self.assertGreater(store.meta.last_index, request.last_index)
        # What this host has acked must be on its disk.
        net.kill(*consensus_net.NODES)
        await net.start(node)
        self.assertEqual(expected, net.machines[node].rows)


class _Slow:
    """Hold back the storage of a received snapshot."""

    def __init__(self) -> None:
        """Wait until ``go`` is set."""
        self.go = asyncio.Event()
        self.is_waiting = False

    def wrap(self, drop):
        """Return ``drop`` with a disk that stalls first."""

        async def dropping() -> None:
            self.is_waiting = True
            await self.go.wait()
            await drop()

        return dropping


async def _snapshot_of(
    net: consensus_net.Net, leader: str
) -> messages.SnapshotRequest:
    """Build the only chunk of a leader's snapshot."""
    state = net.state(leader)
    mount = disks.Platter(random.Random(1)).mount()
    store = snapshots.SnapshotStore(mount)
    index = state.commit_index
    await store.save(
        index,
        state.log.term_at(index),
        state.members.at(index),
        net.machines[leader].snapshot(),
    )
    return messages.SnapshotRequest(
        group=consensus_net.GROUP,
        term=state.hard.term,
        leader=leader,
        last_index=index,
        last_term=state.log.term_at(index),
        offset=0,
        total=store.meta.size,
        chunk=await store.chunk(0, store.meta.size),
        checksum=store.meta.checksum,
        voters=[],
        learners=[],
    )
