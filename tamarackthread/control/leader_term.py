"""Hold what a leader knows during one term: progress, lease, proposals."""

from __future__ import annotations

import asyncio
import math

import attrs

from tamarackthread.control import failures, membership, timing


@attrs.define(eq=False)
class Progress:
    """How far one other member has got, as the leader has heard.

    ``acked_at`` is when the newest answered message was sent, by the leader's
    own clock; ``disk_id`` is the disk that all this is true of.
    """

    next_index: int
    match_index: int = 0
    acked_at: float = -math.inf
    disk_id: bytes = b''
    is_full: bool = False
    wake: asyncio.Event = attrs.field(factory=asyncio.Event)

    def check_disk(self, disk_id: bytes, last_index: int) -> None:
        """Begin again if the member answers from another disk."""
        if disk_id == self.disk_id:
            return
        if self.disk_id:
            self.next_index = last_index + 1
        self.disk_id = disk_id
        self.match_index = 0
        self.acked_at = -math.inf
        self.wake.set()


class LeaderTerm:
    """A leader's term, from its election until it steps down."""

    def __init__(
        self,
        node: str,
        term: int,
        times: timing.Timing,
        first_index: int,
        now: float,
    ) -> None:
        """Begin without a lease; there is time for a first answered round."""
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
        """Return the term that is led."""
        return self._term

    @property
    def first_index(self) -> int:
        """Return the index of the term's first entry."""
        return self._first_index

    @property
    def elected_at(self) -> float:
        """Return when this member was elected, in loop time."""
        return self._elected_at

    @property
    def ended(self) -> asyncio.Event:
        """Return an event set when this member leads the term no longer."""
        return self._ended

    @property
    def responded(self) -> asyncio.Event:
        """Return an event set whenever a member has answered."""
        return self._responded

    @property
    def progress(self) -> dict[str, Progress]:
        """Return how far each other member has got."""
        return self._progress

    @property
    def is_handing_over(self) -> bool:
        """Say whether the term is about to end; there is no lease then."""
        return self._is_handing_over

    @property
    def is_released(self) -> bool:
        """Say whether voters were told that they need not wait."""
        return self._is_released

    @property
    def lease_promised_until(self) -> float:
        """Return the latest lease end that somebody was told, loop time."""
        return self._lease_promised_until

    @property
    def pending_proposals(self) -> int:
        """Return how many proposals wait for their commit."""
        return len(self._proposals)

    def begin_handover(self) -> None:
        """Use no lease and take no proposals from now on."""
        self._is_handing_over = True

    def release(self) -> None:
        """Send no heartbeat from now on, which voters would wait after."""
        self._is_released = True

    def end(self) -> None:
        """End the term; what was proposed and not seen committed is open."""
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
        """Give a proposer the machine's result."""
        waiter = self._proposals.pop(index, None)
        if waiter is not None and not waiter.done():
            waiter.set_result(result)

    def promise_lease(self, until: float) -> None:
        """Remember that somebody counts on no other leader until then."""
        self._lease_promised_until = max(self._lease_promised_until, until)

    def wake_peers(self) -> None:
        """Have every peer's task look for something to send."""
        for progress in self._progress.values():
            progress.wake.set()

    def quorum_index(
        self, members: membership.Membership, own_durable: int
    ) -> int:
        """Return the index up to which a quorum has synced the log."""
        reached: dict[str, float] = {}
        for voter in members.voters:
            reached[voter.node] = self._matched_index(voter, own_durable)
        return int(members.quorum_value(reached)) if reached else 0

    def quorum_acked_at(
        self, members: membership.Membership, now: float
    ) -> float:
        """Return a time since which a quorum has answered a message."""
        heard: dict[str, float] = {}
        for voter in members.voters:
            heard[voter.node] = self._acked_at(voter, now)
        return members.quorum_value(heard) if heard else -math.inf

    def lease_until(self, members: membership.Membership, now: float) -> float:
        """Return when the lease ends, in loop time.

        A quorum answered messages sent since the returned time less the
        lease, and voters refuse to vote for ``election_min`` after hearing a
        leader.  Any later election needs one of them, so none can end before.
        The lease is shorter by the clocks' possible drift.
        """
        if self._is_handing_over:
            return -math.inf
        return self.quorum_acked_at(members, now) + self._times.lease

    def has_lost_quorum(
        self, members: membership.Membership, now: float
    ) -> bool:
        """Say whether the leader must step down for want of a quorum.

        It does so when its lease ends: an isolated leader must know that it
        leads no longer before another can be elected.
        """
        if now < self._elected_at + self._times.election_min:
            return False
        return self.quorum_acked_at(members, now) + self._times.lease <= now

    def has_room(self, members: membership.Membership) -> bool:
        """Say whether a quorum of disks takes entries, by their answers."""
        room: dict[str, float] = {}
        for voter in members.voters:
            held = self._progress.get(voter.node)
            room[voter.node] = 0 if held is not None and held.is_full else 1
        return members.quorum_value(room) > 0

    def _matched_index(self, voter: membership.Member, own_durable: int) -> int:
        if voter.node == self._node:
            return own_durable
        held = self._progress.get(voter.node)
        # A wiped disk's acknowledgements are not the voter's.  Counting them
        # would commit entries on fewer disks than the quorum was meant to
        # have, and the next loss would lose an accepted change.
        if held is None or held.disk_id != voter.disk_id:
            return 0
        return held.match_index

    def _acked_at(self, voter: membership.Member, now: float) -> float:
        if voter.node == self._node:
            return now
        held = self._progress.get(voter.node)
        if held is None or held.disk_id != voter.disk_id:
            return -math.inf
        return held.acked_at
