"""Split a stream of server-sent events and count whole events, after which a
broken stream can be resumed.
"""

from __future__ import annotations

from tamarackthread.generated.messages import ttypes as messages
from tamarackthread.shared import errors

MAX_EVENT_BYTES = 4 * 1024 * 1024
SEPARATOR = b'\n\n'
DONE = b'data: [DONE]'


class EventTooLarge(errors.CodedError):
    """Engine sent an event over the limit."""

    code = 'TT1010'
    status = 502
    ran = messages.Ran.MAY_HAVE_RUN


class EventSplitter:
    """Buffer bytes and return whole server-sent events."""

    def __init__(self) -> None:
        """Start with an empty buffer."""
        self._buffer = b''
        self._pending_cr = b''
        self._count = 0
        self._done = False

    @property
    def count(self) -> int:
        """Return the number of events returned, without the final ``[DONE]``."""
        return self._count

    @property
    def done(self) -> bool:
        """Return whether the final ``[DONE]`` was received."""
        return self._done

    @property
    def rest(self) -> bytes:
        """Return the buffered bytes of an incomplete event."""
        return self._buffer + self._pending_cr

    def feed(self, received: bytes) -> bytes:
        """Add bytes and return whole events, however the bytes were split;
        raise ``EventTooLarge`` if an event exceeds the limit.
        """
        buffered = self._buffer + self._normalise(received)
        *events, rest = buffered.split(SEPARATOR)
        self._store(rest)
        whole = bytearray()
        for event in events:
            text = event.strip(b'\n')
            if not text:
                continue
            whole += text + SEPARATOR
            self._count_event(text)
        return bytes(whole)

    def _normalise(self, received: bytes) -> bytes:
        """Convert CRLF to LF, including a pair that was split between chunks."""
        received = self._pending_cr + received
        self._pending_cr = received[-1:] if received.endswith(b'\r') else b''
        usable = received[: len(received) - len(self._pending_cr)]
        return usable.replace(b'\r\n', b'\n')

    def _store(self, rest: bytes) -> None:
        if len(rest) > MAX_EVENT_BYTES:
            raise EventTooLarge(f'over {MAX_EVENT_BYTES} bytes')
        self._buffer = rest

    def _count_event(self, event: bytes) -> None:
        if event == DONE:
            self._done = True
            return
        self._count += 1
