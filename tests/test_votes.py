"""Test that a voter gives one vote in a term, whatever it is told."""

from __future__ import annotations

import asyncio
import random

from tamarackthread.control import hard_state
from tamarackthread.generated.messages import ttypes as messages
from tests import consensus_net

DRAWN_HISTORIES = 40
STEPS = 60
VOTER = 'h1'
CANDIDATES = ('h2', 'h3')
LAST_INDEX = 1_000


class VoteTest(consensus_net.PausedCase):
    """Test the votes of one member by the replies that it gives."""

    def test_one_vote_in_a_term(self) -> None:
        """Guards against two leaders in a term by a vote that is forgotten."""
        for seed in range(DRAWN_HISTORIES):
            with self.subTest(seed=seed):
                self.run_paused(self._vote(random.Random(seed)))

    def test_vote_is_final(self) -> None:
        """Guards against code that changes the vote of a term."""
        state = hard_state.HardState(consensus_net.Net().disk(VOTER))
        state.advance(2)
        state.vote_for('h2')
        state.vote_for('h2')
        with self.assertRaises(ValueError):
            state.vote_for('h3')
        with self.assertRaises(ValueError):
            state.advance(2)
        self.assertEqual((2, 'h2'), (state.term, state.vote))

    async def _vote(self, rng: random.Random) -> None:
        net = consensus_net.Net()
        await net.start(*consensus_net.NODES)
        await net.leader()
        net.kill(*CANDIDATES)
        granted: dict[int, set[str]] = {}
        term = net.state(VOTER).hard.term
        for _ in range(STEPS):
            term += rng.random() < 0.1
            await asyncio.sleep(rng.choice((0, 0.3, 1.6)))
            if rng.random() < 0.1:
                net.kill(VOTER)
                await net.start(VOTER)
            if rng.random() < 0.5:
                leader = CANDIDATES[term % len(CANDIDATES)]
                await self._append(net, leader, term)
                continue
            peer = rng.choice(CANDIDATES)
            if await self._asked(net, peer, term):
                granted.setdefault(term, set()).add(peer)
        for voted in granted.values():
            self.assertEqual(1, len(voted))
        self.assertTrue(granted)

    async def _append(
        self, net: consensus_net.Net, leader: str, term: int
    ) -> None:
        heartbeat = messages.AppendRequest(
            group=consensus_net.GROUP,
            term=term,
            leader=leader,
            previous_index=0,
            previous_term=0,
            entries=[],
            commit_index=0,
            round=1,
        )
        await net.processes[VOTER].handle(messages.Request(append=heartbeat))

    async def _asked(
        self, net: consensus_net.Net, candidate: str, term: int
    ) -> bool:
        request = messages.VoteRequest(
            group=consensus_net.GROUP,
            term=term,
            candidate=candidate,
            last_index=LAST_INDEX,
            last_term=term,
            pre_vote=False,
            disk_id=b'',
        )
        reply = await net.processes[VOTER].handle(
            messages.Request(vote=request)
        )
        return bool(reply.vote.granted)
