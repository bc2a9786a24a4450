"""Hold the record of one claim and its state transitions."""

from __future__ import annotations

import collections.abc
import struct

import attrs

from tamarackthread.generated.messages import ttypes as messages
from tamarackthread.shared import wire

# Memory of a record beyond its bytes: its entries in the dictionary and heap.
OVERHEAD_BYTES = 240
KEY_BYTES = 16
# Expiry, key length and padded key; a ``ClaimRecord`` message follows.
_PREFIX = struct.Struct(f'>qB{KEY_BYTES}s')
_LENGTH = struct.Struct('>I')

_State = messages.ClaimState
_OPEN = frozenset((_State.GRANTED, _State.RUNNING))
_NOT_FINAL = frozenset((_State.GRANTED, _State.RUNNING, _State.UNKNOWN))


class Watcher:
    """Observer of changed claims; this base class ignores them."""

    def changed(self, key: bytes) -> None:
        """Handle a change of the claim of ``key``."""


@attrs.define
class Record:
    """The claim of one key, with times in milliseconds of the machine's clock.

    ``move`` numbers the last handover; ``status`` 0 means no stored response.
    """

    key: bytes
    digest: bytes
    claim: bytes = b''
    holder: str = ''
    fence: int = 0
    state: messages.ClaimState = _State.RELEASED
    expires_ms: int = 0
    keep_ms: int = 0
    move: int = 0
    handover: messages.Handover | None = None
    status: int = 0
    headers: tuple[messages.Header, ...] = ()
    body: bytes = b''

    @property
    def is_open(self) -> bool:
        """Return whether the holder may still be running the call."""
        return self.state in _OPEN

    def grant(
        self,
        request: messages.ClaimRequest,
        fence: int,
        now_ms: int,
    ) -> None:
        """Grant the claim to a holder under a new fencing token."""
        self.claim = request.claim
        self.holder = request.holder or ''
        self.keep_ms = max(self.keep_ms, request.keep_ms)
        self.fence = fence
        self.state = _State.GRANTED
        self.handover = request.handover
        self.move = 0
        self._extend(now_ms)

    def finish(
        self,
        request: messages.ClaimFinish,
        now_ms: int,
        free_bytes: int,
    ) -> bool:
        """Apply a transition if allowed; return whether the state holds."""
        if request.state == _State.RUNNING:
            return self._hand_over(request, now_ms)
        if request.state == self.state:
            return True
        if request.state == _State.UNKNOWN:
            return self._transition(request, now_ms, self.is_open)
        if request.state == _State.RELEASED:
            # The proof that nothing ran covers the target of one handover;
            # after a newer handover the call may run elsewhere.
            is_proven = (request.move or 0) == self.move
            return self._transition(request, now_ms, is_proven)
        done = self._transition(
            request, now_ms, request.state == _State.COMPLETE
        )
        if done:
            self._store_response(request, free_bytes)
        return done

    def reply(self, granted: bool) -> messages.ClaimReply:
        """Build a reply that describes the claim."""
        return messages.ClaimReply(
            granted=granted,
            known=True,
            state=self.state,
            fence=self.fence,
            status=self.status,
            headers=list(self.headers),
            body=self.body,
            mismatch=False,
            claim=self.claim,
            holder=self.holder,
            handover=self.handover,
            target=self.handover.target if self.handover else '',
            move=self.move,
        )

    def pack(self) -> bytes:
        """Serialise the record as held in memory and in snapshots."""
        message = messages.ClaimRecord(
            digest=self.digest,
            claim=self.claim,
            holder=self.holder,
            fence=self.fence,
            state=self.state,
            keep_ms=self.keep_ms,
            move=self.move,
            handover=self.handover,
            status=self.status,
            headers=list(self.headers),
            body=self.body,
        )
        prefix = _PREFIX.pack(self.expires_ms, len(self.key), self.key)
        return prefix + wire.encode(message)

    def _hand_over(self, request: messages.ClaimFinish, now_ms: int) -> bool:
        # Handovers are numbered: a retry applied late must not restore an
        # earlier target, where a probe would wrongly prove "not run".
        move = request.move or 0
        if not self.is_open or move < self.move:
            return False
        if move > self.move:
            self.move = move
            self.handover = request.handover
            self.state = _State.RUNNING
            self._extend(now_ms)
        return True

    def _transition(
        self,
        request: messages.ClaimFinish,
        now_ms: int,
        allowed: bool,
    ) -> bool:
        if not allowed or self.state not in _NOT_FINAL:
            return False
        self.state = request.state
        self._extend(now_ms)
        return True

    def _store_response(
        self, request: messages.ClaimFinish, free_bytes: int
    ) -> None:
        headers = tuple(request.headers or ())
        body = request.body or b''
        if (
            not request.status
            or len(body) + _headers_size(headers) > free_bytes
        ):
            return
        self.status = request.status
        self.headers = headers
        self.body = body

    def _extend(self, now_ms: int) -> None:
        self.expires_ms = max(self.expires_ms, now_ms + self.keep_ms)


def unpack(packed: bytes) -> Record:
    """Parse a packed record."""
    message = wire.decode(messages.ClaimRecord, packed[_PREFIX.size :])
    return Record(
        key=key_of(packed),
        digest=message.digest or b'',
        claim=message.claim or b'',
        holder=message.holder or '',
        fence=message.fence or 0,
        state=_State(message.state),
        expires_ms=expiry_of(packed),
        keep_ms=message.keep_ms or 0,
        move=message.move or 0,
        handover=message.handover,
        status=message.status or 0,
        headers=tuple(message.headers or ()),
        body=message.body or b'',
    )


def key_of(packed: bytes) -> bytes:
    """Return the key of a packed record without parsing the rest."""
    _, length, key = _PREFIX.unpack_from(packed)
    return key[:length]


def expiry_of(packed: bytes) -> int:
    """Return the expiry of a packed record without parsing the rest."""
    return int(_PREFIX.unpack_from(packed)[0])


def size_of(packed: bytes) -> int:
    """Return the memory that a packed record uses, in bytes."""
    return OVERHEAD_BYTES + len(packed)


def pack_snapshot(
    state: bytes, records: collections.abc.Iterable[bytes]
) -> bytes:
    """Serialise the machine's state and its packed records."""
    parts = [_LENGTH.pack(len(state)), state]
    for packed in records:
        parts.append(_LENGTH.pack(len(packed)))
        parts.append(packed)
    return b''.join(parts)


def unpack_snapshot(data: bytes) -> tuple[bytes, list[bytes]]:
    """Return the state and packed records of a snapshot."""
    parts = []
    offset = 0
    while offset < len(data):
        start = offset + _LENGTH.size
        offset = start + _LENGTH.unpack_from(data, offset)[0]
        parts.append(data[start:offset])
    return parts[0], parts[1:]


def _headers_size(headers: tuple[messages.Header, ...]) -> int:
    return sum(len(header.name) + len(header.value) for header in headers)
