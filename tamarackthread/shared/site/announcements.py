"""Announcements of targets, and which of two supersedes the other."""

from __future__ import annotations

import attrs

from tamarackthread.generated.messages import ttypes as messages

State = messages.TargetState

# States after which an instance of a target never takes calls again.
_LEAVING = frozenset((State.LEAVING, State.GONE))


@attrs.frozen(kw_only=True)
class Announcement:
    """One announcement of a target; ``born`` is its start in Unix milliseconds
    (0: unknown), ``cold`` the remaining seconds of its warm-up.
    """

    target: str
    service: str
    address: str
    zone: str = ''
    slots: int = 0
    state: messages.TargetState = State.READY
    sequence: int = 0
    cold: float = 0
    born: int = 0

    @property
    def is_leaving(self) -> bool:
        """Return whether the target is leaving or gone."""
        return self.state in _LEAVING

    def is_later_start(self, held: Announcement) -> bool:
        """Return whether the target restarted since ``held``; False if either
        start time is unknown, as in relays of older releases.
        """
        return 0 < held.born < self.born

    def is_earlier_start(self, held: Announcement) -> bool:
        """Return whether ``held`` is of a later start of the target."""
        return held.is_later_start(self)

    def supersedes(self, held: Announcement | None) -> bool:
        """Return whether this one is newer.  Within a start, leaving is final:
        a delayed announcement must not send calls to a target that drains.
        """
        if held is None or self.is_later_start(held):
            return True
        if self.is_earlier_start(held):
            return False
        # Relayed by an older release without the start time, so the sequences
        # may be of different starts.
        if self.born and not held.born and not held.is_leaving:
            return True
        if held.is_leaving:
            return self.state == State.GONE and held.state != State.GONE
        return self.is_leaving or self.sequence >= held.sequence

    def inherit_start(self, held: Announcement | None) -> Announcement:
        """Return this one with the start time of ``held`` if it has none."""
        if held is None or self.is_later_start(held):
            return self
        return attrs.evolve(self, born=self.born or held.born)


def to_message(announcement: Announcement) -> messages.SiteTarget:
    """Build the message form of an announcement."""
    return messages.SiteTarget(
        id=announcement.target,
        service_name=announcement.service,
        address=announcement.address,
        zone=announcement.zone,
        slots=announcement.slots,
        state=announcement.state,
        sequence=announcement.sequence,
        cold_ms=int(announcement.cold * 1000),
        born_ms=announcement.born,
    )


def from_message(row: messages.SiteTarget) -> Announcement:
    """Read an announcement from its message form."""
    return Announcement(
        target=row.id,
        service=row.service_name,
        address=row.address,
        zone=row.zone,
        slots=row.slots,
        state=State(row.state),
        sequence=row.sequence,
        cold=row.cold_ms / 1000,
        born=row.born_ms or 0,
    )
