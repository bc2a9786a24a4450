"""Carry one call over a link with credit-based flow control."""

from __future__ import annotations

import asyncio
import collections
import struct
import typing

from tamarackthread.generated.messages import ttypes as messages
from tamarackthread.shared import errors, wire

CREDIT_FORMAT = struct.Struct('>I')
TAG_BYTES = 4
CHUNK_BYTES = 32 * 1024


class FrameSink(typing.Protocol):
    """Interface of the link that a stream uses."""

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
        """Wait while the write buffer is over its high-water mark."""

    def remove_stream(self, stream: int) -> None:
        """Remove a stream that has ended."""


def frame_tag(call_id: bytes) -> int:
    """Return the prefix of a call id that each of its frames carries."""
    return int.from_bytes(call_id[:TAG_BYTES], 'big')


class Stream:
    """One end of a call's stream.  A wrong tag or a gap in the sequence breaks
    it, so that no byte of another call gets into the response.
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
        self._tag = frame_tag(call_id)
        self._window = window_bytes
        self._credit = window_bytes
        self._unreturned_credit = 0
        self._sent_frames = 0
        self._received_frames = 0
        self._chunks: collections.deque[bytes] = collections.deque()
        self._head: messages.CallHead | None = None
        self._end: messages.CallEnd | None = None
        self._sent_end = False
        self._failure: errors.CodedError | None = None
        self._cancelled: str | None = None
        self._received = asyncio.Event()
        self._credit_added = asyncio.Event()

    @property
    def call_id(self) -> bytes:
        """Return the call id."""
        return self._call_id

    @property
    def end(self) -> messages.CallEnd | None:
        """Return the peer's end of the call, ``None`` until received."""
        return self._end

    @property
    def head(self) -> messages.CallHead | None:
        """Return the head of the response, ``None`` until received."""
        return self._head

    @property
    def cancelled(self) -> str | None:
        """Return the code of the peer's cancellation, if any."""
        return self._cancelled

    @property
    def failed(self) -> bool:
        """Return whether the stream broke or was cancelled."""
        return self._failure is not None

    async def send(self, payload: bytes) -> None:
        """Send bytes in chunks, each after the peer has granted credit."""
        for start in range(0, len(payload), CHUNK_BYTES):
            chunk = payload[start : start + CHUNK_BYTES]
            await self._acquire_credit(len(chunk))
            self._send_frame(wire.Kind.DATA, chunk)
        await self._sink.wait_writable()

    def send_head(self, head: messages.CallHead) -> None:
        """Send the head of a response."""
        self._send_frame(wire.Kind.HEAD, wire.encode(head))

    def finish(self, end: messages.CallEnd) -> None:
        """Send the end of this direction."""
        if self._sent_end or self.failed:
            return
        self._sent_end = True
        self._send_frame(wire.Kind.END, wire.encode(end))
        self._remove_if_ended()

    def cancel(self, code: str) -> None:
        """Cancel the call at the peer and close the stream."""
        if self.failed:
            return
        cancel = messages.CancelCall(call_id=self._call_id, code=code)
        self._send_frame(wire.Kind.CANCEL, wire.encode(cancel))
        self.fail(errors.StreamBroken(f'cancelled: {code}'))

    async def receive_head(self) -> messages.CallHead | None:
        """Wait for the head; ``None`` if the call ended without one."""
        while self._head is None and self._end is None:
            await self._wait_received()
        return self._head

    async def receive(self) -> bytes | None:
        """Wait for bytes, return all buffered; ``None`` at the end."""
        while not self._chunks:
            if self._end is not None:
                return None
            await self._wait_received()
        payload = b''.join(self._chunks)
        self._chunks.clear()
        self._return_credit(len(payload))
        return payload

    async def wait_failed(self) -> errors.CodedError:
        """Wait until the stream breaks or the peer cancels it."""
        while self._failure is None:
            self._received.clear()
            await self._received.wait()
        return self._failure

    def accept(self, frame: wire.Frame) -> None:
        """Handle a frame received for this stream."""
        if frame.kind == wire.Kind.CREDIT:
            self._add_credit(frame.payload)
            return
        if frame.tag != self._tag:
            self.fail(errors.StreamBroken('frame has the tag of another call'))
            return
        if frame.sequence < self._received_frames:
            return
        if frame.sequence > self._received_frames:
            self.fail(errors.StreamBroken('gap in the frame sequence'))
            return
        self._received_frames += 1
        self._apply_frame(frame)
        self._received.set()

    def fail(self, failure: errors.CodedError) -> None:
        """Break the stream; pending sends and receives raise ``failure``."""
        if self._failure is None:
            self._failure = failure
        self._sink.remove_stream(self._number)
        self._received.set()
        self._credit_added.set()

    def _add_credit(self, payload: bytes) -> None:
        if len(payload) != CREDIT_FORMAT.size:
            raise errors.FrameInvalid(f'credit payload of {len(payload)} bytes')
        self._credit += CREDIT_FORMAT.unpack(payload)[0]
        self._credit_added.set()

    def _apply_frame(self, frame: wire.Frame) -> None:
        if frame.kind == wire.Kind.DATA:
            self._chunks.append(frame.payload)
        elif frame.kind == wire.Kind.HEAD:
            self._head = wire.decode(messages.CallHead, frame.payload)
        elif frame.kind == wire.Kind.END:
            self._end = wire.decode(messages.CallEnd, frame.payload)
            self._remove_if_ended()
        elif frame.kind == wire.Kind.CANCEL:
            cancel = wire.decode(messages.CancelCall, frame.payload)
            self._cancelled = cancel.code or ''
            self.fail(errors.StreamBroken(f'peer cancelled: {cancel.code}'))

    def _remove_if_ended(self) -> None:
        if self._sent_end and self._end is not None:
            self._sink.remove_stream(self._number)

    def _send_frame(self, kind: wire.Kind, payload: bytes) -> None:
        self._sink.write(
            kind,
            payload,
            self._number,
            self._sent_frames,
            self._tag,
        )
        self._sent_frames += 1

    async def _wait_received(self) -> None:
        if self._failure is not None:
            raise self._failure
        self._received.clear()
        await self._received.wait()

    async def _acquire_credit(self, wanted: int) -> None:
        while self._credit < wanted and self._failure is None:
            self._credit_added.clear()
            await self._credit_added.wait()
        if self._failure is not None:
            raise self._failure
        self._credit -= wanted

    def _return_credit(self, consumed: int) -> None:
        # Credit is returned only for consumed bytes: a slow caller blocks only
        # its own stream, and at most one window is buffered.
        self._unreturned_credit += consumed
        if self._unreturned_credit * 4 < self._window or self.failed:
            return
        self._sink.write(
            wire.Kind.CREDIT,
            CREDIT_FORMAT.pack(self._unreturned_credit),
            self._number,
        )
        self._unreturned_credit = 0
