"""Split a stream of server-sent events and read the event numbers."""

from __future__ import annotations

import attrs

_SEPARATOR = b'\n\n'
_ID_FIELD = b'id:'


@attrs.frozen
class Event:
    """A complete event with its separator; ``number`` is -1 without an id."""

    number: int
    payload: bytes


class EventSplitter:
    """Collect bytes and return complete events."""

    # A target may break off inside an event.  Relayed, that part would be
    # joined to the first event of the next target.
    def __init__(self) -> None:
        """Start with an empty buffer."""
        self._incomplete = b''

    @property
    def rest(self) -> bytes:
        """Return the bytes after the last separator."""
        return self._incomplete

    def feed(self, received: bytes) -> list[Event]:
        """Append bytes and return the events that they complete."""
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
