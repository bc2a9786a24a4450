"""Carry one call's bytes over a link, with credit in each direction."""

from __future__ import annotations

import asyncio
import collections
import struct
import typing

from tamarackthread.generated.messages import ttypes as messages
from tamarackthread.shared import errors, wire

CREDIT = struct.Struct('>I')
TAG_BYTES = 4
CHUNK_BYTES = 32 * 1024


class FrameSink(typing.Protocol):
    """What a stream needs of its link."""

    def write(
        self,
        kind: wire.Kind,
        payload: bytes = b'',
        stream: int = 0,
        sequence: int = 0,
        tag: int = 0,
    ) -> None:
        """Queue one frame."""

    async def wait_writable(self) -> None:
        """Wait until the connection takes more bytes."""

    def remove_stream(self, stream: int) -> None:
        """Drop a stream that has ended."""


def tag_of(call_id: bytes) -> int:
    """Take the part of a call's identity that each of its frames repeats."""
    return int.from_bytes(call_id[:TAG_BYTES], 'big')


class Stream:
    """One call on a link, as seen by one of its two ends.

    Every frame carries the call's tag and a sequence number.  A frame of
    another call or one that came twice would otherwise put someone else's
    tokens into an answer; here a wrong tag or a gap breaks the stream
    visibly and a repeated frame is dropped, so no byte is ever taken from
    another call.
    """

    def __init__(
        self,
        sink: FrameSink,
        number: int,
        call_id: bytes,
        window_bytes: int,
    ) -> None:
        """Start with a full window in each direction."""
        self._sink = sink
        self._number = number
        self._call_id = call_id
        self._tag = tag_of(call_id)
        self._window = window_bytes
        self._credit = window_bytes
        self._owed = 0
        self._sent_frames = 0
        self._received_frames = 0
        self._chunks: collections.deque[bytes] = collections.deque()
        self._head: messages.CallHead | None = None
        self._end: messages.CallEnd | None = None
        self._sent_end = False
        self._failure: errors.CodedError | None = None
        self._cancelled: str | None = None
        self._wakeup = asyncio.Event()
        self._credit_wakeup = asyncio.Event()

    @property
    def call_id(self) -> bytes:
        """Give the identity of the call."""
        return self._call_id

    @property
    def end(self) -> messages.CallEnd | None:
        """Give the peer's end of the call once it has arrived."""
        return self._end

    @property
    def head(self) -> messages.CallHead | None:
        """Give the peer's head of the answer once it has arrived."""
        return self._head

    @property
    def cancelled(self) -> str | None:
        """Give the code with which the peer cancelled, if it did."""
        return self._cancelled

    @property
    def failed(self) -> bool:
        """Tell whether the stream broke or was cancelled."""
        return self._failure is not None

    async def send(self, payload: bytes) -> None:
        """Send bytes, waiting while the peer's reader is slow."""
        for start in range(0, len(payload), CHUNK_BYTES):
            chunk = payload[start : start + CHUNK_BYTES]
            await self._take_credit(len(chunk))
            self._frame(wire.Kind.DATA, chunk)
        await self._sink.wait_writable()

    def send_head(self, head: messages.CallHead) -> None:
        """Send the head of an answer."""
        self._frame(wire.Kind.HEAD, wire.encode(head))

    def finish(self, end: messages.CallEnd) -> None:
        """Send the end of this direction; nothing can follow it."""
        if self._sent_end or self.failed:
            return
        self._sent_end = True
        self._frame(wire.Kind.END, wire.encode(end))
        self._forget_when_over()

    def cancel(self, code: str) -> None:
        """Tell the peer to stop work on the call and drop the stream."""
        if self.failed:
            return
        cancel = messages.CancelCall(call_id=self._call_id, code=code)
        self._frame(wire.Kind.CANCEL, wire.encode(cancel))
        self.fail(errors.StreamBroken(f'cancelled: {code}'))

    async def receive_head(self) -> messages.CallHead | None:
        """Wait for the head; ``None`` when the call ended without one."""
        while self._head is None and self._end is None:
            await self._wait()
        return self._head

    async def receive(self) -> bytes | None:
        """Wait for bytes and take all that have come; ``None`` at the end."""
        while not self._chunks:
            if self._end is not None:
                return None
            await self._wait()
        payload = b''.join(self._chunks)
        self._chunks.clear()
        self._return_credit(len(payload))
        return payload

    async def wait_failed(self) -> errors.CodedError:
        """Wait until the stream breaks or the peer cancels it."""
        while self._failure is None:
            self._wakeup.clear()
            await self._wakeup.wait()
        return self._failure

    def accept(self, frame: wire.Frame) -> None:
        """Take a frame that the link read for this stream."""
        if frame.kind == wire.Kind.CREDIT:
            self._take_credit_frame(frame.payload)
            return
        if frame.tag != self._tag:
            self.fail(errors.StreamBroken('frame of another call'))
            return
        if frame.sequence < self._received_frames:
            return
        if frame.sequence > self._received_frames:
            self.fail(errors.StreamBroken('frames are missing'))
            return
        self._received_frames += 1
        self._take(frame)
        self._wakeup.set()

    def fail(self, failure: errors.CodedError) -> None:
        """Break the stream for whoever waits on it."""
        if self._failure is None:
            self._failure = failure
        self._sink.remove_stream(self._number)
        self._wakeup.set()
        self._credit_wakeup.set()

    def _take_credit_frame(self, payload: bytes) -> None:
        if len(payload) != CREDIT.size:
            raise errors.FrameInvalid(f'credit of {len(payload)} bytes')
        self._credit += CREDIT.unpack(payload)[0]
        self._credit_wakeup.set()

    def _take(self, frame: wire.Frame) -> None:
        if frame.kind == wire.Kind.DATA:
            self._chunks.append(frame.payload)
        elif frame.kind == wire.Kind.HEAD:
            self._head = wire.decode(messages.CallHead, frame.payload)
        elif frame.kind == wire.Kind.END:
            self._end = wire.decode(messages.CallEnd, frame.payload)
            self._forget_when_over()
        elif frame.kind == wire.Kind.CANCEL:
            cancel = wire.decode(messages.CancelCall, frame.payload)
            self._cancelled = cancel.code or ''
            self.fail(errors.StreamBroken(f'peer cancelled: {cancel.code}'))

    def _forget_when_over(self) -> None:
        if self._sent_end and self._end is not None:
            self._sink.remove_stream(self._number)

    def _frame(self, kind: wire.Kind, payload: bytes) -> None:
        self._sink.write(
            kind,
            payload,
            self._number,
            self._sent_frames,
            self._tag,
        )
        self._sent_frames += 1

    async def _wait(self) -> None:
        if self._failure is not None:
            raise self._failure
        self._wakeup.clear()
        await self._wakeup.wait()

    async def _take_credit(self, wanted: int) -> None:
        while self._credit < wanted and self._failure is None:
            self._credit_wakeup.clear()
            await self._credit_wakeup.wait()
        if self._failure is not None:
            raise self._failure
        self._credit -= wanted

    def _return_credit(self, taken: int) -> None:
        # Credit is returned only for bytes that the reader took, so a slow
        # caller holds back its own stream and memory stays within a window.
        self._owed += taken
        if self._owed * 4 < self._window or self.failed:
            return
        self._sink.write(
            wire.Kind.CREDIT,
            CREDIT.pack(self._owed),
            self._number,
        )
        self._owed = 0
