"""Propose commands and confirm reads, here or at the leader."""

from __future__ import annotations

import asyncio
import contextlib

import attrs

from tamarackthread.control import (
    applier,
    failures,
    leader_term,
    leading,
    replica,
    segments,
)
from tamarackthread.generated.messages import ttypes as messages
from tamarackthread.shared import errors

# After any of these errors the leader may have logged the proposal.
_AMBIGUOUS_ERRORS = (
    errors.RequestTimeout,
    errors.LinkLost,
    errors.PeerFailure,
    errors.FrameInvalid,
)


@attrs.frozen
class ProposeResult:
    """The log index of a committed command and the machine's result."""

    index: int
    result: bytes


class Proposer:
    """Propose commands and confirm reads for callers on this host."""

    def __init__(
        self,
        state: replica.Replica,
        applier: applier.Applier,
        leadership: leading.Leader,
    ) -> None:
        """Share the member's state, applier and leader."""
        self._state = state
        self._applier = applier
        self._leadership = leadership

    async def propose(
        self, command: bytes, timeout_seconds: float
    ) -> ProposeResult:
        """Commit and apply a command as the leader."""
        term = self._require_leading()
        self._require_size(command)
        self._require_capacity(term)
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
        """Propose here as the leader, else forward to the leader."""
        if self._state.role.leads:
            return await self.propose(command, timeout_seconds)
        try:
            reply = await self._forward(command, timeout_seconds)
        except _AMBIGUOUS_ERRORS as exc:
            raise failures.OutcomeUnknown from exc
        return ProposeResult(reply.index, reply.result)

    async def read_index(self, timeout_seconds: float) -> int:
        """Return an index that covers all changes committed before the call."""
        if not self._state.role.leads:
            reply = await self._forward(b'', timeout_seconds)
            return reply.index
        try:
            async with asyncio.timeout(timeout_seconds):
                return await self._confirm_leadership(self._require_leading())
        except TimeoutError as exc:
            raise failures.NoQuorum from exc

    async def answer(
        self, request: messages.ProposeRequest, timeout_seconds: float
    ) -> messages.Reply:
        """Answer another member; an empty command requests a read index."""
        self._require_leading()
        if not request.command:
            index = await self.read_index(timeout_seconds)
            return messages.Reply(
                propose=messages.ProposeReply(result=b'', index=index)
            )
        proposed = await self.propose(request.command, timeout_seconds)
        return messages.Reply(
            propose=messages.ProposeReply(
                result=proposed.result, index=proposed.index
            )
        )

    async def _forward(
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
            raise errors.FrameInvalid('leader sent a reply of another kind')
        return reply.propose

    async def _confirm_leadership(self, term: leader_term.LeaderTerm) -> int:
        """Confirm leadership by the lease or by a round of heartbeats."""
        await self._applier.wait(term.first_index)
        if term.ended.is_set():
            raise failures.NotLeader(leader=self._state.leader)
        index = self._state.commit_index
        started = self._state.now
        if self._has_lease(term, started):
            return index
        heartbeats = [
            asyncio.create_task(peer.confirm())
            for peer in self._leadership.peers.values()
        ]
        try:
            await self._wait_for_quorum(term, started)
        finally:
            for task in heartbeats:
                task.cancel()
        return index

    def _has_lease(self, term: leader_term.LeaderTerm, now: float) -> bool:
        # A suspended host resumes with an old clock, by which an expired lease
        # looks valid.  There, only heartbeats sent during the read count.
        if not self._state.parts.times.is_lease_trusted:
            return False
        return term.lease_until(self._state.membership, now) > now

    async def _wait_for_quorum(
        self, term: leader_term.LeaderTerm, started: float
    ) -> None:
        while True:
            if term.ended.is_set():
                raise failures.NotLeader(leader=self._state.leader)
            members = self._state.membership
            if term.quorum_acked_at(members, self._state.now) >= started:
                return
            term.responded.clear()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(self._state.parts.times.heartbeat):
                    await term.responded.wait()

    def _require_leading(self) -> leader_term.LeaderTerm:
        term = self._state.leader_term
        if term is None:
            raise failures.NotLeader(leader=self._state.leader)
        has_lost_quorum = term.has_lost_quorum(
            self._state.membership, self._state.now
        )
        if term.is_handing_over or has_lost_quorum:
            raise failures.NotLeader('leader is stepping down')
        return term

    def _require_size(self, command: bytes) -> None:
        """Reject a command that exceeds the size of a message."""
        # In the log it would be resent for ever and block all later entries.
        limit = self._state.parts.times.command_bytes
        if len(command) > limit:
            raise failures.CommandTooLarge(
                f'command has {len(command)} bytes, limit is {limit}'
            )

    def _require_capacity(self, term: leader_term.LeaderTerm) -> None:
        state = self._state
        if term.pending_proposals >= state.parts.times.pending_proposals:
            raise failures.TooManyProposals
        free_bytes = state.parts.files.free_bytes()
        if state.log.is_full or free_bytes < state.parts.times.reserve_bytes:
            raise failures.DiskFull(f'only {free_bytes} bytes are free')
        if not term.has_room(state.membership):
            raise failures.DiskFull('too few voters have free disk space')
