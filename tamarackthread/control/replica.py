"""Hold the Raft state of one member, shared by the parts of the protocol."""

from __future__ import annotations

import asyncio
import collections.abc
import logging

from tamarackthread.control import (
    dependencies,
    election_timer,
    hard_state,
    leader_term,
    log,
    member_history,
    member_role,
    membership,
    segments,
    snapshots,
)
from tamarackthread.generated.messages import ttypes as messages
from tamarackthread.shared import log_events

_log = logging.getLogger('tamarackthread.control.replica')


class Replica:
    """The state of one member of a group.

    It changes on the event loop between awaits: after an await, callers must
    check the term again before acting on earlier reads.
    """

    def __init__(self, parts: dependencies.Dependencies) -> None:
        """Start empty until ``load``."""
        self._parts = parts
        self._hard = hard_state.HardState(parts.files)
        self._log = log.Log(
            segments.Segments(parts.files, parts.times.segment_bytes),
            parts.times,
            self.advance_commit,
        )
        self._snapshots = snapshots.SnapshotStore(parts.files)
        self._members = member_history.MemberHistory(parts)
        self._timer = election_timer.ElectionTimer(parts.times, parts.rng)
        self._role = member_role.MemberRole()
        self._leader_term: leader_term.LeaderTerm | None = None
        self._leader = ''
        self._commit_index = 0
        self._matched_index = 0
        self._committed = asyncio.Event()

    @property
    def parts(self) -> dependencies.Dependencies:
        """Return the parts that this member is built on."""
        return self._parts

    @property
    def hard(self) -> hard_state.HardState:
        """Return the persistent term and vote."""
        return self._hard

    @property
    def log(self) -> log.Log:
        """Return the log after the snapshot."""
        return self._log

    @property
    def snapshots(self) -> snapshots.SnapshotStore:
        """Return the snapshot store."""
        return self._snapshots

    @property
    def members(self) -> member_history.MemberHistory:
        """Return the membership by log index."""
        return self._members

    @property
    def membership(self) -> membership.Membership:
        """Return the newest membership."""
        return self._members.newest

    @property
    def timer(self) -> election_timer.ElectionTimer:
        """Return the election timer."""
        return self._timer

    @property
    def role(self) -> member_role.MemberRole:
        """Return the role: follower, candidate or leader."""
        return self._role

    @property
    def leader_term(self) -> leader_term.LeaderTerm | None:
        """Return the term that this member leads, ``None`` if it doesn't."""
        return self._leader_term

    @property
    def leader(self) -> str:
        """Return the node of the known leader, empty if none is known."""
        return self._leader

    @property
    def commit_index(self) -> int:
        """Return the index of the last entry known to be committed."""
        return self._commit_index

    @property
    def committed(self) -> asyncio.Event:
        """Return an event that is set when ``commit_index`` advances."""
        return self._committed

    @property
    def now(self) -> float:
        """Return the event loop's time, in seconds."""
        return asyncio.get_running_loop().time()

    @property
    def is_voter(self) -> bool:
        """Return whether this node with this disk is known to have a vote."""
        return self.membership.is_voter(self._parts.node, self._hard.disk_id)

    @property
    def has_spare_voter(self) -> bool:
        """Return whether more than ``min_voters`` vote, False if that is 0."""
        return 0 < self._parts.times.min_voters < len(self.membership.voters)

    @property
    def is_blank(self) -> bool:
        """Return whether this member has neither a term nor entries."""
        return self._hard.term == 0 and self._log.last_index == 0

    async def load(self) -> snapshots.Snapshot | None:
        """Load the state and return the snapshot; raises ``LogCorrupt``."""
        fresh_id = self._parts.rng.randbytes(hard_state.DISK_ID_BYTES)
        await self._hard.load(fresh_id)
        snapshot = await self._snapshots.load()
        meta = self._snapshots.meta
        members = snapshot.members if snapshot else membership.Membership()
        self._members.reset(meta.last_index, members, keep_later=False)
        self._commit_index = meta.last_index
        await self._log.load(meta.last_index, meta.last_term)
        for index in range(meta.last_index + 1, self._log.last_index + 1):
            self._members.record(self._log.entry(index))
        if self._log.last_term > self._hard.term:
            self._hard.advance(self._log.last_term)
        self._timer.start()
        return snapshot

    def append(
        self, entries: collections.abc.Sequence[messages.LogEntry]
    ) -> int:
        """Append entries; membership entries take effect at once."""
        ticket = self._log.append(entries)
        for entry in entries:
            self._members.record(entry)
        return ticket

    def append_own(self, kind: segments.Kind, command: bytes) -> int:
        """Append an entry of this term as the leader and return its index."""
        entry = messages.LogEntry(
            index=self._log.last_index + 1,
            term=self._hard.term,
            kind=kind,
            command=command,
        )
        self.append([entry])
        if self._leader_term is not None:
            self._leader_term.wake_peers()
        return entry.index

    def truncate(self, index: int) -> None:
        """Remove entries that conflict with the leader's log."""
        if index <= self._commit_index:
            raise RuntimeError(f'entry {index} is committed')
        self._log.truncate(index)
        self._members.truncate(index)

    def adopt_snapshot(self, snapshot: snapshots.Snapshot) -> None:
        """Continue from an installed snapshot."""
        index = snapshot.meta.last_index
        self._log.reset(index, snapshot.meta.last_term)
        keep_later = self._log.last_index > index
        self._members.reset(index, snapshot.members, keep_later=keep_later)
        self._commit_index = max(self._commit_index, index)

    def adopt_term(self, term: int) -> None:
        """Move to a newer term, stepping down from the older one."""
        if term <= self._hard.term:
            return
        self.step_down(f'term {term} is newer')
        self._leader = ''
        self._matched_index = 0
        self._hard.advance(term)

    def become_leader(self) -> leader_term.LeaderTerm:
        """Lead the term of the election just won."""
        self._role.move('win')
        self._leader = self._parts.node
        self._leader_term = leader_term.LeaderTerm(
            self._parts.node,
            self._hard.term,
            self._parts.times,
            self._log.last_index + 1,
            self.now,
        )
        self.append_own(segments.Kind.NOOP, b'')
        return self._leader_term

    def step_down(self, reason: str) -> None:
        """Become a follower."""
        if self._leader_term is not None:
            _log.warning(
                'consensus: %s no longer leads %s in term %d: %s',
                self._parts.node,
                self._parts.group,
                self._hard.term,
                reason,
            )
            self._leader = ''
            self._leader_term.end()
            self._leader_term = None
        self._role.move('follow')
        self._timer.reset()

    def follow(self, leader: str) -> None:
        """Follow the leader of this term and reset the election timer."""
        if self._role.state != member_role.FOLLOWER:
            self.step_down(f'{leader} was elected')
        self._leader = leader
        self._timer.record_contact()

    def lose_leader(self) -> None:
        """Forget the leader after the election timeout.

        A removed member gets no further messages from its leader, so that
        nothing else tells it that it has to rejoin.
        """
        if not self._leader or self._role.leads:
            return
        log_events.emit(
            _log,
            log_events.Event.LEADER_LOST,
            'consensus: %s no longer follows %s, leader of %s in term %d',
            self._parts.node,
            self._leader,
            self._parts.group,
            self._hard.term,
            group=self._parts.group,
            term=self._hard.term,
            leader=self._leader,
        )
        self._leader = ''

    def record_match(self, index: int) -> None:
        """Record that the log matches this term's leader up to an index."""
        self._matched_index = max(self._matched_index, index)

    def commit(self, index: int) -> None:
        """Advance the commit index, at most to the matched index."""
        # Entries after the match may differ from the leader's.
        index = min(index, self._matched_index)
        if index > self._commit_index:
            self._commit_index = index
            self._committed.set()

    def advance_commit(self) -> None:
        """Commit, as the leader, what a quorum has synced."""
        if self._leader_term is None:
            return
        index = self._leader_term.quorum_index(
            self.membership, self._log.durable_index
        )
        # An entry of an older term can be overwritten even on a quorum; it is
        # committed only along with an entry of the leader's own term.
        if index <= self._commit_index:
            return
        if self._log.term_at(index) != self._hard.term:
            return
        self._commit_index = index
        self._committed.set()
        self._leader_term.wake_peers()
