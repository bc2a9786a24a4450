"""Replicated state machine of claims for calls that must run at most once.

A key is granted once, with a growing fencing token; only a released claim,
proven not run, is granted again.  Records stay packed, so that snapshots of
many records don't block heartbeats.
"""

from __future__ import annotations

import heapq

import attrs

from tamarackthread.control import claim_record, state_machine
from tamarackthread.generated.messages import ttypes as messages
from tamarackthread.shared import claim_errors, claim_times, errors, wire

MAX_CLAIMS = 100_000
MAX_BYTES = 48 * 1024 * 1024
MAX_ANSWER_BYTES = 16 * 1024

_Record = claim_record.Record
_State = messages.ClaimState


@attrs.frozen
class Limits:
    """Limits of one shard: its claims, record bytes and response bytes."""

    claims: int = MAX_CLAIMS
    record_bytes: int = MAX_BYTES
    answer_bytes: int = MAX_ANSWER_BYTES


# Bounds a jump of a faulty proposer's clock; claims then expire late.
MAX_CLOCK_STEP_MS = 365 * 24 * 3_600_000


class ClaimsMachine(state_machine.StateMachine):
    """Hold one shard's claims.

    The clock advances by differences between consecutive stamps of the same
    proposer: it may lag after a leader change but never expires claims early.
    """

    def __init__(self, limits: Limits | None = None) -> None:
        """Start empty."""
        self._limits = limits or Limits()
        self._records: dict[bytes, bytes] = {}
        self._expiries: list[tuple[int, bytes]] = []
        self._clock_ms = 0
        self._proposer = ''
        self._stamp_ms = 0
        self._fence = 0
        self._record_bytes = 0
        self._watcher: claim_record.Watcher = claim_record.Watcher()

    @property
    def clock_ms(self) -> int:
        """Return the machine's clock in milliseconds."""
        return self._clock_ms

    @property
    def record_bytes(self) -> int:
        """Return the memory that the records use, in bytes."""
        return self._record_bytes

    def __len__(self) -> int:
        """Return the number of claims."""
        return len(self._records)

    def watch(self, watcher: claim_record.Watcher) -> None:
        """Notify ``watcher`` of each changed claim."""
        self._watcher = watcher

    def apply(self, index: int, command: bytes) -> bytes:
        """Apply a batch of operations; return one reply for each."""
        try:
            batch = wire.decode(messages.ClaimCommand, command)
        except errors.FrameInvalid:
            return wire.encode(messages.ClaimResults(replies=[]))
        self._advance(batch.proposer or '', batch.stamp_ms or 0)
        self._evict_expired()
        replies = [
            self._execute(operation) for operation in batch.operations or ()
        ]
        return wire.encode(messages.ClaimResults(replies=replies))

    def lookup(self, key: bytes) -> messages.ClaimReply:
        """Return the state of a key without a write."""
        record = self._find(key)
        if record is None:
            return messages.ClaimReply(granted=False, known=False)
        return record.reply(granted=False)

    def snapshot(self) -> bytes:
        """Serialise all claims, the clock and the highest fencing token."""
        state = messages.ClaimSnapshot(
            clock_ms=self._clock_ms,
            proposer=self._proposer,
            stamp_ms=self._stamp_ms,
            fence=self._fence,
        )
        return claim_record.pack_snapshot(
            wire.encode(state), self._records.values()
        )

    def restore(self, data: bytes) -> None:
        """Replace all claims by those of a snapshot; empty data means none.

        Raises ``SnapshotUnreadable`` for malformed data.
        """
        with state_machine.reading_snapshot():
            self._restore(data)

    def _restore(self, data: bytes) -> None:
        stored = messages.ClaimSnapshot()
        packed: list[bytes] = []
        if data:
            state, packed = claim_record.unpack_snapshot(data)
            stored = wire.decode(messages.ClaimSnapshot, state)
        self._clock_ms = stored.clock_ms or 0
        self._proposer = stored.proposer or ''
        self._stamp_ms = stored.stamp_ms or 0
        self._fence = stored.fence or 0
        self._records = {claim_record.key_of(row): row for row in packed}
        self._record_bytes = sum(map(claim_record.size_of, packed))
        self._expiries = [
            (claim_record.expiry_of(row), key)
            for key, row in self._records.items()
        ]
        heapq.heapify(self._expiries)

    def _advance(self, proposer: str, stamp_ms: int) -> None:
        if proposer == self._proposer:
            elapsed = max(0, stamp_ms - self._stamp_ms)
            self._clock_ms += min(elapsed, MAX_CLOCK_STEP_MS)
            self._stamp_ms = max(self._stamp_ms, stamp_ms)
            return
        self._proposer = proposer
        self._stamp_ms = stamp_ms

    def _find(self, key: bytes) -> _Record | None:
        packed = self._records.get(key)
        return None if packed is None else claim_record.unpack(packed)

    def _store(self, record: _Record) -> None:
        packed = record.pack()
        old = self._records.get(record.key)
        if old is not None:
            self._record_bytes -= claim_record.size_of(old)
        self._record_bytes += claim_record.size_of(packed)
        self._records[record.key] = packed
        self._watcher.changed(record.key)

    def _evict_expired(self) -> None:
        while self._expiries and self._expiries[0][0] <= self._clock_ms:
            key = heapq.heappop(self._expiries)[1]
            packed = self._records[key]
            expires_ms = claim_record.expiry_of(packed)
            if expires_ms > self._clock_ms:
                heapq.heappush(self._expiries, (expires_ms, key))
                continue
            self._record_bytes -= claim_record.size_of(packed)
            self._records.pop(key)

    def _execute(
        self,
        operation: messages.ClaimOperation,
    ) -> messages.ClaimReply:
        if operation.claim is not None:
            return self._claim(operation.claim)
        if operation.finish is not None:
            return self._finish(operation.finish)
        if operation.lookup is not None:
            return self.lookup(operation.lookup.key)
        return messages.ClaimReply(code=claim_errors.ClaimInvalid.code)

    def _claim(self, request: messages.ClaimRequest) -> messages.ClaimReply:
        if not _is_valid(request):
            return messages.ClaimReply(code=claim_errors.ClaimInvalid.code)
        record = self._find(request.key)
        if record is None:
            return self._grant_first(request)
        if record.digest != (request.digest or b''):
            return messages.ClaimReply(
                granted=False,
                known=True,
                mismatch=True,
                code=claim_errors.ClaimKeyReused.code,
            )
        if record.state == _State.RELEASED:
            return self._grant(record, request)
        # A retry by the holder, under the same claim id, gets the same fence.
        is_holder = record.claim == request.claim and record.is_open
        return record.reply(granted=is_holder)

    def _grant_first(
        self, request: messages.ClaimRequest
    ) -> messages.ClaimReply:
        bytes_needed = self._record_bytes + claim_record.OVERHEAD_BYTES
        is_full = len(self._records) >= self._limits.claims
        if is_full or bytes_needed > self._limits.record_bytes:
            return messages.ClaimReply(code=claim_errors.ClaimsFull.code)
        record = _Record(key=request.key, digest=request.digest or b'')
        reply = self._grant(record, request)
        heapq.heappush(self._expiries, (record.expires_ms, record.key))
        return reply

    def _grant(
        self,
        record: _Record,
        request: messages.ClaimRequest,
    ) -> messages.ClaimReply:
        self._fence += 1
        record.grant(request, self._fence, self._clock_ms)
        self._store(record)
        return record.reply(granted=True)

    def _finish(self, request: messages.ClaimFinish) -> messages.ClaimReply:
        record = self._find(request.key)
        if record is None:
            return messages.ClaimReply(granted=False, known=False)
        if record.fence != request.fence:
            return record.reply(granted=False)
        is_applied = record.finish(
            request, self._clock_ms, self._response_bytes_left()
        )
        if is_applied:
            self._store(record)
        return record.reply(granted=is_applied)

    def _response_bytes_left(self) -> int:
        free = self._limits.record_bytes - self._record_bytes
        return max(0, min(free, self._limits.answer_bytes))


def _is_valid(request: messages.ClaimRequest) -> bool:
    if (
        not request.claim
        or not 0 < len(request.key or b'') <= claim_record.KEY_BYTES
    ):
        return False
    keep_ms = request.keep_ms or 0
    return claim_times.MIN_TTL_MS <= keep_ms <= claim_times.MAX_TTL_MS
