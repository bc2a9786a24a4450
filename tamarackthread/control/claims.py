"""Keep the claims of work that must not repeat, as a replicated machine.

A claim is granted once for a key, with a fence that grows with every grant.
It ends as complete, as unknown, or as released, which means proven not run
and lets the key be granted again under a higher fence.

Time is a clock of the machine's own, in milliseconds.  It moves on only by
the difference of two stamps in a row from one proposer, since the clocks of
two hosts have nothing in common: the clock may run late after a change of
leader, never fast, so no claim is forgotten before its keep time.

Records are kept as the bytes that a snapshot consists of.  As objects they
took twice the memory, and a snapshot of all of them held up heartbeats for
longer than a leader's lease.
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
    """Bound what one shard keeps; bytes are those of its records."""

    claims: int = MAX_CLAIMS
    record_bytes: int = MAX_BYTES
    answer_bytes: int = MAX_ANSWER_BYTES


# A proposer's clock that jumps further is broken; claims then end late.
MOST_PASSED_MS = 365 * 24 * 3_600_000


class ClaimsMachine(state_machine.StateMachine):
    """Hold one shard's claims."""

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
        """Give the machine's own time in milliseconds."""
        return self._clock_ms

    @property
    def record_bytes(self) -> int:
        """Give the bytes that the kept records count for."""
        return self._record_bytes

    def __len__(self) -> int:
        """Count the claims kept now."""
        return len(self._records)

    def watch(self, watcher: claim_record.Watcher) -> None:
        """Tell ``watcher`` of each claim that changes here."""
        self._watcher = watcher

    def apply(self, index: int, command: bytes) -> bytes:
        """Apply a batch of operations and give one reply for each."""
        try:
            batch = wire.decode(messages.ClaimCommand, command)
        except errors.FrameInvalid:
            return wire.encode(messages.ClaimResults(replies=[]))
        self._advance(batch.proposer or '', batch.stamp_ms or 0)
        self._forget_expired()
        replies = [
            self._operate(operation) for operation in batch.operations or ()
        ]
        return wire.encode(messages.ClaimResults(replies=replies))

    def lookup(self, key: bytes) -> messages.ClaimReply:
        """Tell what is known of a key without a write."""
        record = self._find(key)
        if record is None:
            return messages.ClaimReply(granted=False, known=False)
        return record.reply(granted=False)

    def snapshot(self) -> bytes:
        """Serialise all claims with the clock and the highest fence."""
        state = messages.ClaimSnapshot(
            clock_ms=self._clock_ms,
            proposer=self._proposer,
            stamp_ms=self._stamp_ms,
            fence=self._fence,
        )
        return claim_record.join(wire.encode(state), self._records.values())

    def restore(self, data: bytes) -> None:
        """Replace all claims by those of a snapshot; empty means none.

        Raises ``SnapshotUnreadable`` for data that is no such snapshot.
        """
        with state_machine.reading_snapshot():
            self._restore(data)

    def _restore(self, data: bytes) -> None:
        held = messages.ClaimSnapshot()
        packed: list[bytes] = []
        if data:
            state, packed = claim_record.split(data)
            held = wire.decode(messages.ClaimSnapshot, state)
        self._clock_ms = held.clock_ms or 0
        self._proposer = held.proposer or ''
        self._stamp_ms = held.stamp_ms or 0
        self._fence = held.fence or 0
        self._records = {claim_record.key_of(row): row for row in packed}
        self._record_bytes = sum(map(claim_record.size_of, packed))
        self._expiries = [
            (claim_record.expiry_of(row), key)
            for key, row in self._records.items()
        ]
        heapq.heapify(self._expiries)

    def _advance(self, proposer: str, stamp_ms: int) -> None:
        if proposer == self._proposer:
            passed = max(0, stamp_ms - self._stamp_ms)
            self._clock_ms += min(passed, MOST_PASSED_MS)
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

    def _forget_expired(self) -> None:
        while self._expiries and self._expiries[0][0] <= self._clock_ms:
            key = heapq.heappop(self._expiries)[1]
            packed = self._records[key]
            expires_ms = claim_record.expiry_of(packed)
            if expires_ms > self._clock_ms:
                heapq.heappush(self._expiries, (expires_ms, key))
                continue
            self._record_bytes -= claim_record.size_of(packed)
            self._records.pop(key)

    def _operate(
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

    def _claim(self, ask: messages.ClaimRequest) -> messages.ClaimReply:
        if not _is_valid(ask):
            return messages.ClaimReply(code=claim_errors.ClaimInvalid.code)
        record = self._find(ask.key)
        if record is None:
            return self._grant_first(ask)
        if record.digest != (ask.digest or b''):
            return messages.ClaimReply(
                granted=False,
                known=True,
                mismatch=True,
                code=claim_errors.ClaimKeyReused.code,
            )
        if record.state == _State.RELEASED:
            return self._grant(record, ask)
        # Whoever lost the answer to its own claim asks again under the same
        # identity and gets the same fence; nobody else ever does.
        is_own = record.claim == ask.claim and record.is_open
        return record.reply(granted=is_own)

    def _grant_first(self, ask: messages.ClaimRequest) -> messages.ClaimReply:
        used = self._record_bytes + claim_record.OVERHEAD_BYTES
        is_full = len(self._records) >= self._limits.claims
        if is_full or used > self._limits.record_bytes:
            return messages.ClaimReply(code=claim_errors.ClaimsFull.code)
        record = _Record(key=ask.key, digest=ask.digest or b'')
        reply = self._grant(record, ask)
        heapq.heappush(self._expiries, (record.expires_ms, record.key))
        return reply

    def _grant(
        self,
        record: _Record,
        ask: messages.ClaimRequest,
    ) -> messages.ClaimReply:
        self._fence += 1
        record.grant(ask, self._fence, self._clock_ms)
        self._store(record)
        return record.reply(granted=True)

    def _finish(self, ask: messages.ClaimFinish) -> messages.ClaimReply:
        record = self._find(ask.key)
        if record is None:
            return messages.ClaimReply(granted=False, known=False)
        if record.fence != ask.fence:
            return record.reply(granted=False)
        done = record.finish(ask, self._clock_ms, self._answer_room())
        if done:
            self._store(record)
        return record.reply(granted=done)

    def _answer_room(self) -> int:
        free = self._limits.record_bytes - self._record_bytes
        return max(0, min(free, self._limits.answer_bytes))


def _is_valid(ask: messages.ClaimRequest) -> bool:
    if not ask.claim or not 0 < len(ask.key or b'') <= claim_record.KEY_BYTES:
        return False
    keep_ms = ask.keep_ms or 0
    return claim_times.MIN_KEEP_MS <= keep_ms <= claim_times.MAX_KEEP_MS
