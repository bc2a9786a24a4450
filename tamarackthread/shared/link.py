"""Hold one authenticated connection between two processes.

Requests, replies and many streams share the connection.  Heartbeats run in
both directions, because a connection that something on the way has lost
track of stays open in TCP's eyes and swallows whatever is sent.
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
    handshake,
    identity,
    replies,
    stream,
    wire,
)

READ_BYTES = 256 * 1024
HIGH_WATER_BYTES = 1024 * 1024
CLOCK = struct.Struct('>q')
MILLISECONDS = 1000
_log = logging.getLogger('tamarackthread.link')


class Handler(abc.ABC):
    """What a role does with the requests and streams of its peers."""

    @abc.abstractmethod
    async def on_request(
        self,
        link: Link,
        request: messages.Request,
    ) -> messages.Reply:
        """Answer a request; a coded error becomes a failure reply."""

    def on_notification(self, link: Link, request: messages.Request) -> None:
        """Take a message that wants no reply."""

    async def on_stream(
        self,
        link: Link,
        call: stream.Stream,
        opening: messages.OpenCall,
    ) -> None:
        """Serve a call that the peer opened."""
        call.cancel(errors.RequestUnsupported.code)

    def on_connected(self, link: Link) -> None:
        """Notice a new link."""

    def on_lost(self, link: Link) -> None:
        """Notice that a link is gone."""


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
        """Take over a connection on which both sides have greeted."""
        self._reader = reader
        self._writer = writer
        self._options = options
        self._peer = peer
        self._handler = handler
        self._loop = asyncio.get_running_loop()
        self._numbers = itertools.count(1 if dialer else 2, 2)
        self._streams: dict[int, stream.Stream] = {}
        self._replies: dict[int, asyncio.Future[messages.Reply]] = {}
        self._out: list[bytes] = []
        self._flush_planned = False
        self._beats: dict[int, float] = {}
        self._last_heard = self._loop.time()
        self._last_echo = self._loop.time()
        self._peer_clock: tuple[int, float] | None = None
        self._closed = asyncio.Event()
        self._peer_closing = False
        self._tasks: set[asyncio.Task[None]] = set()
        self._takers = {
            wire.Kind.REQUEST: self._take_request,
            wire.Kind.REPLY: self._take_reply,
            wire.Kind.OPEN: self._take_open,
            wire.Kind.HEARTBEAT: self._take_heartbeat,
            wire.Kind.ECHO: self._take_echo,
            wire.Kind.CLOSING: self._take_closing,
        }
        writer.transport.set_write_buffer_limits(high=HIGH_WATER_BYTES)

    @property
    def peer(self) -> handshake.Peer:
        """Tell who is on the other side."""
        return self._peer

    @property
    def is_closed(self) -> bool:
        """Tell whether the link is gone."""
        return self._closed.is_set()

    @property
    def peer_closing(self) -> bool:
        """Tell whether the peer asked that nothing new be opened."""
        return self._peer_closing

    @property
    def open_streams(self) -> int:
        """Count the streams that have not ended."""
        return len(self._streams)

    def start(self) -> None:
        """Start reading and beating."""
        self.spawn(self._read())
        self.spawn(self._beat())
        self._handler.on_connected(self)

    def spawn(self, work: collections.abc.Coroutine[None, None, None]) -> None:
        """Run work that ends with the link."""
        task = self._loop.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def is_alive(self, within_seconds: float) -> bool:
        """Tell whether the peer echoed a heartbeat sent so recently."""
        age = self._loop.time() - self._last_echo
        return not self.is_closed and age <= within_seconds

    def peer_clock_ms(self) -> int | None:
        """Give the time on the peer's loop clock, never later than it is.

        It is the reading that the peer's latest echo carried plus the time
        since that echo came, so it lags by the echo's way here.  ``None``
        before the first echo.
        """
        if self._peer_clock is None:
            return None
        reading, came_at = self._peer_clock
        return reading + int((self._loop.time() - came_at) * MILLISECONDS)

    async def request(
        self,
        request: messages.Request,
        timeout_seconds: float,
    ) -> messages.Reply:
        """Ask the peer and wait; raise its failure as a coded error."""
        if self.is_closed:
            raise errors.LinkLost(self._peer.node)
        number = next(self._numbers)
        waiter = self._loop.create_future()
        self._replies[number] = waiter
        self.write(wire.Kind.REQUEST, wire.encode(request), number)
        try:
            async with asyncio.timeout(timeout_seconds):
                reply = await waiter
        except TimeoutError as exc:
            raise errors.RequestTimeout(self._peer.node) from exc
        finally:
            self._replies.pop(number, None)
        if reply.failure is not None:
            replies.raise_failure(reply.failure)
        return reply

    def notify(self, request: messages.Request) -> None:
        """Tell the peer something that wants no reply."""
        if not self.is_closed:
            self.write(wire.Kind.REQUEST, wire.encode(request))

    def open(self, opening: messages.OpenCall) -> stream.Stream:
        """Open a call on the peer."""
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
        tag = stream.tag_of(opening.call_id)
        self.write(wire.Kind.OPEN, payload, number, 0, tag)
        self._streams[number] = call
        return call

    def announce_closing(self) -> None:
        """Ask the peer to open nothing more on this link."""
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
        """Queue a frame; all frames of one loop turn leave in one write."""
        if self.is_closed:
            return
        self._out.append(wire.pack(kind, payload, stream, sequence, tag))
        if not self._flush_planned:
            self._flush_planned = True
            self._loop.call_soon(self._flush)

    async def wait_writable(self) -> None:
        """Wait while the connection's buffer is over its high mark."""
        transport = self._writer.transport
        if transport.get_write_buffer_size() > HIGH_WATER_BYTES:
            try:
                await self._writer.drain()
            except OSError as exc:
                raise errors.LinkLost(str(exc)) from exc

    def remove_stream(self, stream: int) -> None:
        """Drop a stream that has ended."""
        self._streams.pop(stream, None)

    def close(self, reason: str = 'closed') -> None:
        """Close at once; whoever waits on the link learns that it is lost."""
        if self.is_closed:
            return
        self._flush()
        self._closed.set()
        self._fail_waiters(errors.LinkLost(f'{self._peer.node}: {reason}'))
        for task in tuple(self._tasks):
            if task is not asyncio.current_task():
                task.cancel()
        self._writer.close()
        _log.debug('link: %s is gone, %s', self._peer.node, reason)
        self._handler.on_lost(self)

    async def wait_closed(self) -> None:
        """Wait until the link is gone."""
        await self._closed.wait()

    def _fail_waiters(self, lost: errors.LinkLost) -> None:
        for waiter in tuple(self._replies.values()):
            if not waiter.done():
                waiter.set_exception(lost)
        for call in tuple(self._streams.values()):
            call.fail(errors.StreamBroken(str(lost)))

    def _flush(self) -> None:
        self._flush_planned = False
        if self._out and not self.is_closed:
            self._writer.write(b''.join(self._out))
        self._out.clear()

    async def _beat(self) -> None:
        for number in itertools.count():
            now = self._loop.time()
            if now - self._last_heard > self._options.timeout_seconds:
                self.close('silent')
                return
            self._beats[number] = now
            self.write(wire.Kind.HEARTBEAT, stream=number)
            await asyncio.sleep(self._options.heartbeat_seconds)

    async def _read(self) -> None:
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
            self._last_heard = self._loop.time()
            buffered = self._take_frames(buffered + received)

    def _take_frames(self, buffered: bytes) -> bytes:
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
            self._take(wire.Frame(kind, number, sequence, tag, payload))
            start = end
        return buffered[start:]

    def _take(self, frame: wire.Frame) -> None:
        call = self._streams.get(frame.stream)
        if frame.kind in _STREAM_KINDS:
            if call is not None:
                call.accept(frame)
            return
        take = self._takers.get(frame.kind)
        if take is None:
            raise errors.FrameInvalid(f'{frame.kind.name} after greeting')
        take(frame)

    def _take_heartbeat(self, frame: wire.Frame) -> None:
        clock = CLOCK.pack(int(self._loop.time() * MILLISECONDS))
        self.write(wire.Kind.ECHO, clock, stream=frame.stream)

    def _take_closing(self, frame: wire.Frame) -> None:
        self._peer_closing = True

    def _take_echo(self, frame: wire.Frame) -> None:
        number = frame.stream
        if len(frame.payload) == CLOCK.size:
            reading = CLOCK.unpack(frame.payload)[0]
            self._peer_clock = (reading, self._loop.time())
        sent = self._beats.get(number)
        if sent is None:
            return
        self._last_echo = max(self._last_echo, sent)
        for older in tuple(self._beats):
            if older <= number:
                self._beats.pop(older)

    def _take_request(self, frame: wire.Frame) -> None:
        request = wire.decode(messages.Request, frame.payload)
        if frame.stream:
            self.spawn(self._answer(frame.stream, request))
        else:
            self._handler.on_notification(self, request)

    async def _answer(self, number: int, request: messages.Request) -> None:
        try:
            reply = await self._handler.on_request(self, request)
        except errors.CodedError as exc:
            reply = replies.failure_reply(exc)
        except Exception:
            _log.exception('link: request of %s failed', self._peer.node)
            reply = replies.failure_reply(errors.PeerFailure('internal fault'))
        self.write(wire.Kind.REPLY, wire.encode(reply), number)

    def _take_reply(self, frame: wire.Frame) -> None:
        waiter = self._replies.get(frame.stream)
        if waiter is not None and not waiter.done():
            waiter.set_result(wire.decode(messages.Reply, frame.payload))

    def _take_open(self, frame: wire.Frame) -> None:
        opening = wire.decode(messages.OpenCall, frame.payload)
        if frame.stream in self._streams or not opening.call_id:
            raise errors.FrameInvalid('stream is open already')
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
        except Exception:
            _log.exception('link: call of %s failed', self._peer.node)
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
