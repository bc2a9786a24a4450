"""Prove that a leader whose process is gone is replaced without a wait."""

from __future__ import annotations

import asyncio
import types

from tests import consensus_net

SHORT_ELECTION = 0.12
# What the old wait took: a voter's silence, and the spread of candidates.
ELECTION = (0.7, 1.2)
TIMES = types.MappingProxyType(
    {
        'heartbeat': 0.12,
        'election_min': ELECTION[0],
        'election_max': ELECTION[1],
        'is_lease_trusted': False,
    }
)


class LostLeaderTest(consensus_net.PausedCase):
    """Kill, close and start, with and without the hint."""

    def test_killed(self) -> None:
        """The leader's process is killed, and for a second nobody leads.

        Its connections close at once.  Each follower asks its host, which
        refuses, and one of them leads long before the leader's silence would
        have shown it.
        """
        self.run_paused(self._killed())

    def test_alive(self) -> None:
        """A working leader keeps its place when its connections are reset.

        Something between the hosts resets them all.  The followers ask the
        leader anew, which answers, so nobody stands and the term stays.
        """
        self.run_paused(self._alive())

    def test_alive_to_one(self) -> None:
        """One follower that no longer reaches the leader deposes nobody.

        It is told that the leader's host refuses connections.  The other
        voters still hear the leader and refuse the pre-vote.
        """
        self.run_paused(self._alive_to_one())

    def test_all_killed(self) -> None:
        """After all hosts have lost power nobody leads for a second.

        They start within a tenth of a second of each other.  None of them has
        a leader to wait for, so the first that reaches another one leads.
        """
        self.run_paused(self._all_killed())

    def test_trusted_lease(self) -> None:
        """Where reads rest on the lease, a closed connection is no hint."""
        self.run_paused(self._trusted())

    async def _killed(self) -> None:
        for _ in range(20):
            net = await _started(short_election_max=SHORT_ELECTION)
            old = await net.leader()
            # Followers have settled into their wait for a silent leader.
            await asyncio.sleep(3)
            began = _now()
            net.kill(old)
            await _tell_closed(net, old)
            await net.leader(old)
            self.assertLess(_now() - began, ELECTION[0] / 1.5)
            _stop(net)

    async def _alive(self) -> None:
        net = await _started(short_election_max=SHORT_ELECTION)
        old = await net.leader()
        term = net.processes[old].term
        await _tell_closed(net, old)
        await asyncio.sleep(3)
        self.assertEqual(old, await net.leader())
        self.assertEqual(term, net.processes[old].term)

    async def _alive_to_one(self) -> None:
        net = await _started(short_election_max=SHORT_ELECTION)
        old = await net.leader()
        term = net.processes[old].term
        one = next(node for node in net.processes if node != old)
        net.state(one).timer.shorten()
        net.network.cut(one, old)
        net.network.cut(old, one)
        await asyncio.sleep(3)
        self.assertEqual(term, net.processes[old].term)

    async def _all_killed(self) -> None:
        net = await _started(short_election_max=SHORT_ELECTION)
        await net.leader()
        for _ in range(20):
            net.kill(*net.processes)
            for node in consensus_net.NODES:
                await net.start(node)
                await asyncio.sleep(net.rng.uniform(0, 0.05))
            began = _now()
            await net.leader()
            self.assertLess(_now() - began, ELECTION[0])

    async def _trusted(self) -> None:
        net = await _started(short_election_max=0)
        old = await net.leader()
        net.kill(old)
        await _tell_closed(net, old)
        await asyncio.sleep(ELECTION[0] / 2)
        self.assertFalse(any(one.is_leader for one in net.processes.values()))


async def _started(**times: float) -> consensus_net.Net:
    net = consensus_net.Net(**TIMES, **times)
    await net.start(*consensus_net.NODES)
    return net


async def _tell_closed(net: consensus_net.Net, leader: str) -> None:
    """Do what the host does when a connection of another has closed."""
    others = [one for node, one in net.processes.items() if node != leader]
    await asyncio.gather(*(one.check_leader(leader) for one in others))


def _stop(net: consensus_net.Net) -> None:
    net.kill(*net.processes)


def _now() -> float:
    return asyncio.get_running_loop().time()
