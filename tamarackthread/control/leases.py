"""Grant leases with fencing numbers.

Who holds a lease and its fencing number are replicated; renewals are not.
The leader counts the time on its own clock, and a new leader gives every
holder a full lease first, because it cannot know the last renewal.
"""

from __future__ import annotations

import collections.abc
import copy

import attrs

from tamarackthread.generated.messages import ttypes as messages

MILLISECONDS = 1000
MIN_LEASE_MS = 100
MAX_LEASE_MS = 60_000


class LeaseTable:
    """Hold who has each lease; part of the replicated state."""

    def __init__(self) -> None:
        """Start with no leases."""
        self._records: dict[str, messages.LeaseRecord] = {}

    def get(self, name: str) -> messages.LeaseRecord | None:
        """Find the record of a lease, held or released."""
        return self._records.get(name)

    def apply(self, request: messages.LeaseRequest) -> messages.LeaseReply:
        """Hand a lease over if its fencing number is still the one given.

        The number grows by one for each new holder, and the comparison lets
        only one of two racing hand-overs through.
        """
        record = self._records.get(request.name)
        fence = 0 if record is None else record.fence
        if fence != request.fence:
            return reply_to(record, request, granted=False)
        if request.release:
            return self._release(record, request)
        record = messages.LeaseRecord(
            name=request.name,
            holder=request.holder,
            fence=fence + 1,
            lease_ms=request.lease_ms,
        )
        self._records[request.name] = record
        return reply_to(record, request, granted=True)

    def everything(self) -> list[messages.LeaseRecord]:
        """List all records."""
        return list(self._records.values())

    def replace(
        self,
        records: collections.abc.Iterable[messages.LeaseRecord],
    ) -> None:
        """Take the records of a snapshot."""
        self._records = {record.name: record for record in records}

    def _release(
        self,
        record: messages.LeaseRecord | None,
        request: messages.LeaseRequest,
    ) -> messages.LeaseReply:
        if record is None or record.holder != request.holder:
            return reply_to(record, request, granted=False)
        released = copy.copy(record)
        released.holder = ''
        self._records[record.name] = released
        return reply_to(released, request, granted=False)


@attrs.define
class _Term:
    """The end of a lease on the leader's clock, for one fencing number."""

    fence: int
    ends_at: float
    contested: bool = False


class LeaseManager:
    """Count lease times on the clock of the leader.

    ``propose`` commits a request to the table and gives the table's reply.
    """

    def __init__(
        self,
        table: collections.abc.Callable[[], LeaseTable],
        propose: collections.abc.Callable[
            [messages.LeaseRequest],
            collections.abc.Awaitable[messages.LeaseReply],
        ],
        clock: collections.abc.Callable[[], float],
    ) -> None:
        """Take the loop's clock; ``lead`` is called before any request.

        ``table`` gives the table of the moment: a snapshot replaces it.
        """
        self._table = table
        self._propose = propose
        self._clock = clock
        self._terms: dict[str, _Term] = {}

    def begin_term(self) -> None:
        """Give every holder a full lease from now on.

        The leader before may have renewed any of them a moment ago.  Shorter
        waits would let two holders act at once.
        """
        now = self._clock()
        self._terms = {
            record.name: _Term(record.fence, now + _seconds(record.lease_ms))
            for record in self._table().everything()
        }

    async def request(
        self,
        request: messages.LeaseRequest,
    ) -> messages.LeaseReply:
        """Renew, release or take over a lease, or say how long to wait."""
        record = self._table().get(request.name)
        if record is None:
            return await self._take(record, request)
        term = self._term(record)
        owns = _owns(record, request)
        if request.release:
            return await self._release(record, request)
        if owns and not term.contested:
            return self._renew(record, term, request)
        left = term.ends_at - self._clock()
        if record.holder and left > 0:
            wait_ms = int(left * MILLISECONDS) + 1
            return reply_to(record, request, granted=False, wait_ms=wait_ms)
        return await self._take(record, request)

    def _term(self, record: messages.LeaseRecord) -> _Term:
        term = self._terms.get(record.name)
        if term is None or term.fence != record.fence:
            # The hand-over was committed but its answer is not processed
            # yet, so that its time is not known here: count it from now.
            ends_at = self._clock() + _seconds(record.lease_ms)
            term = _Term(record.fence, ends_at)
            self._terms[record.name] = term
        return term

    def _renew(
        self,
        record: messages.LeaseRecord,
        term: _Term,
        request: messages.LeaseRequest,
    ) -> messages.LeaseReply:
        # Never longer than recorded: a new leader waits only that long.
        lease_ms = min(_bounded(request.lease_ms), record.lease_ms)
        term.ends_at = max(term.ends_at, self._clock() + _seconds(lease_ms))
        reply = reply_to(record, request, granted=True)
        reply.lease_ms = lease_ms
        return reply

    async def _take(
        self,
        record: messages.LeaseRecord | None,
        request: messages.LeaseRequest,
    ) -> messages.LeaseReply:
        wanted = messages.LeaseRequest(
            name=request.name,
            holder=request.holder,
            lease_ms=_bounded(request.lease_ms),
            fence=0 if record is None else record.fence,
            release=False,
        )
        if record is not None:
            # From here on the hand-over may be committed at any time, also
            # after a failed answer.  The old holder must not be renewed any
            # more, or both would hold the lease.
            self._term(record).contested = True
        reply = await self._propose(wanted)
        current = self._table().get(request.name)
        if reply.granted and current and current.fence == reply.fence:
            ends_at = self._clock() + _seconds(reply.lease_ms)
            self._terms[request.name] = _Term(reply.fence, ends_at)
        return reply

    async def _release(
        self,
        record: messages.LeaseRecord,
        request: messages.LeaseRequest,
    ) -> messages.LeaseReply:
        if not _owns(record, request):
            return reply_to(record, request, granted=False)
        self._term(record).contested = True
        return await self._propose(request)


def reply_to(
    record: messages.LeaseRecord | None,
    request: messages.LeaseRequest,
    granted: bool,
    wait_ms: int = 0,
) -> messages.LeaseReply:
    """Describe a lease as it stands."""
    return messages.LeaseReply(
        granted=granted,
        fence=0 if record is None else record.fence,
        holder='' if record is None else record.holder,
        lease_ms=request.lease_ms if granted else 0,
        wait_ms=wait_ms,
    )


def _owns(
    record: messages.LeaseRecord,
    request: messages.LeaseRequest,
) -> bool:
    return bool(record.holder) and (
        record.holder == request.holder and record.fence == request.fence
    )


def _bounded(lease_ms: int | None) -> int:
    return min(max(lease_ms or 0, MIN_LEASE_MS), MAX_LEASE_MS)


def _seconds(lease_ms: int) -> float:
    return lease_ms / MILLISECONDS
