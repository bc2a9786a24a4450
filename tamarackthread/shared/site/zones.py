"""Evacuated availability zones, whose targets get no calls."""

from __future__ import annotations

import collections.abc

import attrs

from tamarackthread.generated.messages import ttypes as messages


@attrs.frozen
class Zone:
    """Requested state of one zone; ``revision`` counts its changes."""

    name: str
    is_evacuated: bool = False
    revision: int = 0


class Zones:
    """The newest row of each zone."""

    def __init__(self) -> None:
        """Start with no zone evacuated."""
        self._rows: dict[str, Zone] = {}

    @property
    def changes(self) -> int:
        """Return the sum of all revisions, which increases with each change."""
        return sum(row.revision for row in self._rows.values())

    @property
    def rows(self) -> list[Zone]:
        """Return all zones that were ever evacuated, in order of name."""
        return [self._rows[name] for name in sorted(self._rows)]

    def get(self, name: str) -> Zone:
        """Return a zone's row."""
        return self._rows.get(name) or Zone(name)

    def is_evacuated(self, name: str) -> bool:
        """Return whether a zone is evacuated."""
        row = self._rows.get(name)
        return row is not None and row.is_evacuated

    def learn(self, row: Zone) -> bool:
        """Store a row unless it is stale; return whether it was stored."""
        if row.revision <= self.get(row.name).revision:
            return False
        self._rows[row.name] = row
        return True


def to_messages(zones: Zones) -> list[messages.SiteZone]:
    """Build the message form of all rows."""
    return [to_message(row) for row in zones.rows]


def to_message(row: Zone) -> messages.SiteZone:
    """Build the message form of one row."""
    return messages.SiteZone(row.name, row.is_evacuated, row.revision)


def from_messages(
    rows: collections.abc.Iterable[messages.SiteZone],
) -> list[Zone]:
    """Read rows from their message form."""
    return [from_message(row) for row in rows]


def from_message(row: messages.SiteZone) -> Zone:
    """Read one row from its message form."""
    return Zone(row.name, bool(row.is_evacuated), row.revision or 0)
