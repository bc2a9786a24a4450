"""Run the hosts of one group over fakes, and kill, wipe and restart them."""

from __future__ import annotations

import asyncio
import contextlib
import math
import random

import attrs

from bench.history import disks, events, network, watched
from tamarackthread.control import consensus, failures, timing

GROUP = 'config'
_TIMES = timing.Timing(
    snapshot_entries=30,
    trailing_entries=8,
    chunk_bytes=2_000,
    segment_bytes=3_000,
    batch_entries=8,
)


@attrs.define(eq=False)
class Host:
    """One control host: its disk, and its process while it runs."""

    node: str
    platter: disks.Platter
    process: consensus.Consensus | None = None
    machine: watched.Watched | None = None


class Hosts:
    """All hosts of one run."""

    def __init__(
        self, history: events.History, rng: random.Random, voters: int
    ) -> None:
        """Prepare as many first voters and one spare host."""
        self.history = history
        self.rng = rng
        self.network = network.Network(rng)
        names = [f'h{number}' for number in range(1, voters + 2)]
        self.first = names[:voters]
        self.all = {name: Host(name, disks.Platter(rng)) for name in names}

    @property
    def running(self) -> list[Host]:
        """Return the hosts whose process runs."""
        return [host for host in self.all.values() if host.process]

    @property
    def leader(self) -> Host | None:
        """Return a host that believes that it leads."""
        for host in self.running:
            if host.process.is_leader:
                return host
        return None

    async def start(self, host: Host) -> None:
        """Start a host's process on whatever its disk holds."""
        host.machine = watched.Watched(host.node, self.history)
        members = self.first if host.node in self.first else []
        process = consensus.Consensus(
            group=GROUP,
            node=host.node,
            machine=host.machine,
            disk=host.platter.mount(),
            transport=self.network.transport(host.node),
            members={node: node for node in members},
            timing=_TIMES,
            rng=self.rng,
        )
        host.process = process
        is_started = False
        try:
            await process.start()
            is_started = True
        except failures.LogCorrupt as exc:
            self.history.halts.append(f'halt: {host.node}: {exc}')
        except (failures.DiskFull, failures.DiskFailed):
            self.history.faults.append(f'no start of {host.node}')
        finally:
            # A process that was killed while it started answers nobody.
            if host.process is process and not is_started:
                host.process = None
        if host.process is process:
            self.network.handlers[host.node] = process.handle

    def kill(self, host: Host) -> None:
        """End a process at once and lose what its disk had not synced."""
        process = host.process
        host.process = None
        self.network.handlers.pop(host.node, None)
        host.platter.crash()
        if process is not None:
            if process.failure is not None:
                self.note_halt(host.node, process)
            process.abort()

    async def leave(self, host: Host) -> None:
        """Stop a process gracefully."""
        process = host.process
        if process is None:
            return
        await process.stop()
        if host.process is process:
            host.process = None
            self.network.handlers.pop(host.node, None)
            host.platter.crash()

    def note_halt(self, node: str, process: consensus.Consensus) -> None:
        """Record a process that stopped by itself, which none should."""
        text = str(process.failure)
        if 'stopped by' in text:
            self.history.halts.append(f'halt: {node}: {text}')

    def is_whole(self) -> bool:
        """Say whether each first voter runs and votes with its own disk."""
        leader = self.leader
        if leader is None:
            return False
        state = leader.process._state  # noqa: SLF001
        members = state.membership
        if state.members.newest_index > state.commit_index:
            return False
        for member in members.members:
            host = self.all[member.node]
            if host.process is None or not member.voter or member.replaces:
                return False
            if host.process.disk_id != member.disk_id:
                return False
        return len(members.members) == len(self.first)

    def fill_up(self) -> None:
        """Have the leader add a host if one was removed for good."""
        leader = self.leader
        if leader is None:
            return
        rows = {row.node for row in leader.process.members()}
        missing = [node for node in self.all if node not in rows]
        if len(rows) < len(self.first):
            with contextlib.suppress(
                failures.NotLeader, failures.MemberChangeRefused
            ):
                leader.process.add(missing[0], missing[0])

    async def watch_leases(self) -> None:
        """Look again and again for two hosts that hold the lease at once."""
        while True:
            sure = [
                host.node for host in self.running if host.process.has_lease()
            ]
            if len(sure) > 1:
                now = asyncio.get_running_loop().time()
                self.history.shared_leases.append(
                    f'lease: {sure} hold it at {now:.3f}'
                )
            await asyncio.sleep(0.02)

    async def settle(self) -> None:
        """Run all members in fair weather until each is current."""
        self.network.heal()
        for host in self.all.values():
            host.platter.stalled_until = -math.inf
            host.platter.is_full = False
            host.platter.delay = 0.001
            if host.process is None:
                await self.start(host)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(60):
                await self._until_current()

    async def _until_current(self) -> None:
        while True:
            await asyncio.sleep(0.25)
            self.fill_up()
            if self.leader is None or not self.is_whole():
                continue
            with contextlib.suppress(failures.NoQuorum, failures.NotLeader):
                await self.leader.process.read_barrier()
                await asyncio.sleep(1)
                if self._keep():
                    return

    def _keep(self) -> bool:
        """Note what each member holds, if all are at the same index."""
        leader = self.leader
        if leader is None:
            return False
        rows = []
        for member in leader.process.members():
            host = self.all[member.node]
            if host.process is None:
                return False
            if host.process.applied_index != leader.process.commit_index:
                return False
            rows.append(host.machine.keep())
        self.history.kept = rows
        return bool(rows)
