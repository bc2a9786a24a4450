"""Run the leader's tasks for one term."""

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
    """Replicate and watch the quorum from election to step-down."""

    def __init__(self, state: replica.Replica) -> None:
        """Share the member's state; leads no term yet."""
        self._state = state
        self._peers: dict[str, replication.PeerReplicator] = {}
        self._tasks: dict[str, list[asyncio.Task[None]]] = {}

    @property
    def peers(self) -> dict[str, replication.PeerReplicator]:
        """Return the replicators by node, empty when not leading."""
        return self._peers

    async def lead(self) -> None:
        """Lead until the term ends for this member."""
        state = self._state
        term = state.become_leader()
        log_events.emit(
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
            self._stop_peers()

    async def hand_over(self) -> None:
        """Hand leadership to the most up-to-date voter and wait for it."""
        term = self._state.leader_term
        if term is None:
            return
        term.begin_handover()
        try:
            await self._hand_over(term)
        finally:
            # A leader in handover takes no proposals.  It must step down even
            # if the caller cancels the wait.
            if self._state.leader_term is term:
                self._state.step_down('leadership was handed over')

    async def _hand_over(self, term: leader_term.LeaderTerm) -> None:
        # Lease times already reported to callers must run out first.
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
            self._update_peers(term)
            self._raise_task_errors()
            reason = self._step_down_reason(term)
            if reason:
                await self._step_down(term, reason)
                continue
            reconfiguration.advance(self._state, term)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(
                    self._state.parts.times.heartbeat / 2
                ):
                    await term.ended.wait()

    def _step_down_reason(self, term: leader_term.LeaderTerm) -> str:
        """Return why the leader must step down, empty if it may stay."""
        state = self._state
        if term.has_lost_quorum(state.membership, state.now):
            return 'lost contact with the quorum'
        # A leader with a stalled disk still sends heartbeats, so that no
        # follower would time it out.
        if state.log.is_stalled(state.now):
            return 'own disk is stalled'
        if state.log.is_full:
            return 'own disk is full'
        is_committed = state.members.newest_index <= state.commit_index
        if is_committed and not state.is_voter:
            return 'is no longer a voter'
        return ''

    async def _step_down(
        self, term: leader_term.LeaderTerm, reason: str
    ) -> None:
        if not term.is_handing_over:
            term.begin_handover()
            delay = term.lease_promised_until - self._state.now
            if 0 < delay <= self._state.parts.times.lease:
                await asyncio.sleep(delay)
            await self._release(term)
        if self._state.leader_term is term:
            self._state.step_down(reason)

    async def _release(self, term: leader_term.LeaderTerm) -> None:
        """Release the lease at all voters; the successor stands at once."""
        successor = await self._choose_successor(term)
        term.release()
        calls = []
        for node, peer in self._peers.items():
            calls.append(peer.release(campaign=node == successor))
        await asyncio.gather(*calls)

    async def _choose_successor(self, term: leader_term.LeaderTerm) -> str:
        """Return the voter with the longest log, after a bounded catch-up."""
        times = self._state.parts.times
        deadline = self._state.now + times.heartbeat_timeout
        while True:
            successor, matched = self._most_advanced(term)
            caught_up = matched >= self._state.log.last_index
            if caught_up or self._state.now >= deadline:
                return successor
            await asyncio.sleep(times.heartbeat / 2)

    def _most_advanced(self, term: leader_term.LeaderTerm) -> tuple[str, int]:
        successor, matched = '', -1
        for voter in self._state.membership.voters:
            progress = term.progress.get(voter.node)
            if progress is None or progress.is_full:
                continue
            if progress.match_index > matched:
                successor, matched = voter.node, progress.match_index
        return successor, matched

    def _update_peers(self, term: leader_term.LeaderTerm) -> None:
        state = self._state
        required = {
            member.node
            for members in (
                state.membership,
                state.members.at(state.commit_index),
            )
            for member in members.members
        }
        required.discard(state.parts.node)
        for node in sorted(required.difference(self._peers)):
            peer = replication.PeerReplicator(state, term, node)
            self._peers[node] = peer
            self._tasks[node] = [
                asyncio.create_task(peer.send_heartbeats()),
                asyncio.create_task(peer.replicate()),
            ]
        for removed in sorted(set(self._peers).difference(required)):
            self._peers.pop(removed)
            term.progress.pop(removed, None)
            _cancel(self._tasks.pop(removed))

    def _raise_task_errors(self) -> None:
        """Raise the error of a failed peer task."""
        for tasks in self._tasks.values():
            for task in tasks:
                if task.done() and not task.cancelled():
                    task.result()

    def _stop_peers(self) -> None:
        for tasks in self._tasks.values():
            _cancel(tasks)
        self._tasks = {}
        self._peers = {}


def _cancel(tasks: list[asyncio.Task[None]]) -> None:
    for task in tasks:
        task.cancel()
