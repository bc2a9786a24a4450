"""Keep which targets drain or are gone, as part of the replicated state."""

from __future__ import annotations

import collections
import collections.abc

import attrs

from tamarackthread.generated.messages import ttypes as messages
from tamarackthread.shared.site import announcements

# Longer than an announcement may be delayed, and than control hosts and entries
# remember a target that has left.
RETENTION_MS = 120_000
# Bounds a snapshot; twice the targets of the largest site.
MAX_ROWS = 4096


@attrs.frozen
class Departure:
    """A target that drains or is gone.

    ``at_ms`` is the Unix time at the control host that was told of it, in
    milliseconds.  It is part of the command, so that all members forget alike.
    """

    announcement: announcements.Announcement
    at_ms: int


class Departures:
    """The newest departure of each target, oldest first."""

    def __init__(self) -> None:
        """Start empty."""
        self._rows: collections.OrderedDict[str, Departure] = (
            collections.OrderedDict()
        )

    @property
    def rows(self) -> list[Departure]:
        """Return all departures, oldest first."""
        return list(self._rows.values())

    def covers(self, announcement: announcements.Announcement) -> bool:
        """Return whether a departure already says what an announcement does."""
        held = self._rows.get(announcement.target)
        return held is not None and not announcement.supersedes(
            held.announcement
        )

    def learn(self, departure: Departure) -> bool:
        """Add a departure unless it is covered; return whether it was added."""
        if self.covers(departure.announcement):
            return False
        target = departure.announcement.target
        held = self._rows.pop(target, None)
        if held is not None:
            departure = attrs.evolve(
                departure,
                announcement=departure.announcement.inherit_start(
                    held.announcement
                ),
            )
        self._rows[target] = departure
        self._forget(departure.at_ms)
        return True

    def _forget(self, now_ms: int) -> None:
        """Forget the oldest rows, up to the first one that is kept."""
        while self._rows:
            oldest = next(iter(self._rows.values()))
            is_old = now_ms - oldest.at_ms > RETENTION_MS
            if not is_old and len(self._rows) <= MAX_ROWS:
                return
            self._rows.popitem(last=False)


def to_messages(departures: Departures) -> list[messages.SiteDeparture]:
    """Build the message form of all departures."""
    return [to_message(row) for row in departures.rows]


def to_message(row: Departure) -> messages.SiteDeparture:
    """Build the message form of one departure."""
    return messages.SiteDeparture(
        announcements.to_message(row.announcement), row.at_ms
    )


def from_messages(
    rows: collections.abc.Iterable[messages.SiteDeparture],
) -> list[Departure]:
    """Read departures from their message form."""
    return [from_message(row) for row in rows]


def from_message(row: messages.SiteDeparture) -> Departure:
    """Read one departure; raise ``ValueError`` or ``TypeError`` if invalid."""
    if row.target is None or not row.target.id:
        raise ValueError('departure without a target')
    announcement = announcements.from_message(row.target)
    if not announcement.is_leaving:
        raise ValueError(f'{announcement.target} has not left')
    return Departure(announcement, row.at_ms or 0)
