"""Remember which members were in force from which index of the log on."""

from __future__ import annotations

from tamarackthread.control import membership, segments
from tamarackthread.control import parts as building
from tamarackthread.generated.messages import ttypes as messages


class MemberHistory:
    """Hold the members as the log has them, the newest in force at once.

    Older ones are kept as long as the entries that brought the newer ones may
    be voided, or a snapshot of an earlier index may be taken.
    """

    def __init__(self, parts: building.Parts) -> None:
        """Begin with no members; addresses are told to the transport."""
        self._parts = parts
        self._rows = [(0, membership.Membership())]

    @property
    def newest(self) -> membership.Membership:
        """Return the newest members in the log, committed or not."""
        return self._rows[-1][1]

    @property
    def newest_index(self) -> int:
        """Return the index that the newest members were written at."""
        return self._rows[-1][0]

    def at(self, index: int) -> membership.Membership:
        """Return the members in force at an index still held."""
        chosen = self._rows[0][1]
        for since, members in self._rows:
            if since <= index:
                chosen = members
        return chosen

    def reset(
        self, index: int, members: membership.Membership, keep_later: bool
    ) -> None:
        """Take the members of a snapshot, and later ones still in the log."""
        later = [row for row in self._rows if row[0] > index and keep_later]
        self._rows = [(index, members), *later]
        self._publish_addresses()

    def record(self, entry: messages.LogEntry) -> None:
        """Put the members of an entry in force, if it has any."""
        if entry.kind != segments.Kind.MEMBERS:
            return
        self._rows.append((entry.index, membership.decode(entry.command)))
        self._publish_addresses()

    def truncate(self, index: int) -> None:
        """Go back to the members before an index."""
        while len(self._rows) > 1 and self._rows[-1][0] >= index:
            self._rows.pop()

    def compact(self, index: int) -> None:
        """Drop members that were replaced at or before an index."""
        while len(self._rows) > 1 and self._rows[1][0] <= index:
            self._rows.pop(0)

    def _publish_addresses(self) -> None:
        for node, address in self._parts.bootstrap.items():
            self._parts.transport.set_address(node, address)
        for member in self.newest.members:
            self._parts.transport.set_address(member.node, member.address)
