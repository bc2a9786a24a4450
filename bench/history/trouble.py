"""Break hosts, disks and the network by a seeded schedule."""

from __future__ import annotations

import asyncio

from bench.history import scenarios
from tamarackthread.control import failures


class Trouble(scenarios.Scenarios):
    """Cause one fault after another until cancelled."""

    @property
    def faults(self) -> list[scenarios.Fault]:
        """Return all faults that a schedule draws from."""
        return [
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
            self._fill_up,
            *self.scenarios,
        ]

    async def run(self) -> None:
        """Go on until cancelled; restarts under way are then dropped."""
        try:
            while True:
                await asyncio.sleep(self._rng.uniform(0.1, 1.6))
                await self._rng.choice(self.faults)()
        finally:
            self.drop_restarts()

    async def _kill_some(self) -> None:
        for host in list(self._hosts.all.values()):
            if self._rng.random() < 0.4:
                self._note(f'kill {host.node}')
                self._kill(host)

    async def _kill_all(self) -> None:
        self._note('kill all')
        for host in list(self._hosts.all.values()):
            self._kill(host)

    async def _cut_one_way(self) -> None:
        source, target = self._any().node, self._any().node
        self._note(f'lose what {source} sends to {target}')
        self._hosts.network.cut(source, target)

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

    async def _fill_up(self) -> None:
        self._note('fill up')
        self._hosts.fill_up()
