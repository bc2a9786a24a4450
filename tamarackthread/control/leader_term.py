"""Track replication, lease and proposals during one term as leader."""

from __future__ import annotations

import asyncio
import math

import attrs

from tamarackthread.control import failures, membership, timing


@attrs.define(eq=False)
class Progress:
    """Replication progress of one peer, valid for its disk ``disk_id``.

    ``acked_at`` is the send time of the latest answered message, on the
    leader's clock.
    """

    next_index: int
    match_index: int = 0
    acked_at: float = -math.inf
    disk_id: bytes = b''
    is_full: bool = False
    wake: asyncio.Event = attrs.field(factory=asyncio.Event)

    def check_disk(self, disk_id: bytes, last_index: int) -> None:
        """Reset the progress if the peer answers from another disk."""
        if disk_id == self.disk_id:
            return
        # The first reply tells the disk; ``next_index`` is still valid then.
        if self.disk_id:
            self.next_index = last_index + 1
        self.disk_id = disk_id
        self.match_index = 0
        self.acked_at = -math.inf
        self.wake.set()


class LeaderTerm:
    """One term of a leader, from election to step-down."""

    def __init__(
        self,
        node: str,
        term: int,
        times: timing.Timing,
        first_index: int,
        now: float,
    ) -> None:
        """Start without a lease; peers have ``election_min`` to answer."""
        self._node = node
        self._term = term
        self._times = times
        self._first_index = first_index
        self._elected_at = now
        self._ended = asyncio.Event()
        self._responded = asyncio.Event()
        self._progress: dict[str, Progress] = {}
        self._is_handing_over = False
        self._is_released = False
        self._lease_promised_until = -math.inf
        self._proposals: dict[int, asyncio.Future[bytes]] = {}

    @property
    def term(self) -> int:
        """Return the term's number."""
        return self._term

    @property
    def first_index(self) -> int:
        """Return the index of the term's first entry."""
        return self._first_index

    @property
    def elected_at(self) -> float:
        """Return the loop time of the election."""
        return self._elected_at

    @property
    def ended(self) -> asyncio.Event:
        """Return an event that is set once the term has ended here."""
        return self._ended

    @property
    def responded(self) -> asyncio.Event:
        """Return an event that is set on each reply of a peer."""
        return self._responded

    @property
    def progress(self) -> dict[str, Progress]:
        """Return the replication progress by node."""
        return self._progress

    @property
    def is_handing_over(self) -> bool:
        """Return whether a handover has begun; the lease is not used then."""
        return self._is_handing_over

    @property
    def is_released(self) -> bool:
        """Return whether voters may elect a leader before the lease expires."""
        return self._is_released

    @property
    def lease_promised_until(self) -> float:
        """Return the latest expiry, in loop time, that
        ``Consensus.lease_remaining`` has returned; a handover waits for it.
        """
        return self._lease_promised_until

    @property
    def pending_proposals(self) -> int:
        """Return the number of uncommitted proposals."""
        return len(self._proposals)

    def begin_handover(self) -> None:
        """Stop using the lease and accepting proposals."""
        self._is_handing_over = True

    def release(self) -> None:
        """Release the leader lease; stops heartbeats, which would renew it."""
        self._is_released = True

    def end(self) -> None:
        """End the term; pending proposals fail with ``OutcomeUnknown``."""
        self._ended.set()
        for waiter in self._proposals.values():
            if not waiter.done():
                waiter.set_exception(failures.OutcomeUnknown())
        self._proposals = {}

    def add_proposal(self, index: int) -> asyncio.Future[bytes]:
        """Return a future for the machine's result at an index."""
        waiter = asyncio.get_running_loop().create_future()
        self._proposals[index] = waiter
        return waiter

    def complete_proposal(self, index: int, result: bytes) -> None:
        """Resolve a proposal with the machine's result."""
        waiter = self._proposals.pop(index, None)
        if waiter is not None and not waiter.done():
            waiter.set_result(result)

    def promise_lease(self, until: float) -> None:
        """Record an expiry that ``Consensus.lease_remaining`` returns."""
        self._lease_promised_until = max(self._lease_promised_until, until)

    def wake_peers(self) -> None:
        """Wake the replication task of every peer."""
        for progress in self._progress.values():
            progress.wake.set()

    def quorum_index(
        self, members: membership.Membership, durable_index: int
    ) -> int:
        """Return the highest index that a quorum has synced."""
        matched: dict[str, float] = {}
        for voter in members.voters:
            matched[voter.node] = self._matched_index(voter, durable_index)
        return int(members.quorum_value(matched)) if matched else 0

    def quorum_acked_at(
        self, members: membership.Membership, now: float
    ) -> float:
        """Return the send time of the newest messages a quorum answered."""
        acked: dict[str, float] = {}
        for voter in members.voters:
            acked[voter.node] = self._voter_acked_at(voter, now)
        return members.quorum_value(acked) if acked else -math.inf

    def lease_until(self, members: membership.Membership, now: float) -> float:
        """Return the expiry of the leader lease, in loop time."""
        # Voters reject candidates for ``election_min`` after a heartbeat; the
        # lease counts from its sending and is shorter than that by the drift.
        # Any later election needs one of these voters.
        if self._is_handing_over:
            return -math.inf
        return self.quorum_acked_at(members, now) + self._times.lease

    def has_lost_quorum(
        self, members: membership.Membership, now: float
    ) -> bool:
        """Return whether the leader must step down as its lease has expired."""
        # The lease expires before any other member can be elected.
        if now < self._elected_at + self._times.election_min:
            return False
        return self.quorum_acked_at(members, now) + self._times.lease <= now

    def has_room(self, members: membership.Membership) -> bool:
        """Return whether a quorum of disks has free space, by their replies."""
        has_space: dict[str, float] = {}
        for voter in members.voters:
            progress = self._progress.get(voter.node)
            has_space[voter.node] = (
                0 if progress is not None and progress.is_full else 1
            )
        return members.quorum_value(has_space) > 0

    def _matched_index(
        self, voter: membership.Member, durable_index: int
    ) -> int:
        if voter.node == self._node:
            return durable_index
        progress = self._progress.get(voter.node)
        # Acknowledgements of a wiped disk don't count for the voter: entries
        # would be committed on less than a quorum.
        if progress is None or progress.disk_id != voter.disk_id:
            return 0
        return progress.match_index

    def _voter_acked_at(self, voter: membership.Member, now: float) -> float:
        if voter.node == self._node:
            return now
        progress = self._progress.get(voter.node)
        if progress is None or progress.disk_id != voter.disk_id:
            return -math.inf
        return progress.acked_at
