"""Replicate the site's configuration and the evacuation of its zones."""

from __future__ import annotations

import collections.abc
import struct

from tamarackthread.control import state_machine
from tamarackthread.generated.messages import ttypes as messages
from tamarackthread.shared import errors, wire
from tamarackthread.shared.site import document, zones

APPLIED = b'1'
SUPERSEDED = b'0'
# A document starts with its version, which is never negative.
_VERSION = struct.Struct('>q')
_ZONE_PREFIX = _VERSION.pack(-1)
_SNAPSHOT_PREFIX = _VERSION.pack(-2)

OnChange = collections.abc.Callable[[], None]


class SiteMachine(state_machine.StateMachine):
    """State machine of one configuration and the site's zones.

    A configuration replaces only one of a lower version, so neither the order
    of proposals nor retries matter.  A change of a zone names the revision on
    which it is based, and is ignored on any other: a late copy can't undo a
    newer request.
    """

    def __init__(self) -> None:
        """Start without a configuration."""
        self._held = document.Document()
        self._zones = zones.Zones()
        self._on_change: list[OnChange] = []

    @property
    def held(self) -> document.Document:
        """Return the configuration in force, of version 0 if there is none."""
        return self._held

    @property
    def zones(self) -> zones.Zones:
        """Return which zones are evacuated."""
        return self._zones

    def on_change(self, listener: OnChange) -> None:
        """Call ``listener`` after each change of configuration or zones."""
        self._on_change.append(listener)

    def apply(self, index: int, command: bytes) -> bytes:
        """Apply a zone change, or a configuration of a higher version."""
        if command.startswith(_ZONE_PREFIX):
            return self._apply_zone(command)
        proposed = document.decode(command)
        if proposed.version <= self._held.version:
            return SUPERSEDED
        self._replace(proposed)
        return APPLIED

    def snapshot(self) -> bytes:
        """Return the configuration, and the zones if any has changed."""
        held = self._held.encode() if self._held.version else b''
        if not self._zones.changes:
            return held
        return _SNAPSHOT_PREFIX + wire.encode(
            messages.SiteSnapshot(held, zones.to_messages(self._zones))
        )

    def restore(self, data: bytes) -> None:
        """Restore the configuration and zones from a snapshot."""
        with state_machine.reading_snapshot():
            held, rows = _read_snapshot(data)
        self._zones = zones.Zones()
        for row in rows:
            self._zones.learn(row)
        self._replace(held)

    def _apply_zone(self, command: bytes) -> bytes:
        try:
            proposed = _read_zone(command)
        except errors.FrameInvalid:
            # A later release wrote it; all members ignore it alike.
            return SUPERSEDED
        held = self._zones.get(proposed.name)
        if proposed.revision != held.revision:
            return SUPERSEDED
        if proposed.is_evacuated != held.is_evacuated:
            self._zones.learn(
                zones.Zone(
                    proposed.name, proposed.is_evacuated, held.revision + 1
                )
            )
            self._notify()
        return APPLIED

    def _replace(self, proposed: document.Document) -> None:
        self._held = proposed
        self._notify()

    def _notify(self) -> None:
        for listener in self._on_change:
            listener()


def zone_command(row: zones.Zone) -> bytes:
    """Encode a zone change that is based on the given revision."""
    return _ZONE_PREFIX + wire.encode(zones.to_message(row))


def _read_zone(command: bytes) -> zones.Zone:
    body = command.removeprefix(_ZONE_PREFIX)
    return zones.from_message(wire.decode(messages.SiteZone, body))


def _read_snapshot(
    data: bytes,
) -> tuple[document.Document, list[zones.Zone]]:
    if not data.startswith(_SNAPSHOT_PREFIX):
        return document.decode(data), []
    read = wire.decode(
        messages.SiteSnapshot, data.removeprefix(_SNAPSHOT_PREFIX)
    )
    return document.decode(read.document), zones.from_messages(read.zones)
