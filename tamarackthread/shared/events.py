"""Cut an engine's event stream into whole events.

Only whole events are passed on and counted, so that a broken stream can be
resumed exactly after the last event that the caller has.
"""

from __future__ import annotations

SEPARATOR = b'\n\n'
DONE = b'data: [DONE]'


class EventCutter:
    """Collect bytes and give back whole server-sent events."""

    def __init__(self) -> None:
        """Start between two events."""
        self._rest = b''
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
        return self._rest

    def cut(self, received: bytes) -> bytes:
        """Add bytes and return the whole events among all that is held."""
        held = (self._rest + received).replace(b'\r\n', b'\n')
        end = held.rfind(SEPARATOR)
        if end < 0:
            self._rest = held
            return b''
        end += len(SEPARATOR)
        whole = held[:end]
        self._rest = held[end:]
        self._note(whole)
        return whole

    def _note(self, whole: bytes) -> None:
        found = whole.count(SEPARATOR)
        if whole.rstrip().endswith(DONE):
            self._done = True
            found -= 1
        self._count += found
