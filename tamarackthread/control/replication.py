"""Bring one other member up to the leader's log, and keep its heartbeat."""

from __future__ import annotations

import asyncio

from tamarackthread.control import failures, leader_term, membership, replica
from tamarackthread.generated.messages import ttypes as messages
from tamarackthread.shared import errors


class PeerReplicator:
    """Run a leader's two tasks for one other member during one term.

    Heartbeats have a task of their own: a batch of entries that waits for a
    slow disk must not make the member believe that its leader is gone.
    """

    def __init__(
        self, state: replica.Replica, term: leader_term.LeaderTerm, node: str
    ) -> None:
        """Begin behind the end of the leader's log."""
        self._state = state
        self._leader_term = term
        self._node = node
        # The entry that opened this term is sent first.  A member that lacks
        # what came before it says so, where a bare heartbeat would not.
        self._progress = leader_term.Progress(next_index=term.first_index)
        term.progress[node] = self._progress
        self._round = 0

    async def beat(self) -> None:
        """Send a heartbeat in each interval until cancelled."""
        times = self._state.parts.times
        while True:
            began = self._state.now
            await self._exchange(self._heartbeat(), times.heartbeat_timeout)
            spent = self._state.now - began
            await asyncio.sleep(max(0, times.heartbeat - spent))

    async def replicate(self) -> None:
        """Send entries or a snapshot whenever the member lacks some."""
        told = 0
        while True:
            if self._is_behind():
                await self._send_missing()
                continue
            commit = self._state.commit_index
            if told < commit:
                told = commit
                await self._exchange(
                    self._heartbeat(), self._state.parts.times.heartbeat_timeout
                )
                continue
            self._progress.wake.clear()
            await self._progress.wake.wait()

    async def release(self, campaign: bool) -> None:
        """Tell the member that the leader gives up its lease."""
        request = self._heartbeat()
        request.release_lease = True
        request.campaign = campaign
        await self._exchange(request, self._state.parts.times.heartbeat_timeout)

    async def confirm(self) -> None:
        """Send one heartbeat now, for a read that must be current."""
        await self._exchange(
            self._heartbeat(), self._state.parts.times.heartbeat_timeout
        )

    def _is_behind(self) -> bool:
        return self._progress.match_index < self._state.log.last_index

    async def _send_missing(self) -> None:
        sent = False
        if self._progress.next_index <= self._state.log.base_index:
            sent = await self._send_snapshot()
        else:
            sent = await self._exchange(
                self._entries(), self._state.parts.times.append_timeout
            )
        if not sent:
            await asyncio.sleep(self._state.parts.times.heartbeat)

    def _heartbeat(self) -> messages.AppendRequest:
        matched = self._progress.match_index
        term_at = self._state.log.term_at(matched)
        if term_at is None:
            matched = 0
        return self._request(matched, term_at or 0, [])

    def _entries(self) -> messages.AppendRequest:
        previous = self._progress.next_index - 1
        return self._request(
            previous,
            self._state.log.term_at(previous) or 0,
            self._state.log.batch(self._progress.next_index),
        )

    def _request(
        self,
        previous: int,
        previous_term: int,
        entries: list[messages.LogEntry],
    ) -> messages.AppendRequest:
        self._round += 1
        return messages.AppendRequest(
            group=self._state.parts.group,
            term=self._leader_term.term,
            leader=self._state.parts.node,
            previous_index=previous,
            previous_term=previous_term,
            entries=entries,
            commit_index=self._state.commit_index,
            round=self._round,
        )

    async def _exchange(
        self, request: messages.AppendRequest, timeout: float
    ) -> bool:
        """Send one request and learn from its reply; ``False`` if none."""
        # A heartbeat after the lease was given up would make the voters wait
        # again for a leader that is about to stop.
        if self._leader_term.is_released and not request.release_lease:
            return False
        sent_at = self._state.now
        try:
            reply = await self._state.parts.transport.call(
                self._node, messages.Request(append=request), timeout
            )
        except failures.DiskFull:
            self._progress.is_full = True
            return False
        except errors.CodedError:
            return False
        if reply.append is None or self._leader_term.ended.is_set():
            return False
        self._handle_reply(request, reply.append, sent_at)
        return True

    def _handle_reply(
        self,
        request: messages.AppendRequest,
        reply: messages.AppendReply,
        sent_at: float,
    ) -> None:
        if reply.term > self._leader_term.term:
            self._state.adopt_term(reply.term)
            return
        if reply.term != self._leader_term.term:
            return
        progress = self._progress
        progress.check_disk(reply.disk_id, reply.last_index)
        progress.acked_at = max(progress.acked_at, sent_at)
        self._leader_term.responded.set()
        if reply.success:
            self._advance(request, reply.last_index)
            return
        self._back_up(request, reply)

    def _advance(self, request: messages.AppendRequest, matched: int) -> None:
        progress = self._progress
        progress.match_index = max(progress.match_index, matched)
        progress.next_index = max(progress.next_index, matched + 1)
        if request.entries:
            progress.is_full = False
        self._state.advance_commit()

    def _back_up(
        self, request: messages.AppendRequest, reply: messages.AppendReply
    ) -> None:
        """Look further back for the place where the two logs agree."""
        progress = self._progress
        if not reply.conflict_index:
            return
        if request.previous_index == progress.match_index:
            progress.match_index = 0
        progress.next_index = max(
            1, min(reply.conflict_index, request.previous_index)
        )
        progress.wake.set()

    async def _send_snapshot(self) -> bool:
        """Send the newest snapshot in parts, beginning where it broke off."""
        meta = self._state.snapshots.meta
        offset = 0
        while self._state.snapshots.meta == meta:
            chunk = await self._state.snapshots.chunk(
                offset, self._state.parts.times.chunk_bytes
            )
            if self._state.snapshots.meta != meta:
                return True
            reply = await self._send_chunk(offset, chunk)
            if reply is None:
                return False
            if reply.installed:
                self._progress.next_index = meta.last_index + 1
                return True
            offset = reply.next_offset
        return True

    async def _send_chunk(
        self, offset: int, chunk: bytes
    ) -> messages.SnapshotReply | None:
        meta = self._state.snapshots.meta
        members = self._state.members.at(meta.last_index)
        request = messages.SnapshotRequest(
            group=self._state.parts.group,
            term=self._leader_term.term,
            leader=self._state.parts.node,
            last_index=meta.last_index,
            last_term=meta.last_term,
            offset=offset,
            total=meta.size,
            chunk=chunk,
            checksum=meta.checksum,
            voters=_nodes(members.voters),
            learners=_nodes(
                tuple(held for held in members.members if not held.voter)
            ),
        )
        try:
            reply = await self._state.parts.transport.call(
                self._node,
                messages.Request(snapshot=request),
                self._state.parts.times.append_timeout,
            )
        except errors.CodedError:
            return None
        answer = reply.snapshot
        if answer is None or self._leader_term.ended.is_set():
            return None
        if answer.term > self._leader_term.term:
            self._state.adopt_term(answer.term)
            return None
        return answer


def _nodes(members: tuple[membership.Member, ...]) -> list[str]:
    return [member.node for member in members]
