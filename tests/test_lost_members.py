"""Test members that are removed from the group although they are alive."""

from __future__ import annotations

import asyncio
import random

from tests import membership_net

# Bounds of the platform's pages, in seconds.
ACK_TIMEOUT = 4.0
CATCH_UP = 4.0
RECOVERY = 12.0
LONGEST_FREEZE = 7.9
DRAWN_HISTORIES = 12
DRAWN_LEAVES = 12


class RejoinTest(membership_net.FrozenCase):
    """Test that a removed member takes part again."""

    def test_frozen_voter_rejoins(self) -> None:
        """Guards against a voter removed while frozen that never rejoins."""
        self.run_paused(self._rejoins())

    def test_newcomer_finds_leader(self) -> None:
        """Guards against a host that can't join as no seed leads the group."""
        self.run_paused(self._finds_leader())

    def test_disk_lost_after_planned_leave(self) -> None:
        """Guards against a voter that has left and still counts for a quorum."""
        for seed in range(DRAWN_LEAVES):
            with self.subTest(seed=seed):
                self.run_paused(self._leaves(seed))

    def test_freeze_during_planned_leave(self) -> None:
        """Guards against a planned leave that stops changes beside a freeze."""
        for seed in range(DRAWN_LEAVES):
            with self.subTest(seed=seed):
                self.run_paused(self._leaves_beside_freeze(seed))

    async def _leaves(self, seed: int) -> None:
        net, old, other = await _start_leaving(seed)
        await net.leave(old)
        await net.lose_disk(other, 2)
        self.assertTrue(await net.commit('last', RECOVERY))

    async def _leaves_beside_freeze(self, seed: int) -> None:
        net, old, other = await _start_leaving(seed)
        freezing = asyncio.create_task(net.freeze(other, LONGEST_FREEZE))
        await net.leave(old)
        self.assertTrue(await net.commit('last', ACK_TIMEOUT))
        await freezing

    async def _finds_leader(self) -> None:
        net = await _start(seed=1)
        leader = await net.leader()
        seeds = [node for node in membership_net.SEEDS if node != leader]
        await net.run_host('h4', seeds=seeds)
        await asyncio.sleep(CATCH_UP)
        self.assertIn('h4', _voters(net))

    async def _rejoins(self) -> None:
        net = await _start(seed=1)
        leader = await net.leader()
        old, other = (node for node in membership_net.SEEDS if node != leader)
        await net.run_host('h4')
        await asyncio.sleep(CATCH_UP)
        await net.freeze(other, 3.5)
        await asyncio.sleep(CATCH_UP)
        self.assertIn(other, _voters(net))
        await net.leave(old)
        await asyncio.sleep(CATCH_UP)
        await net.lose_disk('h4', 2)
        self.assertTrue(await net.commit('last', RECOVERY))


class DrawnHistoriesTest(membership_net.FrozenCase):
    """Test losses of one host at a time while hosts are replaced."""

    def test_drawn_histories(self) -> None:
        """Guards against losing changes or the quorum with one host lost."""
        for seed in range(DRAWN_HISTORIES):
            with self.subTest(seed=seed):
                self.run_paused(self._play(seed))

    async def _play(self, seed: int) -> None:
        net = await _start(seed)
        rng = random.Random(seed)
        await net.leader()
        for number in range(2):
            freezing = asyncio.create_task(_freeze_in_turn(net, rng))
            await _replace_host(net, rng, f'h{number + 4}')
            await freezing
            await asyncio.sleep(CATCH_UP)
            self.assertTrue(await net.commit(f'{number}', ACK_TIMEOUT), seed)
            await net.lose_disk(rng.choice(sorted(net.processes)), 2)
            await asyncio.sleep(CATCH_UP)
        self.assertTrue(await net.commit('last', RECOVERY), seed)
        self._check_log(net)

    def _check_log(self, net: membership_net.MembershipNet) -> None:
        """Check the log, and for one leader a term and one vote of each voter."""
        rows = max((machine.rows for machine in net.machines.values()), key=len)
        self.assertLessEqual({'0', '1', 'last'}, set(rows))
        for node in net.processes:
            held = net.machines[node].rows
            self.assertEqual(rows[: len(held)], held)
        for leaders in net.elected.values():
            self.assertEqual(1, len(leaders))
        for candidates in net.votes.values():
            self.assertEqual(1, len(candidates))


async def _freeze_in_turn(
    net: membership_net.MembershipNet, rng: random.Random
) -> None:
    """Freeze hosts at random moments, one at a time."""
    for _ in range(rng.randint(1, 3)):
        await asyncio.sleep(rng.uniform(0, CATCH_UP))
        node = rng.choice(sorted(net.processes))
        await net.freeze(node, rng.uniform(0.3, LONGEST_FREEZE))


async def _replace_host(
    net: membership_net.MembershipNet, rng: random.Random, new: str
) -> None:
    """Start a new host, and stop or kill another one for good."""
    await net.run_host(new)
    await asyncio.sleep(CATCH_UP + rng.uniform(0, CATCH_UP))
    old = rng.choice(sorted(set(net.processes) - {new}))
    if rng.random() < 0.5:
        net.crash(old)
    else:
        await net.leave(old)


async def _start(seed: int) -> membership_net.MembershipNet:
    net = membership_net.MembershipNet(seed)
    for node in membership_net.SEEDS:
        await net.run_host(node, first_start=True)
    return net


async def _start_leaving(
    seed: int,
) -> tuple[membership_net.MembershipNet, str, str]:
    """Start a fourth host; return one to leave and another to be lost."""
    net = await _start(seed)
    await net.leader()
    await net.run_host('h4')
    await asyncio.sleep(CATCH_UP)
    old = net.rng.choice(membership_net.SEEDS)
    other = net.rng.choice(sorted(set(net.processes) - {old}))
    return net, old, other


def _voters(net: membership_net.MembershipNet) -> set[str]:
    """Return the voters that the newest leader has committed."""
    state = max(net.replicas().values(), key=lambda state: state.commit_index)
    return {voter.node for voter in state.membership.voters}
