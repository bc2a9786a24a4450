"""Know which availability zones are evacuated: their targets get no work."""

from __future__ import annotations

import collections.abc

import attrs

from tamarackthread.generated.messages import ttypes as messages


@attrs.frozen
class Zone:
    """What was last asked of one zone; ``revision`` counts its changes."""

    name: str
    is_evacuated: bool = False
    revision: int = 0


class Zones:
    """Hold the newest row of each zone."""

    def __init__(self) -> None:
        """Begin with no zone evacuated."""
        self._rows: dict[str, Zone] = {}

    @property
    def changes(self) -> int:
        """Return the sum of all revisions, which grows with each change."""
        return sum(row.revision for row in self._rows.values())

    @property
    def rows(self) -> list[Zone]:
        """List the zones that were ever evacuated, by name."""
        return [self._rows[name] for name in sorted(self._rows)]

    def get(self, name: str) -> Zone:
        """Return a zone's row."""
        return self._rows.get(name) or Zone(name)

    def is_evacuated(self, name: str) -> bool:
        """Tell whether the targets of a zone get no work."""
        row = self._rows.get(name)
        return row is not None and row.is_evacuated

    def learn(self, row: Zone) -> bool:
        """Take a row unless a newer one is held; tell whether it is news.

        Control hosts that are behind tell of requests that others have
        overtaken.
        """
        if row.revision <= self.get(row.name).revision:
            return False
        self._rows[row.name] = row
        return True


def to_messages(held: Zones) -> list[messages.SiteZone]:
    """Put all rows into a message between nodes."""
    return [to_message(row) for row in held.rows]


def to_message(row: Zone) -> messages.SiteZone:
    """Put one row into a message."""
    return messages.SiteZone(row.name, row.is_evacuated, row.revision)


def from_messages(
    rows: collections.abc.Iterable[messages.SiteZone],
) -> list[Zone]:
    """Read what ``to_messages`` wrote."""
    return [from_message(row) for row in rows]


def from_message(row: messages.SiteZone) -> Zone:
    """Read what ``to_message`` wrote."""
    return Zone(row.name, bool(row.is_evacuated), row.revision or 0)
