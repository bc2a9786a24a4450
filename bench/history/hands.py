"""Hold what all faults of a run are made of."""

from __future__ import annotations

import asyncio
import random

from bench.history import hosts


class Hands:
    """Kill, restart, cut off and heal hosts, noting each."""

    def __init__(self, group: hosts.Hosts, rng: random.Random) -> None:
        """Draw faults from the run's seed."""
        self._hosts = group
        self._rng = rng
        self._restarts: list[asyncio.Task[None]] = []

    def drop_restarts(self) -> None:
        """Start no host any more that waits for its restart."""
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

    async def _heal(self) -> None:
        self._note('heal the network')
        self._hosts.network.heal()

    def _part(self, near: set[str], far: set[str]) -> None:
        for one in sorted(near):
            for other in sorted(far):
                self._hosts.network.cut(one, other)
                self._hosts.network.cut(other, one)

    def _voters(self) -> list[str]:
        leader = self._hosts.leader
        rows = leader.process.members() if leader else []
        return [row.node for row in rows if row.voter]

    async def _kill_leader(self) -> None:
        leader = self._hosts.leader
        if leader is not None:
            self._note(f'kill the leader {leader.node}')
            self._kill(leader)

    async def _wipe(self) -> None:
        """Exchange one disk, but only while no other is being made good."""
        if not self._hosts.is_whole():
            return
        host = self._hosts.all[self._rng.choice(self._voters())]
        self._note(f'wipe {host.node}')
        self._hosts.kill(host)
        host.platter.wipe()
        self._later(host, self._rng.uniform(0.05, 1))
