"""Track the membership by log index."""

from __future__ import annotations

from tamarackthread.control import dependencies, membership, segments
from tamarackthread.generated.messages import ttypes as messages


class MemberHistory:
    """Memberships as written in the log, the newest in force at once.

    Earlier ones are kept while later entries may be truncated or a snapshot at
    an earlier index may be taken.
    """

    def __init__(self, parts: dependencies.Dependencies) -> None:
        """Start without members; addresses are passed to the transport."""
        self._parts = parts
        self._versions = [(0, membership.Membership())]

    @property
    def newest(self) -> membership.Membership:
        """Return the newest membership in the log, committed or not."""
        return self._versions[-1][1]

    @property
    def newest_index(self) -> int:
        """Return the index of the newest membership entry."""
        return self._versions[-1][0]

    def at(self, index: int) -> membership.Membership:
        """Return the membership in force at an index still held."""
        found = self._versions[0][1]
        for first_index, members in self._versions:
            if first_index <= index:
                found = members
        return found

    def reset(
        self, index: int, members: membership.Membership, keep_later: bool
    ) -> None:
        """Continue from a snapshot's membership and later log entries."""
        later = [
            version
            for version in self._versions
            if version[0] > index and keep_later
        ]
        self._versions = [(index, members), *later]
        self._publish_addresses()

    def record(self, entry: messages.LogEntry) -> None:
        """Apply a membership entry; ignore entries of other kinds."""
        if entry.kind != segments.Kind.MEMBERS:
            return
        self._versions.append((entry.index, membership.decode(entry.command)))
        self._publish_addresses()

    def truncate(self, index: int) -> None:
        """Drop memberships from an index on."""
        while len(self._versions) > 1 and self._versions[-1][0] >= index:
            self._versions.pop()

    def compact(self, index: int) -> None:
        """Drop memberships replaced at or before an index."""
        while len(self._versions) > 1 and self._versions[1][0] <= index:
            self._versions.pop(0)

    def _publish_addresses(self) -> None:
        for node, address in self._parts.bootstrap.items():
            self._parts.transport.set_address(node, address)
        for member in self.newest.members:
            self._parts.transport.set_address(member.node, member.address)
