"""Lead a group for one term."""

from __future__ import annotations

import asyncio
import contextlib
import logging

from tamarackthread.control import (
    leader_term,
    reconfiguration,
    replica,
    replication,
)
from tamarackthread.shared import log_events

_log = logging.getLogger('tamarackthread.control.leading')


class Leader:
    """Run what only a leader does, from its election until it steps down."""

    def __init__(self, state: replica.Replica) -> None:
        """Begin without a term."""
        self._state = state
        self._peers: dict[str, replication.PeerReplicator] = {}
        self._tasks: dict[str, list[asyncio.Task[None]]] = {}

    @property
    def peers(self) -> dict[str, replication.PeerReplicator]:
        """Return the tasks for each other member, empty when not leading."""
        return self._peers

    async def lead(self) -> None:
        """Lead until the term ends for this member."""
        state = self._state
        term = state.become_leader()
        log_events.tell(
            _log,
            log_events.Event.LEADER,
            'consensus: %s leads %s in term %d',
            state.parts.node,
            state.parts.group,
            term.term,
            group=state.parts.group,
            term=term.term,
        )
        try:
            await self._watch(term)
        finally:
            self._end_peers()

    async def hand_over(self) -> None:
        """Let the best other voter lead; return when this member doesn't.

        What somebody was promised about the lease is kept: it's given up only
        after the latest end that was told.
        """
        term = self._state.leader_term
        if term is None:
            return
        term.begin_handover()
        try:
            await self._hand_over(term)
        finally:
            # A leader that has begun to hand over takes no proposals.  If its
            # caller gives up waiting, it must not stay in between for ever.
            if self._state.leader_term is term:
                self._state.step_down('hands over')

    async def _hand_over(self, term: leader_term.LeaderTerm) -> None:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(
                self._state.parts.times.handover_timeout
            ):
                await asyncio.sleep(
                    max(0, term.lease_promised_until - self._state.now)
                )
                await self._release(term)
                await term.ended.wait()

    async def _watch(self, term: leader_term.LeaderTerm) -> None:
        while not term.ended.is_set():
            self._start_peers(term)
            self._raise_failures()
            why = self._why_not(term)
            if why:
                await self._give_up(term, why)
                continue
            reconfiguration.advance(self._state, term)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(
                    self._state.parts.times.heartbeat / 2
                ):
                    await term.ended.wait()

    def _why_not(self, term: leader_term.LeaderTerm) -> str:
        """Return why this member must not go on leading, empty if it may."""
        state = self._state
        if term.has_lost_quorum(state.membership, state.now):
            return 'no quorum answers'
        # A leader whose own disk stalls still answers heartbeats and looks
        # alive, while it can neither vote nor begin a term after a failure.
        # Callers see slow changes for as long as it leads.
        if state.log.is_stalled(state.now):
            return 'own disk stalls'
        if state.log.is_full:
            return 'own disk is full'
        settled = state.members.newest_index <= state.commit_index
        if settled and not state.is_voter:
            return 'is no longer a voter'
        return ''

    async def _give_up(self, term: leader_term.LeaderTerm, why: str) -> None:
        if not term.is_handing_over:
            term.begin_handover()
            wait = term.lease_promised_until - self._state.now
            if 0 < wait <= self._state.parts.times.lease:
                await asyncio.sleep(wait)
            await self._release(term)
        if self._state.leader_term is term:
            self._state.step_down(why)

    async def _release(self, term: leader_term.LeaderTerm) -> None:
        """Tell all voters that the lease is void, and the best one to stand."""
        best = await self._best_peer(term)
        term.release()
        calls = []
        for node, peer in self._peers.items():
            calls.append(peer.release(campaign=node == best))
        await asyncio.gather(*calls)

    async def _best_peer(self, term: leader_term.LeaderTerm) -> str:
        """Return the voter with the longest log, given a moment to catch up."""
        times = self._state.parts.times
        patience = self._state.now + times.heartbeat_timeout
        while True:
            best, matched = self._longest(term)
            caught_up = matched >= self._state.log.last_index
            if caught_up or self._state.now >= patience:
                return best
            await asyncio.sleep(times.heartbeat / 2)

    def _longest(self, term: leader_term.LeaderTerm) -> tuple[str, int]:
        best, matched = '', -1
        for voter in self._state.membership.voters:
            held = term.progress.get(voter.node)
            if held is None or held.is_full:
                continue
            if held.match_index > matched:
                best, matched = voter.node, held.match_index
        return best, matched

    def _start_peers(self, term: leader_term.LeaderTerm) -> None:
        state = self._state
        wanted = {
            member.node
            for members in (
                state.membership,
                state.members.at(state.commit_index),
            )
            for member in members.members
        }
        wanted.discard(state.parts.node)
        for node in sorted(wanted.difference(self._peers)):
            peer = replication.PeerReplicator(state, term, node)
            self._peers[node] = peer
            self._tasks[node] = [
                asyncio.create_task(peer.beat()),
                asyncio.create_task(peer.replicate()),
            ]
        for gone in sorted(set(self._peers).difference(wanted)):
            self._peers.pop(gone)
            term.progress.pop(gone, None)
            _cancel(self._tasks.pop(gone))

    def _raise_failures(self) -> None:
        """Halt on a fault in a peer's task, which else nobody would see."""
        for running in self._tasks.values():
            for task in running:
                if task.done() and not task.cancelled():
                    task.result()

    def _end_peers(self) -> None:
        for running in self._tasks.values():
            _cancel(running)
        self._tasks = {}
        self._peers = {}


def _cancel(running: list[asyncio.Task[None]]) -> None:
    for task in running:
        task.cancel()
