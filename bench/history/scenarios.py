"""Break things in the order that a single missing safeguard needs to show."""

from __future__ import annotations

import asyncio
import collections.abc

from bench.history import callers, hands, hosts
from tamarackthread.control import failures

Fault = collections.abc.Callable[[], collections.abc.Awaitable[None]]


class Scenarios(hands.Hands):
    """Faults of several steps, each aimed at one safeguard."""

    @property
    def scenarios(self) -> list[Fault]:
        """Return the faults; those that rarely strike stand twice."""
        return [
            self._repair_then_kill,
            self._part_leader_from_one,
            self._part_leader_from_one,
            self._change_sides,
            self._change_sides,
            self._rush,
            self._rush,
            self._shrink,
            self._leave_unheard,
            self._kill_voter,
            self._kill_voter,
            self._slow_answers,
            self._slow_answers,
            self._repeat_late,
            self._repeat_late,
        ]

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
        await asyncio.sleep(1)
        for host in self._hosts.running:
            host.process._state.timer.expire()  # noqa: SLF001

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

    async def _kill_voter(self) -> None:
        """Crash a host right after its vote and join it with another."""
        leader = self._hosts.leader
        if leader is None:
            return
        await self._heal()
        await self._isolate_leader()
        voter = await self._new_vote(leader.process.term)
        if voter is None or voter.process is None:
            return
        winner = voter.process._state.hard.vote  # noqa: SLF001
        self._note(f'kill {voter.node}, which voted for {winner}')
        await asyncio.sleep(0.001)
        self._hosts.kill(voter)
        self._later(voter, 0.005)
        self._hosts.network.heal()
        self._part({winner}, set(self._hosts.all) - {winner})
        await asyncio.sleep(2)

    async def _new_vote(self, term: int) -> hosts.Host | None:
        """Return the first host that votes for another in a later term."""
        for _ in range(3_000):
            await asyncio.sleep(0.001)
            for host in self._hosts.running:
                hard = host.process._state.hard  # noqa: SLF001
                if hard.term > term and hard.vote not in {'', host.node}:
                    return host
        return None

    async def _slow_answers(self) -> None:
        """Let answers reach the leader late, and then silence it."""
        leader = self._hosts.leader
        if leader is None:
            return
        await self._heal()
        self._note(f'late answers to {leader.node}, then it is not heard')
        others = sorted(set(self._hosts.all) - {leader.node})
        for node in others:
            self._hosts.network.lag(node, leader.node, 0.27)
        await asyncio.sleep(1)
        for node in others:
            self._hosts.network.cut(leader.node, node)
        await asyncio.sleep(1.5)

    async def _repeat_late(self) -> None:
        """Repeat messages late to the one follower that has the last entries.

        It acknowledged them and doesn't know yet that they are committed;
        then the leader is lost and a host that lacks them may be elected.
        """
        leader = self._hosts.leader
        if leader is None:
            return
        others = [node for node in self._voters() if node != leader.node]
        self._rng.shuffle(others)
        near, far = others[: len(others) // 2], others[len(others) // 2 :]
        self._note(f'repeat to {near} late, without {far}')
        await self._heal()
        self._part({leader.node, *near}, set(far))
        self._hosts.network.weather.doubling = 1
        while callers.is_pause():
            await asyncio.sleep(0.05)
        await asyncio.sleep(0.5)
        for node in near:
            self._hosts.network.cut(leader.node, node)
        await asyncio.sleep(0.7)
        await self._heal()
        self._kill(leader)

    async def _await_pause(self) -> None:
        """Wait until callers rest, and all logs are the same length."""
        while callers.is_pause():
            await asyncio.sleep(0.05)
        while not callers.is_pause():
            await asyncio.sleep(0.05)
        await asyncio.sleep(0.15)
