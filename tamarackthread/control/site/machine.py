"""Replicate the site's configuration, evacuated zones and targets that left."""

from __future__ import annotations

import collections.abc
import struct

import attrs

from tamarackthread.control import state_machine
from tamarackthread.control.site import departures
from tamarackthread.generated.messages import ttypes as messages
from tamarackthread.shared import errors, wire
from tamarackthread.shared.site import announcements, document, zones

APPLIED = b'1'
SUPERSEDED = b'0'
# A document starts with its version, which is never negative.
_VERSION = struct.Struct('>q')
_ZONE_PREFIX = _VERSION.pack(-1)
_SNAPSHOT_PREFIX = _VERSION.pack(-2)
_DEPARTURE_PREFIX = _VERSION.pack(-3)

OnChange = collections.abc.Callable[[], None]
OnDeparture = collections.abc.Callable[[announcements.Announcement], None]


@attrs.frozen
class _Snapshot:
    document: document.Document
    zones: list[zones.Zone] = attrs.field(factory=list)
    departures: list[departures.Departure] = attrs.field(factory=list)


class SiteMachine(state_machine.StateMachine):
    """State machine of one configuration, the site's zones and its departures.

    A configuration replaces only one of a lower version, so neither the order
    of proposals nor retries matter.  A change of a zone names the revision on
    which it is based, and is ignored on any other: a late copy can't undo a
    newer request.  The departure of a target is final for its start.
    """

    def __init__(self) -> None:
        """Start without a configuration."""
        self._held = document.Document()
        self._zones = zones.Zones()
        self._departures = departures.Departures()
        self._on_change: list[OnChange] = []
        self._on_departure: list[OnDeparture] = []

    @property
    def held(self) -> document.Document:
        """Return the configuration in force, of version 0 if there is none."""
        return self._held

    @property
    def zones(self) -> zones.Zones:
        """Return which zones are evacuated."""
        return self._zones

    @property
    def departures(self) -> departures.Departures:
        """Return which targets drain or are gone."""
        return self._departures

    def on_change(self, listener: OnChange) -> None:
        """Call ``listener`` after each change of configuration or zones."""
        self._on_change.append(listener)

    def on_departure(self, listener: OnDeparture) -> None:
        """Call ``listener`` with each target that drains or is gone."""
        self._on_departure.append(listener)

    def apply(self, index: int, command: bytes) -> bytes:
        """Apply a configuration, a zone change or a departure, if newer."""
        if command.startswith(_ZONE_PREFIX):
            return self._apply_zone(command)
        if command.startswith(_DEPARTURE_PREFIX):
            return self._apply_departure(command)
        proposed = document.decode(command)
        if proposed.version <= self._held.version:
            return SUPERSEDED
        self._replace(proposed)
        return APPLIED

    def snapshot(self) -> bytes:
        """Return the configuration, and zones and departures if there are any."""
        held = self._held.encode() if self._held.version else b''
        if not self._zones.changes and not self._departures.rows:
            return held
        return _SNAPSHOT_PREFIX + wire.encode(
            messages.SiteSnapshot(
                held,
                zones.to_messages(self._zones),
                departures.to_messages(self._departures),
            )
        )

    def restore(self, data: bytes) -> None:
        """Restore the state from a snapshot."""
        with state_machine.reading_snapshot():
            snapshot = _read_snapshot(data)
        self._zones = zones.Zones()
        for row in snapshot.zones:
            self._zones.learn(row)
        self._departures = departures.Departures()
        for departure in snapshot.departures:
            self._learn_departure(departure)
        self._replace(snapshot.document)

    def _apply_zone(self, command: bytes) -> bytes:
        try:
            proposed = _read_zone(command)
        except errors.FrameInvalid:
            # A later release wrote it; all members ignore it alike.
            return SUPERSEDED
        held = self._zones.get(proposed.name)
        if proposed.revision != held.revision:
            return SUPERSEDED
        # Also a request that changes nothing is newer than all copies in flight.
        self._zones.learn(
            zones.Zone(proposed.name, proposed.is_evacuated, held.revision + 1)
        )
        self._notify()
        return APPLIED

    def _apply_departure(self, command: bytes) -> bytes:
        try:
            departure = _read_departure(command)
        except (errors.FrameInvalid, TypeError, ValueError):
            return SUPERSEDED
        return APPLIED if self._learn_departure(departure) else SUPERSEDED

    def _learn_departure(self, departure: departures.Departure) -> bool:
        if not self._departures.learn(departure):
            return False
        for listener in self._on_departure:
            listener(departure.announcement)
        return True

    def _replace(self, proposed: document.Document) -> None:
        self._held = proposed
        self._notify()

    def _notify(self) -> None:
        for listener in self._on_change:
            listener()


def zone_command(row: zones.Zone) -> bytes:
    """Encode a zone change that is based on the given revision."""
    return _ZONE_PREFIX + wire.encode(zones.to_message(row))


def departure_command(row: departures.Departure) -> bytes:
    """Encode the departure of a target.

    An older release takes it for a configuration of a negative version, which
    it ignores.
    """
    return _DEPARTURE_PREFIX + wire.encode(departures.to_message(row))


def _read_zone(command: bytes) -> zones.Zone:
    body = command.removeprefix(_ZONE_PREFIX)
    return zones.from_message(wire.decode(messages.SiteZone, body))


def _read_departure(command: bytes) -> departures.Departure:
    body = command.removeprefix(_DEPARTURE_PREFIX)
    return departures.from_message(wire.decode(messages.SiteDeparture, body))


def _read_snapshot(data: bytes) -> _Snapshot:
    if not data.startswith(_SNAPSHOT_PREFIX):
        return _Snapshot(document.decode(data))
    read = wire.decode(
        messages.SiteSnapshot, data.removeprefix(_SNAPSHOT_PREFIX)
    )
    return _Snapshot(
        document.decode(read.document),
        zones.from_messages(read.zones),
        departures.from_messages(read.departures or ()),
    )
