"""Cut an engine's event stream into whole events.

Only whole events are passed on and counted, so that a broken stream can be
resumed exactly after the last event that the caller has.
"""

from __future__ import annotations

from tamarackthread.generated.messages import ttypes as messages
from tamarackthread.shared import errors

MAX_EVENT_BYTES = 4 * 1024 * 1024
SEPARATOR = b'\n\n'
DONE = b'data: [DONE]'


class EventTooLarge(errors.CodedError):
    """Engine sent an event that does not end."""

    code = 'TT1010'
    status = 502
    ran = messages.Ran.MAY_HAVE_RUN


class EventSplitter:
    """Collect bytes and give back whole server-sent events."""

    def __init__(self) -> None:
        """Start between two events."""
        self._rest = b''
        self._tail = b''
        self._count = 0
        self._done = False

    @property
    def count(self) -> int:
        """Count the events given back, the closing one left out."""
        return self._count

    @property
    def done(self) -> bool:
        """Tell whether the engine said that the answer is whole."""
        return self._done

    @property
    def rest(self) -> bytes:
        """Give the bytes of an event that is not whole yet."""
        return self._rest + self._tail

    def feed(self, received: bytes) -> bytes:
        """Add bytes and return the whole events among all that is held.

        Raises ``EventTooLarge`` when an event never ends.  What comes is the
        same however the bytes were split on their way, because a resumed
        stream goes on after so many events.
        """
        held = self._rest + self._normal(received)
        *events, rest = held.split(SEPARATOR)
        self._keep(rest)
        whole = bytearray()
        for event in events:
            text = event.strip(b'\n')
            if not text:
                continue
            whole += text + SEPARATOR
            self._note(text)
        return bytes(whole)

    def _normal(self, received: bytes) -> bytes:
        """End lines with a line feed, also one whose two bytes came apart."""
        received = self._tail + received
        self._tail = received[-1:] if received.endswith(b'\r') else b''
        usable = received[: len(received) - len(self._tail)]
        return usable.replace(b'\r\n', b'\n')

    def _keep(self, rest: bytes) -> None:
        if len(rest) > MAX_EVENT_BYTES:
            raise EventTooLarge(f'over {MAX_EVENT_BYTES} bytes')
        self._rest = rest

    def _note(self, event: bytes) -> None:
        if event == DONE:
            self._done = True
            return
        self._count += 1
