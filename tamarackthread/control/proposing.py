"""Propose commands and confirm reads, here or at the leader."""

from __future__ import annotations

import asyncio
import contextlib

import attrs

from tamarackthread.control import (
    applying,
    failures,
    leader_term,
    leading,
    replica,
    segments,
)
from tamarackthread.generated.messages import ttypes as messages
from tamarackthread.shared import errors

# After any of these the leader may have written the proposal to its log.
_UNCERTAIN = (
    errors.RequestTimeout,
    errors.LinkLost,
    errors.PeerFailure,
    errors.FrameInvalid,
)


@attrs.frozen
class ProposeResult:
    """A committed command's place in the log and the machine's result."""

    index: int
    result: bytes


class Proposer:
    """Take commands and reads on behalf of callers on this host."""

    def __init__(
        self,
        state: replica.Replica,
        applier: applying.Applier,
        leadership: leading.Leader,
    ) -> None:
        """Share the member's state."""
        self._state = state
        self._applier = applier
        self._leadership = leadership

    async def propose(
        self, command: bytes, timeout_seconds: float
    ) -> ProposeResult:
        """Commit and apply a command as the leader."""
        term = self._require_leading()
        self._require_size(command)
        self._require_room(term)
        index = self._state.append_own(segments.Kind.COMMAND, command)
        waiter = term.add_proposal(index)
        try:
            async with asyncio.timeout(timeout_seconds):
                return ProposeResult(index, await waiter)
        except TimeoutError as exc:
            raise failures.OutcomeUnknown from exc

    async def submit(
        self, command: bytes, timeout_seconds: float
    ) -> ProposeResult:
        """Propose here if this member leads, else at the leader."""
        if self._state.role.leads:
            return await self.propose(command, timeout_seconds)
        try:
            reply = await self._ask_leader(command, timeout_seconds)
        except _UNCERTAIN as exc:
            raise failures.OutcomeUnknown from exc
        return ProposeResult(reply.index, reply.result)

    async def read_index(self, timeout_seconds: float) -> int:
        """Return an index that holds all changes accepted before the call."""
        if not self._state.role.leads:
            reply = await self._ask_leader(b'', timeout_seconds)
            return reply.index
        try:
            async with asyncio.timeout(timeout_seconds):
                return await self._confirm(self._require_leading())
        except TimeoutError as exc:
            raise failures.NoQuorum from exc

    async def answer(
        self, request: messages.ProposeRequest, timeout_seconds: float
    ) -> messages.Reply:
        """Answer another member; an empty command asks for a read's index."""
        self._require_leading()
        if not request.command:
            index = await self.read_index(timeout_seconds)
            return messages.Reply(
                propose=messages.ProposeReply(result=b'', index=index)
            )
        done = await self.propose(request.command, timeout_seconds)
        return messages.Reply(
            propose=messages.ProposeReply(result=done.result, index=done.index)
        )

    async def _ask_leader(
        self, command: bytes, timeout_seconds: float
    ) -> messages.ProposeReply:
        leader = self._state.leader
        if not leader or leader == self._state.parts.node:
            raise failures.NotLeader('no leader is known')
        request = messages.ProposeRequest(
            group=self._state.parts.group, command=command
        )
        reply = await self._state.parts.transport.call(
            leader, messages.Request(propose=request), timeout_seconds
        )
        if reply.propose is None:
            raise errors.FrameInvalid('leader answered something else')
        return reply.propose

    async def _confirm(self, term: leader_term.LeaderTerm) -> int:
        """Prove that this member still leads, by its lease or by asking.

        A suspended host wakes with the clock that it fell asleep with, and
        its lease looks whole although another has been elected.  Where that
        may happen, only answers to what was sent after the read began count.
        """
        await self._applier.wait(term.first_index)
        if term.ended.is_set():
            raise failures.NotLeader(leader=self._state.leader)
        index = self._state.commit_index
        began = self._state.now
        if self._has_lease(term, began):
            return index
        rounds = [
            asyncio.create_task(peer.confirm())
            for peer in self._leadership.peers.values()
        ]
        try:
            await self._await_quorum(term, began)
        finally:
            for task in rounds:
                task.cancel()
        return index

    def _has_lease(self, term: leader_term.LeaderTerm, now: float) -> bool:
        if not self._state.parts.times.is_lease_trusted:
            return False
        return term.lease_until(self._state.membership, now) > now

    async def _await_quorum(
        self, term: leader_term.LeaderTerm, began: float
    ) -> None:
        while True:
            if term.ended.is_set():
                raise failures.NotLeader(leader=self._state.leader)
            members = self._state.membership
            if term.quorum_acked_at(members, self._state.now) >= began:
                return
            term.responded.clear()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(self._state.parts.times.heartbeat):
                    await term.responded.wait()

    def _require_leading(self) -> leader_term.LeaderTerm:
        term = self._state.leader_term
        if term is None:
            raise failures.NotLeader(leader=self._state.leader)
        abandoned = term.has_lost_quorum(
            self._state.membership, self._state.now
        )
        if term.is_handing_over or abandoned:
            raise failures.NotLeader('leadership is ending')
        return term

    def _require_size(self, command: bytes) -> None:
        """Refuse what no frame can carry.

        In the log it would be sent to each member again and again, nothing
        after it could be committed, and no restart would help.
        """
        limit = self._state.parts.times.command_bytes
        if len(command) > limit:
            raise failures.CommandTooLarge(
                f'{len(command)} bytes, at most {limit}'
            )

    def _require_room(self, term: leader_term.LeaderTerm) -> None:
        state = self._state
        if term.pending_proposals >= state.parts.times.pending_proposals:
            raise failures.TooManyProposals
        room = state.parts.files.free_bytes()
        if state.log.is_full or room < state.parts.times.reserve_bytes:
            raise failures.DiskFull(f'{room} bytes are free')
        if not term.has_room(state.membership):
            raise failures.DiskFull('too few members have room')
