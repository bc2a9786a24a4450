"""Cut a stream of events at their borders and follow their numbers."""

from __future__ import annotations

import attrs

_BORDER = b'\n\n'
_ID = b'id:'


@attrs.frozen
class Event:
    """One whole event with its border; ``number`` is -1 without an id."""

    number: int
    payload: bytes


class EventSplitter:
    """Collect bytes and give back whole events.

    A target may break off in the middle of an event.  Passed on as it came,
    that half would stand before the next run's first event, and the caller
    would read both as one.
    """

    def __init__(self) -> None:
        """Begin before the first event."""
        self._rest = b''

    @property
    def rest(self) -> bytes:
        """Return the bytes after the last border."""
        return self._rest

    def feed(self, received: bytes) -> list[Event]:
        """Take bytes and return the events that they complete."""
        whole = (self._rest + received).split(_BORDER)
        self._rest = whole.pop()
        return [Event(_number_of(part), part + _BORDER) for part in whole]


def _number_of(payload: bytes) -> int:
    for line in payload.split(b'\n'):
        if not line.startswith(_ID):
            continue
        number = line[len(_ID) :].strip()
        if number.isdigit():
            return int(number)
    return -1
