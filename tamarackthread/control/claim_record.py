"""Hold one claim and the changes of state that it allows."""

from __future__ import annotations

import collections.abc
import struct

import attrs

from tamarackthread.generated.messages import ttypes as messages
from tamarackthread.shared import wire

# What a packed record takes in memory beside its own bytes: its places in the
# table of keys and among the expiries, as ``make bench NAME=claims`` measures.
OVERHEAD_BYTES = 240
KEY_BYTES = 16
# Expiry, then the key padded to its length; the rest is a ``ClaimRecord``.
_PREFIX = struct.Struct(f'>qB{KEY_BYTES}s')
_LENGTH = struct.Struct('>I')

_State = messages.ClaimState
_OPEN = frozenset((_State.GRANTED, _State.RUNNING))
_UNDECIDED = frozenset((_State.GRANTED, _State.RUNNING, _State.UNKNOWN))


class Watcher:
    """Told of claims that change; this one does nothing with it."""

    def changed(self, key: bytes) -> None:
        """Notice that the claim of a key has changed."""


@attrs.define
class Record:
    """The claim of one key.

    ``move`` counts the hand-overs that were recorded; times are on the
    machine's clock.  A status of zero means that no answer is kept.
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
        """Tell whether a holder may still be at work on it."""
        return self.state in _OPEN

    def grant(
        self,
        ask: messages.ClaimRequest,
        fence: int,
        now_ms: int,
    ) -> None:
        """Give the claim to a holder under a new fence."""
        self.claim = ask.claim
        self.holder = ask.holder or ''
        self.keep_ms = max(self.keep_ms, ask.keep_ms)
        self.fence = fence
        self.state = _State.GRANTED
        self.handover = ask.handover
        self.move = 0
        self._extend(now_ms)

    def finish(
        self,
        ask: messages.ClaimFinish,
        now_ms: int,
        answer_room: int,
    ) -> bool:
        """Change the state if that is allowed; tell whether it holds now."""
        if ask.state == _State.RUNNING:
            return self._move(ask, now_ms)
        if ask.state == self.state:
            return True
        if ask.state == _State.UNKNOWN:
            return self._settle(ask, now_ms, self.is_open)
        if ask.state == _State.RELEASED:
            # The proof is about the hand-over that its giver has read.  If
            # the holder has moved on since, the proof says nothing of the
            # target where the call may be running now.
            proven = (ask.move or 0) == self.move
            return self._settle(ask, now_ms, proven)
        done = self._settle(ask, now_ms, ask.state == _State.COMPLETE)
        if done:
            self._keep_answer(ask, answer_room)
        return done

    def reply(self, granted: bool) -> messages.ClaimReply:
        """Tell what is known of the claim."""
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
        """Give the record as it is kept and as a snapshot holds it."""
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

    def _move(self, ask: messages.ClaimFinish, now_ms: int) -> bool:
        # A resent move can be applied after a newer one.  Taken by number,
        # it can't point the claim back at a target that was left, where a
        # probe would prove the wrong thing.
        move = ask.move or 0
        if not self.is_open or move < self.move:
            return False
        if move > self.move:
            self.move = move
            self.handover = ask.handover
            self.state = _State.RUNNING
            self._extend(now_ms)
        return True

    def _settle(
        self,
        ask: messages.ClaimFinish,
        now_ms: int,
        allowed: bool,
    ) -> bool:
        if not allowed or self.state not in _UNDECIDED:
            return False
        self.state = ask.state
        self._extend(now_ms)
        return True

    def _keep_answer(self, ask: messages.ClaimFinish, room: int) -> None:
        headers = tuple(ask.headers or ())
        body = ask.body or b''
        if not ask.status or len(body) + _size(headers) > room:
            return
        self.status = ask.status
        self.headers = headers
        self.body = body

    def _extend(self, now_ms: int) -> None:
        self.expires_ms = max(self.expires_ms, now_ms + self.keep_ms)


def unpack(packed: bytes) -> Record:
    """Read a record from its bytes."""
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
    """Read only the key of a record."""
    _, length, key = _PREFIX.unpack_from(packed)
    return key[:length]


def expiry_of(packed: bytes) -> int:
    """Read only the time at which a record expires."""
    return int(_PREFIX.unpack_from(packed)[0])


def size_of(packed: bytes) -> int:
    """Count the memory that a record takes."""
    return OVERHEAD_BYTES + len(packed)


def pack_snapshot(
    state: bytes, records: collections.abc.Iterable[bytes]
) -> bytes:
    """Build a snapshot from the machine's own state and its records."""
    parts = [_LENGTH.pack(len(state)), state]
    for packed in records:
        parts.append(_LENGTH.pack(len(packed)))
        parts.append(packed)
    return b''.join(parts)


def unpack_snapshot(data: bytes) -> tuple[bytes, list[bytes]]:
    """Read a snapshot's state and records."""
    parts = []
    place = 0
    while place < len(data):
        start = place + _LENGTH.size
        place = start + _LENGTH.unpack_from(data, place)[0]
        parts.append(data[start:place])
    return parts[0], parts[1:]


def _size(headers: tuple[messages.Header, ...]) -> int:
    return sum(len(header.name) + len(header.value) for header in headers)
