"""Test the fast failover after the leader's process is killed."""

from __future__ import annotations

import asyncio
import types

from tests import consensus_net

SHORT_ELECTION = 0.12
# The range of the ordinary election timeout.
ELECTION_TIMEOUT = (0.7, 1.2)
TIMES = types.MappingProxyType(
    {
        'heartbeat': 0.12,
        'election_min': ELECTION_TIMEOUT[0],
        'election_max': ELECTION_TIMEOUT[1],
        'is_lease_trusted': False,
    }
)


class LostLeaderTest(consensus_net.PausedCase):
    """Test closed connections with and without the short timeout."""

    def test_killed(self) -> None:
        """Guards against waiting the election timeout for a killed leader."""
        self.run_paused(self._killed())

    def test_reset_connections(self) -> None:
        """Guards against deposing a working leader on reset connections."""
        self.run_paused(self._reset_connections())

    def test_one_partitioned_follower(self) -> None:
        """Guards against one partitioned follower that deposes the leader."""
        self.run_paused(self._one_partitioned())

    def test_all_killed(self) -> None:
        """Guards against waiting the election timeout after a full restart."""
        self.run_paused(self._all_killed())

    def test_no_short_timeout_with_lease(self) -> None:
        """Guards against the short timeout where reads rely on leases."""
        self.run_paused(self._no_short_timeout())

    async def _killed(self) -> None:
        for _ in range(20):
            net = await _started(short_election_max=SHORT_ELECTION)
            old = await net.leader()
            # By now all followers use the ordinary election timeout.
            await asyncio.sleep(3)
            started = _now()
            net.kill(old)
            await _report_closed(net, old)
            await net.leader(old)
            self.assertLess(_now() - started, ELECTION_TIMEOUT[0] / 1.5)
            _stop(net)

    async def _reset_connections(self) -> None:
        net = await _started(short_election_max=SHORT_ELECTION)
        old = await net.leader()
        term = net.processes[old].term
        await _report_closed(net, old)
        await asyncio.sleep(3)
        self.assertEqual(old, await net.leader())
        self.assertEqual(term, net.processes[old].term)

    async def _one_partitioned(self) -> None:
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
            started = _now()
            await net.leader()
            self.assertLess(_now() - started, ELECTION_TIMEOUT[0])

    async def _no_short_timeout(self) -> None:
        net = await _started(short_election_max=0)
        old = await net.leader()
        net.kill(old)
        await _report_closed(net, old)
        await asyncio.sleep(ELECTION_TIMEOUT[0] / 2)
        self.assertFalse(any(one.is_leader for one in net.processes.values()))


async def _started(**times: float) -> consensus_net.Net:
    net = consensus_net.Net(**TIMES, **times)
    await net.start(*consensus_net.NODES)
    return net


async def _report_closed(net: consensus_net.Net, leader: str) -> None:
    """Report the leader's closed connection to all others."""
    others = [one for node, one in net.processes.items() if node != leader]
    await asyncio.gather(*(one.check_leader(leader) for one in others))


def _stop(net: consensus_net.Net) -> None:
    net.kill(*net.processes)


def _now() -> float:
    return asyncio.get_running_loop().time()
