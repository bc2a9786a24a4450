"""Keep the site's configuration and which of its zones are evacuated."""

from __future__ import annotations

import collections.abc
import struct

from tamarackthread.control import state_machine
from tamarackthread.generated.messages import ttypes as messages
from tamarackthread.shared import errors, wire
from tamarackthread.shared.site import document, zones

APPLIED = b'1'
SUPERSEDED = b'0'
# A document begins with its version, which is never negative.
_MARK = struct.Struct('>q')
_ZONE = _MARK.pack(-1)
_SNAPSHOT = _MARK.pack(-2)

OnChange = collections.abc.Callable[[], None]


class SiteMachine(state_machine.StateMachine):
    """Hold one document, replaced only by one with a higher version.

    Operators race each other and send again what they had no answer to.  With
    the version as the only judge, the order in which the log got the changes
    doesn't matter, a second copy changes nothing, and what is in force never
    goes back.

    Requests to evacuate a zone, or to take it back, have no version of their
    own.  Each names the revision that its proposer saw, and takes effect only
    while that one is in force: a copy that was held up on its way to the
    leader does not undo a newer request.
    """

    def __init__(self) -> None:
        """Begin without a configuration."""
        self._held = document.Document()
        self._zones = zones.Zones()
        self._on_change: list[OnChange] = []

    @property
    def held(self) -> document.Document:
        """Return the document in force, version 0 before the first."""
        return self._held

    @property
    def zones(self) -> zones.Zones:
        """Return which zones are evacuated."""
        return self._zones

    def on_change(self, listener: OnChange) -> None:
        """Call ``listener`` after each new document and change of a zone."""
        self._on_change.append(listener)

    def apply(self, index: int, command: bytes) -> bytes:
        """Take a document if its version is the highest yet, or a zone."""
        if command.startswith(_ZONE):
            return self._apply_zone(command)
        asked = document.decode(command)
        if asked.version <= self._held.version:
            return SUPERSEDED
        self._take(asked)
        return APPLIED

    def snapshot(self) -> bytes:
        """Return the document in force, and the zones if any has changed."""
        held = self._held.encode() if self._held.version else b''
        if not self._zones.changes:
            return held
        return _SNAPSHOT + wire.encode(
            messages.SiteSnapshot(held, zones.to_messages(self._zones))
        )

    def restore(self, data: bytes) -> None:
        """Take the document and the zones of a snapshot."""
        with state_machine.reading_snapshot():
            held, rows = _read_snapshot(data)
        self._zones = zones.Zones()
        for row in rows:
            self._zones.learn(row)
        self._take(held)

    def _apply_zone(self, command: bytes) -> bytes:
        try:
            asked = _read_zone(command)
        except errors.FrameInvalid:
            # Of a later release; every member of the group leaves it alike.
            return SUPERSEDED
        held = self._zones.get(asked.name)
        if asked.revision != held.revision:
            return SUPERSEDED
        if asked.is_evacuated != held.is_evacuated:
            self._zones.learn(
                zones.Zone(asked.name, asked.is_evacuated, held.revision + 1)
            )
            self._tell()
        return APPLIED

    def _take(self, asked: document.Document) -> None:
        self._held = asked
        self._tell()

    def _tell(self) -> None:
        for listener in self._on_change:
            listener()


def zone_command(row: zones.Zone) -> bytes:
    """Write a log command: what is asked of a zone that has that revision."""
    return _ZONE + wire.encode(zones.to_message(row))


def _read_zone(command: bytes) -> zones.Zone:
    body = command.removeprefix(_ZONE)
    return zones.of_message(wire.decode(messages.SiteZone, body))


def _read_snapshot(
    data: bytes,
) -> tuple[document.Document, list[zones.Zone]]:
    if not data.startswith(_SNAPSHOT):
        return document.decode(data), []
    read = wire.decode(messages.SiteSnapshot, data.removeprefix(_SNAPSHOT))
    return document.decode(read.document), zones.of_messages(read.zones)
