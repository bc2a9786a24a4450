"""Kill, isolate and restart control hosts while changes go on."""

from __future__ import annotations

import asyncio

from bench.config import journal, operators, stand
from tamarackthread.generated.messages import ttypes as messages

CALM_SECONDS = 4.0
DOWN_SECONDS = 6.0
DISTURBED_SECONDS = 6.0
LAPSE_SECONDS = 2.0
BURST_CHANGES = 1000
RESTARTED = range(8)
AT_ONCE = operators.NAMES
POLL_SECONDS = 0.01
CATCH_UP_SECONDS = 60.0


class Faults:
    """Break one thing after the other and time the way back."""

    def __init__(
        self,
        subject: stand.Stand,
        operator: operators.Operator,
        race: operators.Race,
    ) -> None:
        """Take the running processes."""
        self._subject = subject
        self._operator = operator
        self._race = race
        self._probes = 0
        self.spans: list[journal.Span] = []

    async def run(self, per_second: float) -> list[float]:
        """Kill the leader, then isolate the next; give both failovers in ms.

        Some subscribers are killed and started again on the way.
        """
        seconds = 2 * (CALM_SECONDS + DOWN_SECONDS + DISTURBED_SECONDS)
        changing = asyncio.ensure_future(
            self._race.run(int(seconds * per_second), per_second),
        )
        killed = await self._kill_leader()
        await asyncio.sleep(CALM_SECONDS)
        isolated = await self._isolate_leader()
        await changing
        return [killed, isolated]

    async def catch_up(self, race: operators.Race) -> float:
        """Restart a follower that missed 1,000 changes; give the ms it took."""
        leader = await self._leader()
        others = [node for node in self._subject.cluster.controls]
        others.remove(leader)
        await self._subject.kill(others[0])
        self._race.phase = operators.BURST
        await race.burst(BURST_CHANGES, AT_ONCE)
        goal = await self._committed(leader, leader)
        await self._subject.cluster.restart(others[0])
        loop = asyncio.get_running_loop()
        began_at = loop.time()
        while await self._committed(others[0], others[0]) < goal:
            if loop.time() > began_at + CATCH_UP_SECONDS:
                return -1
            await asyncio.sleep(POLL_SECONDS)
        return round((loop.time() - began_at) * 1000)

    async def _kill_leader(self) -> float:
        await asyncio.sleep(CALM_SECONDS)
        leader = await self._leader()
        self._race.phase = operators.DISTURBED
        began_at = asyncio.get_running_loop().time()
        await self._subject.kill(leader)
        failover = await self._probe()
        await asyncio.sleep(LAPSE_SECONDS)
        self._note_span(began_at)
        for place in RESTARTED:
            await self._subject.kill_subscriber(place)
        await self._subject.start_subscribers(RESTARTED)
        await asyncio.sleep(DOWN_SECONDS)
        await self._subject.cluster.restart(leader)
        self._race.phase = operators.CALM
        return failover

    async def _isolate_leader(self) -> float:
        leader = await self._leader()
        self._race.phase = operators.DISTURBED
        began_at = asyncio.get_running_loop().time()
        self._subject.network.isolate(leader)
        failover = await self._probe()
        await asyncio.sleep(DISTURBED_SECONDS)
        self._note_span(began_at)
        self._subject.network.rejoin(leader)
        await asyncio.sleep(1)
        self._race.phase = operators.CALM
        return failover

    def _note_span(self, began_at: float) -> None:
        now = asyncio.get_running_loop().time()
        self.spans.append(journal.Span(began_at, now))

    async def _leader(self) -> str:
        found = await stand.status(self._operator)
        assert found is not None
        return found.leader

    async def _probe(self) -> float:
        loop = asyncio.get_running_loop()
        began_at = loop.time()
        prober = self._subject.operator(f'prober-{self._probes}')
        self._probes += 1
        await prober.change(f'probe-{self._probes}', 0, '{}')
        prober.close()
        return round((loop.time() - began_at) * 1000)

    async def _committed(self, node: str, group_member: str) -> int:
        asker = operators.Operator(
            'operator-members',
            self._subject.cluster.key_file.read_bytes().strip(),
            [self._subject.cluster.controls[node]],
        )
        asked = messages.MemberRequest(group='config', action='members')
        reply = await asker.ask(messages.Request(member=asked))
        asker.close()
        assert reply is not None
        return reply.member.commit_index
