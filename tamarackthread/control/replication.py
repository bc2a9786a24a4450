"""Replicate the leader's log to one peer and send its heartbeats."""

from __future__ import annotations

import asyncio

from tamarackthread.control import failures, leader_term, membership, replica
from tamarackthread.generated.messages import ttypes as messages
from tamarackthread.shared import errors


class PeerReplicator:
    """Run the leader's two tasks for one peer during one term.

    Heartbeats have their own task, so that a batch delayed by a slow disk
    doesn't trigger an election.
    """

    def __init__(
        self, state: replica.Replica, term: leader_term.LeaderTerm, node: str
    ) -> None:
        """Start at the first entry of the leader's term."""
        self._state = state
        self._leader_term = term
        self._node = node
        # A peer that lacks earlier entries reports the conflict on an append,
        # but not on a heartbeat.
        self._progress = leader_term.Progress(next_index=term.first_index)
        term.progress[node] = self._progress
        self._round = 0

    async def send_heartbeats(self) -> None:
        """Send a heartbeat at each interval until cancelled."""
        times = self._state.parts.times
        while True:
            started = self._state.now
            await self._send(self._build_heartbeat(), times.heartbeat_timeout)
            elapsed = self._state.now - started
            await asyncio.sleep(max(0, times.heartbeat - elapsed))

    async def replicate(self) -> None:
        """Send missing entries, snapshots and commit indexes."""
        sent_commit = 0
        while True:
            if self._is_behind():
                await self._send_missing()
                continue
            commit = self._state.commit_index
            if sent_commit < commit:
                sent_commit = commit
                await self._send(
                    self._build_heartbeat(),
                    self._state.parts.times.heartbeat_timeout,
                )
                continue
            self._progress.wake.clear()
            await self._progress.wake.wait()

    async def release(self, campaign: bool) -> None:
        """Release the peer from the leader lease."""
        request = self._build_heartbeat()
        request.release_lease = True
        request.campaign = campaign
        await self._send(request, self._state.parts.times.heartbeat_timeout)

    async def confirm(self) -> None:
        """Send one heartbeat now, to confirm a linearizable read."""
        await self._send(
            self._build_heartbeat(), self._state.parts.times.heartbeat_timeout
        )

    def _is_behind(self) -> bool:
        return self._progress.match_index < self._state.log.last_index

    async def _send_missing(self) -> None:
        sent = False
        if self._progress.next_index <= self._state.log.base_index:
            sent = await self._send_snapshot()
        else:
            sent = await self._send(
                self._build_append(), self._state.parts.times.append_timeout
            )
        if not sent:
            await asyncio.sleep(self._state.parts.times.heartbeat)

    def _build_heartbeat(self) -> messages.AppendRequest:
        match_index = self._progress.match_index
        term_at = self._state.log.term_at(match_index)
        if term_at is None:
            match_index = 0
        return self._build_request(match_index, term_at or 0, [])

    def _build_append(self) -> messages.AppendRequest:
        previous = self._progress.next_index - 1
        return self._build_request(
            previous,
            self._state.log.term_at(previous) or 0,
            self._state.log.batch(self._progress.next_index),
        )

    def _build_request(
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

    async def _send(
        self, request: messages.AppendRequest, timeout: float
    ) -> bool:
        """Send one request and process the reply; return whether it came."""
        # A heartbeat after the release would renew the lease at the voters.
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
            self._record_success(request, reply.last_index)
            return
        self._backtrack(request, reply)

    def _record_success(
        self, request: messages.AppendRequest, match_index: int
    ) -> None:
        progress = self._progress
        progress.match_index = max(progress.match_index, match_index)
        progress.next_index = max(progress.next_index, match_index + 1)
        if request.entries:
            progress.is_full = False
        self._state.advance_commit()

    def _backtrack(
        self, request: messages.AppendRequest, reply: messages.AppendReply
    ) -> None:
        """Move the next index back to where the logs may match."""
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
        """Send the newest snapshot in chunks, resuming a partial transfer."""
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
                tuple(member for member in members.members if not member.voter)
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
        snapshot = reply.snapshot
        if snapshot is None or self._leader_term.ended.is_set():
            return None
        if snapshot.term > self._leader_term.term:
            self._state.adopt_term(snapshot.term)
            return None
        return snapshot


def _nodes(members: tuple[membership.Member, ...]) -> list[str]:
    return [member.node for member in members]
