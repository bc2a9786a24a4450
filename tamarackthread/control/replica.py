"""Hold the state of one member that the parts of the log's protocol share."""

from __future__ import annotations

import asyncio
import collections.abc
import logging
import math
import random

import attrs

from tamarackthread.control import (
    disk,
    hard_state,
    log,
    membership,
    reign,
    role,
    segments,
    snapshots,
    timing,
)
from tamarackthread.control import machine as machines
from tamarackthread.control import transport as transports
from tamarackthread.generated.messages import ttypes as messages

_log = logging.getLogger('tamarackthread.control.replica')


@attrs.frozen(eq=False)
class Parts:
    """Be what a replica is built on."""

    group: str
    node: str
    machine: machines.Machine
    files: disk.Disk
    transport: transports.Transport
    times: timing.Timing
    rng: random.Random
    bootstrap: collections.abc.Mapping[str, str]


class Replica:
    """Be one member's view of its group.

    Everything here changes on the event loop between two awaits.  Whoever
    awaits must look again at the term before acting on what it saw before.
    """

    def __init__(self, parts: Parts) -> None:
        """Hold nothing until ``load``."""
        self.parts = parts
        self.hard = hard_state.HardState(parts.files)
        self.log = log.Log(
            segments.Segments(parts.files, parts.times.segment_bytes),
            parts.times,
            self._on_synced,
        )
        self.snapshots = snapshots.SnapshotStore(parts.files)
        self.role = role.Role()
        self.reign: reign.Reign | None = None
        self.leader = ''
        self.heard_at = -math.inf
        self.election_at = math.inf
        self.commit_index = 0
        self.committed = asyncio.Event()
        self._verified_index = 0
        self._history: list[tuple[int, membership.Membership]] = []

    @property
    def now(self) -> float:
        """Read the event loop's clock, in seconds."""
        return asyncio.get_running_loop().time()

    @property
    def membership(self) -> membership.Membership:
        """Return the newest members in the log, committed or not."""
        return self._history[-1][1]

    @property
    def membership_index(self) -> int:
        """Return the index that the newest members were written at."""
        return self._history[-1][0]

    @property
    def is_voter(self) -> bool:
        """Say whether this node on this disk has a vote, as it knows."""
        return self.membership.is_voter(self.parts.node, self.hard.disk_id)

    @property
    def is_blank(self) -> bool:
        """Say whether this member has never held anything of the group."""
        return self.hard.term == 0 and self.log.last_index == 0

    def members_at(self, index: int) -> membership.Membership:
        """Return the members in force at an index still held."""
        chosen = self._history[0][1]
        for since, members in self._history:
            if since <= index:
                chosen = members
        return chosen

    async def load(self) -> snapshots.Snapshot | None:
        """Read the disk; raise ``LogCorrupt`` with the place of bad bytes."""
        await self.hard.load(self.parts.rng.randbytes(hard_state.DISK_ID_BYTES))
        snapshot = await self.snapshots.load()
        meta = self.snapshots.meta
        members = snapshot.members if snapshot else membership.Membership()
        self._history = [(meta.last_index, members)]
        self.commit_index = meta.last_index
        await self.log.load(meta.last_index, meta.last_term)
        for index in range(meta.last_index + 1, self.log.last_index + 1):
            self._note_members(self.log.entry(index))
        if self.log.last_term > self.hard.term:
            self.hard.advance(self.log.last_term)
        # A voter that has restarted can't know whether it heard a leader a
        # moment ago.  Voting at once would break that leader's lease; waiting
        # as if it had heard one just now keeps every lease it may support.
        self.heard_at = self.now
        self.put_off_election()
        self._learn_addresses()
        return snapshot

    def append(
        self, entries: collections.abc.Sequence[messages.LogEntry]
    ) -> int:
        """Add entries to the log; members in them are in force at once."""
        ticket = self.log.append(entries)
        for entry in entries:
            self._note_members(entry)
        return ticket

    def append_own(self, kind: segments.Kind, command: bytes) -> int:
        """As leader, add an entry of this term and return its index."""
        entry = messages.LogEntry(
            index=self.log.last_index + 1,
            term=self.hard.term,
            kind=kind,
            command=command,
        )
        self.append([entry])
        if self.reign is not None:
            self.reign.wake_all()
        return entry.index

    def truncate(self, index: int) -> None:
        """Void entries that another leader's log doesn't have."""
        if index <= self.commit_index:
            raise RuntimeError(f'entry {index} is committed')
        self.log.truncate(index)
        while len(self._history) > 1 and self._history[-1][0] >= index:
            self._history.pop()

    def adopt_snapshot(self, snapshot: snapshots.Snapshot) -> None:
        """Continue from a snapshot that was received and lasts."""
        meta = snapshot.meta
        self.log.reset(meta.last_index, meta.last_term)
        later = [row for row in self._history if row[0] > meta.last_index]
        if self.log.last_index == meta.last_index:
            later = []
        self._history = [(meta.last_index, snapshot.members), *later]
        self._learn_addresses()

    def adopt_term(self, term: int, vote: str = '') -> None:
        """Move to a newer term, giving up what was held in the older one."""
        if term > self.hard.term:
            self.step_down(f'term {term} has begun')
            self.leader = ''
            self._verified_index = 0
        self.hard.advance(term, vote)

    def step_down(self, why: str) -> None:
        """Become a follower."""
        if self.role.leads:
            _log.warning(
                'consensus: %s no longer leads %s in term %d: %s',
                self.parts.node,
                self.parts.group,
                self.hard.term,
                why,
            )
            self.leader = ''
        if self.reign is not None:
            self.reign.end()
            self.reign = None
        self.role.move('follow')
        self.put_off_election()

    def hear(self, leader: str) -> None:
        """Note that the leader of this term has just spoken."""
        if self.role.state != role.FOLLOWER:
            self.step_down(f'{leader} leads')
        self.leader = leader
        self.heard_at = self.now
        self.put_off_election()

    def put_off_election(self) -> None:
        """Wait a random time from now before standing for election."""
        times = self.parts.times
        wait = self.parts.rng.uniform(times.election_min, times.election_max)
        self.election_at = self.now + wait

    def verify(self, index: int) -> None:
        """Note that the log agrees with this term's leader up to an index."""
        self._verified_index = max(self._verified_index, index)

    def commit(self, index: int) -> None:
        """Commit up to an index, no further than the leader's log is known.

        A late message may tell a member whose log was lost, or differs, a
        commit index that its own entries have nothing to do with.
        """
        index = min(index, self._verified_index)
        if index > self.commit_index:
            self.commit_index = index
            self.committed.set()

    def lead_commit(self) -> None:
        """As leader, commit what a quorum holds on disk."""
        if self.reign is None:
            return
        index = self.reign.quorum_index(self.membership, self.log.durable_index)
        # An entry of an older term may be on a quorum and still be replaced;
        # only an entry of the leader's own term commits those before it.
        if index <= self.commit_index:
            return
        if self.log.term_at(index) != self.hard.term:
            return
        self.commit_index = index
        self.committed.set()
        self.reign.wake_all()

    def forget_history(self, index: int) -> None:
        """Drop members that were replaced at or before an index."""
        while len(self._history) > 1 and self._history[1][0] <= index:
            self._history.pop(0)

    def _on_synced(self) -> None:
        self.lead_commit()

    def _note_members(self, entry: messages.LogEntry) -> None:
        if entry.kind != segments.Kind.MEMBERS:
            return
        self._history.append((entry.index, membership.decode(entry.command)))
        self._learn_addresses()

    def _learn_addresses(self) -> None:
        for node, address in self.parts.bootstrap.items():
            self.parts.transport.learn(node, address)
        for member in self.membership.members:
            self.parts.transport.learn(member.node, member.address)
