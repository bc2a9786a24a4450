"""Grant leases with fencing tokens; renewals are not replicated."""

from __future__ import annotations

import collections.abc
import copy

import attrs

from tamarackthread.generated.messages import ttypes as messages

MILLISECONDS = 1000
MIN_LEASE_MS = 100
MAX_LEASE_MS = 60_000


class LeaseTable:
    """Replicated table of the holder and fencing token of each lease."""

    def __init__(self) -> None:
        """Start empty."""
        self._records: dict[str, messages.LeaseRecord] = {}

    def get(self, name: str) -> messages.LeaseRecord | None:
        """Return the record of a lease, held or released."""
        return self._records.get(name)

    def apply(self, request: messages.LeaseRequest) -> messages.LeaseReply:
        """Grant or release a lease if ``request.fence`` is still current.

        Of two concurrent handovers one passes, as a grant increments the fence.
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
        """Return all records."""
        return list(self._records.values())

    def replace(
        self,
        records: collections.abc.Iterable[messages.LeaseRecord],
    ) -> None:
        """Replace all records by those of a snapshot."""
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
class _Expiry:
    """Expiry of a lease on the leader's clock, for one fencing token."""

    fence: int
    expires_at: float
    in_handover: bool = False


class LeaseManager:
    """Renew, grant and release leases as the leader."""

    def __init__(
        self,
        table: collections.abc.Callable[[], LeaseTable],
        propose: collections.abc.Callable[
            [messages.LeaseRequest],
            collections.abc.Awaitable[messages.LeaseReply],
        ],
        clock: collections.abc.Callable[[], float],
    ) -> None:
        """Commit with ``propose``; ``begin_term`` precedes any request.

        ``table`` returns the current table, which a snapshot may replace.
        """
        self._table = table
        self._propose = propose
        self._clock = clock
        self._expiries: dict[str, _Expiry] = {}

    def begin_term(self) -> None:
        """Extend every lease in full, since its last renewal is unknown."""
        # The leader before may have renewed any of them a moment ago; with a
        # shorter wait, two holders could act at once.
        now = self._clock()
        self._expiries = {
            record.name: _Expiry(record.fence, now + _seconds(record.lease_ms))
            for record in self._table().everything()
        }

    async def request(
        self,
        request: messages.LeaseRequest,
    ) -> messages.LeaseReply:
        """Renew, release or grant a lease, or return how long to wait."""
        record = self._table().get(request.name)
        if record is None:
            return await self._grant(record, request)
        expiry = self._expiry_of(record)
        is_holder = _is_holder(record, request)
        if request.release:
            return await self._release(record, request)
        if is_holder and not expiry.in_handover:
            return self._renew(record, expiry, request)
        remaining = expiry.expires_at - self._clock()
        if record.holder and remaining > 0:
            wait_ms = int(remaining * MILLISECONDS) + 1
            return reply_to(record, request, granted=False, wait_ms=wait_ms)
        return await self._grant(record, request)

    def _expiry_of(self, record: messages.LeaseRecord) -> _Expiry:
        expiry = self._expiries.get(record.name)
        if expiry is None or expiry.fence != record.fence:
            # The handover is committed but its reply is not processed yet;
            # the lease counts from now, which is later than granted.
            expires_at = self._clock() + _seconds(record.lease_ms)
            expiry = _Expiry(record.fence, expires_at)
            self._expiries[record.name] = expiry
        return expiry

    def _renew(
        self,
        record: messages.LeaseRecord,
        expiry: _Expiry,
        request: messages.LeaseRequest,
    ) -> messages.LeaseReply:
        # A new leader waits for the recorded duration only.
        lease_ms = min(_clamp_ms(request.lease_ms), record.lease_ms)
        expiry.expires_at = max(
            expiry.expires_at, self._clock() + _seconds(lease_ms)
        )
        reply = reply_to(record, request, granted=True)
        reply.lease_ms = lease_ms
        return reply

    async def _grant(
        self,
        record: messages.LeaseRecord | None,
        request: messages.LeaseRequest,
    ) -> messages.LeaseReply:
        proposal = messages.LeaseRequest(
            name=request.name,
            holder=request.holder,
            lease_ms=_clamp_ms(request.lease_ms),
            fence=0 if record is None else record.fence,
            release=False,
        )
        if record is not None:
            # The handover may commit even after an error, so the old holder
            # must not be renewed again.
            self._expiry_of(record).in_handover = True
        reply = await self._propose(proposal)
        current = self._table().get(request.name)
        if reply.granted and current and current.fence == reply.fence:
            expires_at = self._clock() + _seconds(reply.lease_ms)
            self._expiries[request.name] = _Expiry(reply.fence, expires_at)
        return reply

    async def _release(
        self,
        record: messages.LeaseRecord,
        request: messages.LeaseRequest,
    ) -> messages.LeaseReply:
        if not _is_holder(record, request):
            return reply_to(record, request, granted=False)
        self._expiry_of(record).in_handover = True
        return await self._propose(request)


def reply_to(
    record: messages.LeaseRecord | None,
    request: messages.LeaseRequest,
    granted: bool,
    wait_ms: int = 0,
) -> messages.LeaseReply:
    """Build a reply with the current state of a lease."""
    return messages.LeaseReply(
        granted=granted,
        fence=0 if record is None else record.fence,
        holder='' if record is None else record.holder,
        lease_ms=request.lease_ms if granted else 0,
        wait_ms=wait_ms,
    )


def _is_holder(
    record: messages.LeaseRecord,
    request: messages.LeaseRequest,
) -> bool:
    return bool(record.holder) and (
        record.holder == request.holder and record.fence == request.fence
    )


def _clamp_ms(lease_ms: int | None) -> int:
    return min(max(lease_ms or 0, MIN_LEASE_MS), MAX_LEASE_MS)


def _seconds(lease_ms: int) -> float:
    return lease_ms / MILLISECONDS
