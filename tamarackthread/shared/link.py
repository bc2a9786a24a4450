"""Multiplex requests, replies and streams over one authenticated connection;
heartbeats in both directions detect half-open connections.
"""

from __future__ import annotations

import abc
import asyncio
import collections.abc
import itertools
import logging
import struct

from tamarackthread.generated.messages import ttypes as messages
from tamarackthread.shared import (
    errors,
    faults,
    handshake,
    identity,
    replies,
    stream,
    wire,
)

READ_BYTES = 256 * 1024
HIGH_WATER_BYTES = 1024 * 1024
CLOCK_FORMAT = struct.Struct('>q')
MILLISECONDS = 1000
_log = logging.getLogger('tamarackthread.link')


class Handler(abc.ABC):
    """Callbacks of a role for the requests and streams of its peers."""

    @abc.abstractmethod
    async def on_request(
        self,
        link: Link,
        request: messages.Request,
    ) -> messages.Reply:
        """Return the reply; a raised coded error becomes a failure reply."""

    def on_notification(self, link: Link, request: messages.Request) -> None:
        """Handle a one-way message."""

    async def on_stream(
        self,
        link: Link,
        call: stream.Stream,
        opening: messages.OpenCall,
    ) -> None:
        """Serve a call opened by the peer."""
        call.cancel(errors.RequestUnsupported.code)

    def on_connected(self, link: Link) -> None:
        """Handle the start of a link."""

    def on_lost(self, link: Link) -> None:
        """Handle the loss of a link."""


class Link:
    """One connection to a peer process."""

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        options: identity.LinkOptions,
        peer: handshake.Peer,
        handler: Handler,
        dialer: bool,
    ) -> None:
        """Wrap a connection after its handshake."""
        self._reader = reader
        self._writer = writer
        self._options = options
        self._peer = peer
        self._handler = handler
        self._loop = asyncio.get_running_loop()
        self._numbers = itertools.count(1 if dialer else 2, 2)
        self._streams: dict[int, stream.Stream] = {}
        self._replies: dict[int, asyncio.Future[messages.Reply]] = {}
        self._pending_frames: list[bytes] = []
        self._flush_scheduled = False
        self._heartbeats_sent_at: dict[int, float] = {}
        self._last_received_at = self._loop.time()
        self._last_echoed_at = self._loop.time()
        self._peer_clock: tuple[int, float] | None = None
        self._closed = asyncio.Event()
        self._peer_closing = False
        self._tasks: set[asyncio.Task[None]] = set()
        self._frame_handlers = {
            wire.Kind.REQUEST: self._handle_request,
            wire.Kind.REPLY: self._handle_reply,
            wire.Kind.OPEN: self._handle_open,
            wire.Kind.HEARTBEAT: self._handle_heartbeat,
            wire.Kind.ECHO: self._handle_echo,
            wire.Kind.CLOSING: self._handle_closing,
        }
        writer.transport.set_write_buffer_limits(high=HIGH_WATER_BYTES)

    @property
    def peer(self) -> handshake.Peer:
        """Return the authenticated peer."""
        return self._peer

    @property
    def is_closed(self) -> bool:
        """Return whether the link is closed."""
        return self._closed.is_set()

    @property
    def peer_closing(self) -> bool:
        """Return whether the peer accepts no new streams."""
        return self._peer_closing

    @property
    def open_streams(self) -> int:
        """Return the number of streams that have not ended."""
        return len(self._streams)

    def start(self) -> None:
        """Start the reader and the heartbeats."""
        self.spawn(self._run_reader())
        self.spawn(self._send_heartbeats())
        self._handler.on_connected(self)

    def spawn(self, work: collections.abc.Coroutine[None, None, None]) -> None:
        """Run a task that is cancelled when the link closes."""
        task = self._loop.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._on_task_done)

    def is_alive(self, within_seconds: float) -> bool:
        """Return whether a heartbeat sent within this time was echoed."""
        age = self._loop.time() - self._last_echoed_at
        return not self.is_closed and age <= within_seconds

    def peer_clock_ms(self) -> int | None:
        """Return a lower bound of the time on the peer's loop clock; it lags by
        the latency of the last echo.  ``None`` before the first echo.
        """
        if self._peer_clock is None:
            return None
        reading, received_at = self._peer_clock
        return reading + int((self._loop.time() - received_at) * MILLISECONDS)

    async def request(
        self,
        request: messages.Request,
        timeout_seconds: float,
    ) -> messages.Reply:
        """Send a request and wait; raise its failure as a coded error."""
        if self.is_closed:
            raise errors.LinkLost(self._peer.node)
        payload = wire.encode(request)
        number = next(self._numbers)
        future = self._loop.create_future()
        self._replies[number] = future
        try:
            self.write(wire.Kind.REQUEST, payload, number)
            async with asyncio.timeout(timeout_seconds):
                reply = await future
        except TimeoutError as exc:
            raise errors.RequestTimeout(self._peer.node) from exc
        finally:
            self._replies.pop(number, None)
        if reply.failure is not None:
            replies.raise_failure(reply.failure)
        return reply

    def notify(self, request: messages.Request) -> None:
        """Send a one-way message."""
        if not self.is_closed:
            self.write(wire.Kind.REQUEST, wire.encode(request))

    def open(self, opening: messages.OpenCall) -> stream.Stream:
        """Open a stream for a call; raise ``LinkLost`` when closing."""
        if self.is_closed or self._peer_closing:
            raise errors.LinkLost(self._peer.node)
        number = next(self._numbers)
        call = stream.Stream(
            self,
            number,
            opening.call_id,
            self._options.window_bytes,
        )
        payload = wire.encode(opening)
        tag = stream.frame_tag(opening.call_id)
        self.write(wire.Kind.OPEN, payload, number, 0, tag)
        self._streams[number] = call
        return call

    def announce_closing(self) -> None:
        """Ask the peer to open no more streams on this link."""
        if not self.is_closed:
            self.write(wire.Kind.CLOSING)

    def write(
        self,
        kind: wire.Kind,
        payload: bytes = b'',
        stream: int = 0,
        sequence: int = 0,
        tag: int = 0,
    ) -> None:
        """Queue a frame; frames of one loop iteration share one write."""
        if self.is_closed:
            return
        self._pending_frames.append(
            wire.pack(kind, payload, stream, sequence, tag)
        )
        if not self._flush_scheduled:
            self._flush_scheduled = True
            self._loop.call_soon(self._flush)

    async def wait_writable(self) -> None:
        """Wait while the write buffer is over its high-water mark."""
        transport = self._writer.transport
        if transport.get_write_buffer_size() > HIGH_WATER_BYTES:
            try:
                await self._writer.drain()
            except OSError as exc:
                raise errors.LinkLost(str(exc)) from exc

    def remove_stream(self, stream: int) -> None:
        """Remove a stream that has ended."""
        self._streams.pop(stream, None)

    def close(self, reason: str = 'closed') -> None:
        """Close at once; pending requests and streams fail."""
        if self.is_closed:
            return
        self._flush()
        self._closed.set()
        self._fail_pending(errors.LinkLost(f'{self._peer.node}: {reason}'))
        for task in tuple(self._tasks):
            if task is not asyncio.current_task():
                task.cancel()
        self._writer.close()
        _log.debug('link: closed link to %s, %s', self._peer.node, reason)
        self._handler.on_lost(self)

    async def wait_closed(self) -> None:
        """Wait until the link is closed."""
        await self._closed.wait()

    def _fail_pending(self, lost: errors.LinkLost) -> None:
        for future in tuple(self._replies.values()):
            if not future.done():
                future.set_exception(lost)
        for call in tuple(self._streams.values()):
            call.fail(errors.StreamBroken(str(lost)))

    def _flush(self) -> None:
        self._flush_scheduled = False
        if self._pending_frames and not self.is_closed:
            self._writer.write(b''.join(self._pending_frames))
        self._pending_frames.clear()

    async def _send_heartbeats(self) -> None:
        for number in itertools.count():
            now = self._loop.time()
            if now - self._last_received_at > self._options.timeout_seconds:
                self.close('heartbeat timeout')
                return
            self._heartbeats_sent_at[number] = now
            self.write(wire.Kind.HEARTBEAT, stream=number)
            await asyncio.sleep(self._options.heartbeat_seconds)

    async def _run_reader(self) -> None:
        reason = 'closed by peer'
        try:
            await self._read_frames()
        except errors.CodedError as exc:
            reason = f'{exc.code} {exc}'
            _log.warning('link: dropped %s, %s', self._peer.node, reason)
        except OSError as exc:
            reason = str(exc)
        self.close(reason)

    async def _read_frames(self) -> None:
        buffered = b''
        while True:
            received = await self._reader.read(READ_BYTES)
            if not received:
                return
            self._last_received_at = self._loop.time()
            buffered = self._consume_frames(buffered + received)

    def _consume_frames(self, buffered: bytes) -> bytes:
        start = 0
        available = len(buffered)
        while available - start >= wire.HEADER_BYTES:
            payload_start = start + wire.HEADER_BYTES
            size, kind, number, sequence, tag = wire.unpack_header(
                buffered[start:payload_start],
            )
            end = payload_start + size
            if end > available:
                break
            payload = buffered[payload_start:end]
            self._dispatch(wire.Frame(kind, number, sequence, tag, payload))
            start = end
        return buffered[start:]

    def _dispatch(self, frame: wire.Frame) -> None:
        call = self._streams.get(frame.stream)
        if frame.kind in _STREAM_KINDS:
            if call is not None:
                call.accept(frame)
            return
        take = self._frame_handlers.get(frame.kind)
        if take is None:
            raise errors.FrameInvalid(f'{frame.kind.name} after the handshake')
        take(frame)

    def _handle_heartbeat(self, frame: wire.Frame) -> None:
        clock = CLOCK_FORMAT.pack(int(self._loop.time() * MILLISECONDS))
        self.write(wire.Kind.ECHO, clock, stream=frame.stream)

    def _handle_closing(self, frame: wire.Frame) -> None:
        self._peer_closing = True

    def _handle_echo(self, frame: wire.Frame) -> None:
        number = frame.stream
        if len(frame.payload) == CLOCK_FORMAT.size:
            reading = CLOCK_FORMAT.unpack(frame.payload)[0]
            self._peer_clock = (reading, self._loop.time())
        sent = self._heartbeats_sent_at.get(number)
        if sent is None:
            return
        self._last_echoed_at = max(self._last_echoed_at, sent)
        for older in tuple(self._heartbeats_sent_at):
            if older <= number:
                self._heartbeats_sent_at.pop(older)

    def _handle_request(self, frame: wire.Frame) -> None:
        request = wire.decode(messages.Request, frame.payload)
        if frame.stream:
            self.spawn(self._answer(frame.stream, request))
        else:
            self._handler.on_notification(self, request)

    async def _answer(self, number: int, request: messages.Request) -> None:
        reply = await self._reply_to(request)
        try:
            self.write(wire.Kind.REPLY, wire.encode(reply), number)
        except Exception as exc:
            # Without any reply the peer would wait for its timeout, and ask
            # again for the same.
            self._report_fault('can not send a reply to', exc)
            failure = replies.failure_reply(errors.PeerFailure('no reply'))
            self.write(wire.Kind.REPLY, wire.encode(failure), number)

    async def _reply_to(self, request: messages.Request) -> messages.Reply:
        try:
            return await self._handler.on_request(self, request)
        except errors.CodedError as exc:
            return replies.failure_reply(exc)
        except Exception as exc:
            self._report_fault('can not answer a request of', exc)
            return replies.failure_reply(errors.PeerFailure('internal fault'))

    def _report_fault(self, text: str, fault: BaseException | None) -> None:
        faults.report(faults.Part.LINK, f'{text} {self._peer.node}', fault)

    def _on_task_done(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if task.cancelled() or task.exception() is None:
            return
        # A link whose reader has ended would look alive to both ends.
        self._report_fault('a task ended for', task.exception())
        self.close('internal fault')

    def _handle_reply(self, frame: wire.Frame) -> None:
        future = self._replies.get(frame.stream)
        if future is not None and not future.done():
            future.set_result(wire.decode(messages.Reply, frame.payload))

    def _handle_open(self, frame: wire.Frame) -> None:
        opening = wire.decode(messages.OpenCall, frame.payload)
        if frame.stream in self._streams or not opening.call_id:
            raise errors.FrameInvalid('stream is open or has no call id')
        call = stream.Stream(
            self,
            frame.stream,
            opening.call_id,
            self._options.window_bytes,
        )
        self._streams[frame.stream] = call
        self.spawn(self._serve(call, opening))

    async def _serve(
        self,
        call: stream.Stream,
        opening: messages.OpenCall,
    ) -> None:
        try:
            await self._handler.on_stream(self, call, opening)
        except errors.CodedError as exc:
            call.cancel(exc.code)
        except Exception as exc:
            self._report_fault('can not serve a call of', exc)
            call.cancel(errors.StreamBroken.code)


_STREAM_KINDS = frozenset(
    (
        wire.Kind.HEAD,
        wire.Kind.DATA,
        wire.Kind.END,
        wire.Kind.CREDIT,
        wire.Kind.CANCEL,
    ),
)
