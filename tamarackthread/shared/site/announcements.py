"""Hold what targets say of themselves, and which of two sayings counts."""

from __future__ import annotations

import attrs

from tamarackthread.generated.messages import ttypes as messages

State = messages.TargetState

# A start of a target that has said that it leaves never takes work again.
_LEAVING = frozenset((State.LEAVING, State.GONE))


@attrs.frozen(kw_only=True)
class Announcement:
    """One announcement of one start of a target.

    ``born`` is when the target's process started, in milliseconds since 1970,
    and 0 where nobody says so.  A target may start again under its name: it
    then knows nothing of before, and its ``sequence``, which grows with each
    announcement of a start, begins anew.  ``cold`` is how many seconds more
    the target answers slowly after its start.
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
        """Tell whether this start of the target has said its farewell."""
        return self.state in _LEAVING

    def is_later_start(self, held: Announcement) -> bool:
        """Tell whether this is of a later start of the target than another.

        Two words of which one names no start are taken to be of the same one:
        a process of an older release leaves it out of what it passes on.
        """
        return 0 < held.born < self.born

    def is_earlier_start(self, held: Announcement) -> bool:
        """Tell whether this is of an earlier start than another."""
        return held.is_later_start(self)

    def supersedes(self, held: Announcement | None) -> bool:
        """Tell whether this one counts although another is held.

        A later start replaces an earlier one whatever that has said, its
        farewell included, and an earlier one never counts again: its words may
        be held up on their way until the target has long started anew, and
        their sequence may be the higher one.

        Within one start a farewell counts whatever its sequence, and nothing
        but a farewell takes it back: an announcement that was held up would
        otherwise send new work to a target that waits for its last.
        """
        if held is None or self.is_later_start(held):
            return True
        if self.is_earlier_start(held):
            return False
        # A host of an older release told of some start, whose sequence says
        # nothing of this one's.
        if self.born and not held.born and not held.is_leaving:
            return True
        if held.is_leaving:
            return self.state == State.GONE and held.state != State.GONE
        return self.is_leaving or self.sequence >= held.sequence

    def inherit_start(self, held: Announcement | None) -> Announcement:
        """Return this one with what only the held one of its start tells.

        A word that names no start is of the one that is known, and a word of
        a host that is gone for good may tell of nothing but that.
        """
        if held is None or self.is_later_start(held):
            return self
        return attrs.evolve(self, born=self.born or held.born)


def to_message(said: Announcement) -> messages.SiteTarget:
    """Put an announcement into a message between nodes."""
    return messages.SiteTarget(
        id=said.target,
        service_name=said.service,
        address=said.address,
        zone=said.zone,
        slots=said.slots,
        state=said.state,
        sequence=said.sequence,
        cold_ms=int(said.cold * 1000),
        born_ms=said.born,
    )


def from_message(row: messages.SiteTarget) -> Announcement:
    """Read what ``to_message`` wrote."""
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
