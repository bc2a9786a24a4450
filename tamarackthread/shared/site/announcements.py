"""Hold what targets say of themselves, and which of two sayings counts."""

from __future__ import annotations

import attrs

from tamarackthread.generated.messages import ttypes as messages

State = messages.TargetState

# A start of a target that has said that it leaves never takes work again.
_LEAVING = frozenset((State.LEAVING, State.GONE))


@attrs.frozen(kw_only=True)
class Announcement:
    """Be one announcement of one start of a target.

    ``target`` is new at each start of the target's process, and ``sequence``
    grows with each of its announcements.  ``cold`` is how many seconds more
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

    @property
    def is_leaving(self) -> bool:
        """Tell whether this start of the target has said its farewell."""
        return self.state in _LEAVING

    def follows(self, held: Announcement | None) -> bool:
        """Tell whether this one counts although another is held.

        A farewell counts whatever its sequence, and nothing but a farewell
        takes it back: an announcement that was held up on its way would
        otherwise send new work to a target that waits for its last.
        """
        if held is None:
            return True
        if held.is_leaving:
            return self.state == State.GONE and held.state != State.GONE
        return self.is_leaving or self.sequence >= held.sequence


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
    )


def of_message(row: messages.SiteTarget) -> Announcement:
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
    )
