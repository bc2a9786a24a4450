"""Cut a stream of events at their borders and follow their numbers."""

from __future__ import annotations

import attrs

_SEPARATOR = b'\n\n'
_ID_FIELD = b'id:'


@attrs.frozen
class Event:
    """One parts event with its border; ``number`` is -1 without an id."""

    number: int
    payload: bytes


class EventSplitter:
    """Collect bytes and give back parts events.

    A target may break off in the middle of an event.  Passed on as it came,
    that half would stand before the next run's first event, and the caller
    would read both as one.
    """

    def __init__(self) -> None:
        """Begin before the first event."""
        self._incomplete = b''

    @property
    def rest(self) -> bytes:
        """Return the bytes after the last border."""
        return self._incomplete

    def feed(self, received: bytes) -> list[Event]:
        """Take bytes and return the events that they complete."""
        parts = (self._incomplete + received).split(_SEPARATOR)
        self._incomplete = parts.pop()
        return [Event(_number_of(part), part + _SEPARATOR) for part in parts]


def _number_of(payload: bytes) -> int:
    for line in payload.split(b'\n'):
        if not line.startswith(_ID_FIELD):
            continue
        number = line[len(_ID_FIELD) :].strip()
        if number.isdigit():
            return int(number)
    return -1
