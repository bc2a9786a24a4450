"""Break hosts, disks and the network by a seeded schedule."""

from __future__ import annotations

import asyncio
import random

from bench.history import callers, hosts
from tamarackthread.control import failures


class Trouble:
    """Cause one fault after another until cancelled."""

    def __init__(self, group: hosts.Hosts, rng: random.Random) -> None:
        """Draw faults from the run's seed."""
        self._hosts = group
        self._rng = rng
        self._restarts: list[asyncio.Task[None]] = []
        self._faults = (
            self._kill_some,
            self._kill_some,
            self._kill_leader,
            self._kill_all,
            self._isolate_leader,
            self._isolate_leader,
            self._cut_one_way,
            self._heal,
            self._heal,
            self._storm,
            self._slow_disk,
            self._stall_disk,
            self._fill_disk,
            self._wipe,
            self._wipe,
            self._leave,
            self._replace,
            self._repair_then_kill,
            self._part_leader_from_one,
            self._part_leader_from_one,
            self._change_sides,
            self._change_sides,
            self._rush,
            self._rush,
            self._shrink,
            self._fill_up,
            self._leave_unheard,
        )

    async def run(self) -> None:
        """Go on until cancelled; restarts under way are then dropped."""
        try:
            while True:
                await asyncio.sleep(self._rng.uniform(0.1, 1.6))
                await self._rng.choice(self._faults)()
        finally:
            for task in self._restarts:
                task.cancel()

    def _note(self, text: str) -> None:
        now = asyncio.get_running_loop().time()
        self._hosts.history.faults.append(f'{now:8.3f} {text}')

    def _any(self) -> hosts.Host:
        return self._rng.choice(list(self._hosts.all.values()))

    def _kill(self, host: hosts.Host) -> None:
        self._hosts.kill(host)
        self._later(host, self._rng.uniform(0.05, 2.5))

    def _later(self, host: hosts.Host, wait: float) -> None:
        task = asyncio.create_task(self._restart(host, wait))
        self._restarts.append(task)

    async def _restart(self, host: hosts.Host, wait: float) -> None:
        await asyncio.sleep(wait)
        if host.process is None:
            await self._hosts.start(host)

    async def _kill_some(self) -> None:
        for host in list(self._hosts.all.values()):
            if self._rng.random() < 0.4:
                self._note(f'kill {host.node}')
                self._kill(host)

    async def _kill_leader(self) -> None:
        leader = self._hosts.leader
        if leader is not None:
            self._note(f'kill the leader {leader.node}')
            self._kill(leader)

    async def _kill_all(self) -> None:
        self._note('kill all')
        for host in list(self._hosts.all.values()):
            self._kill(host)

    async def _isolate_leader(self) -> None:
        """Cut the leader off, sometimes with one other host."""
        leader = self._hosts.leader
        if leader is None:
            return
        self._note(f'isolate the leader {leader.node}')
        inside = {leader.node}
        if self._rng.random() < 0.4:
            inside.add(self._any().node)
        self._part(inside, set(self._hosts.all) - inside)

    async def _cut_one_way(self) -> None:
        source, target = self._any().node, self._any().node
        self._note(f'lose what {source} sends to {target}')
        self._hosts.network.cut(source, target)

    async def _heal(self) -> None:
        self._note('heal the network')
        self._hosts.network.heal()

    async def _storm(self) -> None:
        self._note('late, lost and doubled messages')
        weather = self._hosts.network.weather
        weather.most_delay = self._rng.choice((0.02, 0.1, 0.4))
        weather.loss = self._rng.choice((0, 0.05, 0.2))
        weather.doubling = 0.3

    async def _slow_disk(self) -> None:
        host = self._any()
        self._note(f'slow disk of {host.node}')
        host.platter.delay = self._rng.choice((0.001, 0.02, 0.1, 0.3))

    async def _stall_disk(self) -> None:
        host = self._any()
        self._note(f'stalled disk of {host.node}')
        now = asyncio.get_running_loop().time()
        host.platter.stalled_until = now + self._rng.uniform(0.5, 4)

    async def _fill_disk(self) -> None:
        host = self._any()
        host.platter.is_full = not host.platter.is_full
        self._note(f'disk of {host.node} full: {host.platter.is_full}')

    async def _wipe(self) -> None:
        """Exchange one disk, but only while no other is being made good."""
        if not self._hosts.is_whole():
            return
        host = self._hosts.all[self._rng.choice(self._voters())]
        self._note(f'wipe {host.node}')
        self._hosts.kill(host)
        host.platter.wipe()
        self._later(host, self._rng.uniform(0.05, 1))

    async def _leave(self) -> None:
        leader = self._hosts.leader
        if leader is not None:
            self._note(f'stop the leader {leader.node}')
            await self._hosts.leave(leader)
            self._later(leader, self._rng.uniform(0.05, 1))

    async def _replace(self) -> None:
        leader = self._hosts.leader
        if leader is None or not self._hosts.is_whole():
            return
        voters = self._voters()
        spare = next(node for node in self._hosts.all if node not in voters)
        old = self._rng.choice(voters)
        self._note(f'replace {old} by {spare}')
        try:
            leader.process.replace(old, spare, spare)
        except (failures.NotLeader, failures.MemberChangeRefused):
            self._note('refused')

    async def _repair_then_kill(self) -> None:
        """Wipe a host and, once it votes again, lose another at once."""
        await self._heal()
        await self._wipe()
        for _ in range(80):
            await asyncio.sleep(0.05)
            if self._hosts.is_whole():
                await self._kill_leader()
                return

    async def _part_leader_from_one(self) -> None:
        """Part the leader from one host that all others still hear."""
        leader, other = self._hosts.leader, self._any()
        if leader is None:
            return
        await self._await_pause()
        self._note(f'part {leader.node} from {other.node}')
        self._part({leader.node}, {other.node})

    async def _change_sides(self) -> None:
        """Join a host that the leader lost with one that just restarted.

        The restarted one supports the leader's lease and has forgotten it.
        """
        leader = self._hosts.leader
        if leader is None:
            return
        others = [node for node in self._voters() if node != leader.node]
        self._rng.shuffle(others)
        turned, lost = others[:1], others[1:]
        self._note(f'{turned} leaves {leader.node} for {lost}')
        await self._heal()
        await self._await_pause()
        self._part({leader.node, *turned}, set(lost))
        await asyncio.sleep(self._rng.uniform(0.8, 1.2))
        for node in turned:
            self._hosts.kill(self._hosts.all[node])
            self._later(self._hosts.all[node], 0.01)
        await self._heal()
        self._part({leader.node}, {*turned, *lost})

    async def _rush(self) -> None:
        """Let the election timers of all hosts run out together."""
        self._note('all timers run out')
        await self._kill_leader()
        self._hosts.network.weather.least_delay = 0.02
        self._hosts.network.weather.most_delay = 0.06
        at = asyncio.get_running_loop().time() + 1
        for host in self._hosts.running:
            host.process._state.election_at = at  # noqa: SLF001

    async def _shrink(self) -> None:
        """Ask for two removals at once, sometimes of an isolated leader."""
        if not self._hosts.is_whole():
            return
        leader = self._hosts.leader
        if self._rng.random() < 0.7:
            await self._isolate_leader()
        others = [node for node in self._voters() if node != leader.node]
        for node in others[:2]:
            self._note(f'remove {node}')
            try:
                leader.process.remove(node)
            except (failures.NotLeader, failures.MemberChangeRefused):
                self._note('refused')

    async def _fill_up(self) -> None:
        self._note('fill up')
        self._hosts.fill_up()

    async def _leave_unheard(self) -> None:
        """Stop a leader that hears nothing of what the others then do."""
        leader = self._hosts.leader
        if leader is None:
            return
        self._note(f'{leader.node} leaves and hears nothing')
        for node in self._hosts.all:
            self._hosts.network.cut(node, leader.node)
        await self._hosts.leave(leader)
        self._later(leader, 0.2)

    async def _await_pause(self) -> None:
        """Wait until callers rest, and all logs are the same length."""
        while callers.is_pause():
            await asyncio.sleep(0.05)
        while not callers.is_pause():
            await asyncio.sleep(0.05)
        await asyncio.sleep(0.15)

    def _part(self, near: set[str], far: set[str]) -> None:
        for one in sorted(near):
            for other in sorted(far):
                self._hosts.network.cut(one, other)
                self._hosts.network.cut(other, one)

    def _voters(self) -> list[str]:
        leader = self._hosts.leader
        rows = leader.process.members() if leader else []
        return [row.node for row in rows if row.voter]
