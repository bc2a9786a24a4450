"""Define the members of a group and compute quorums."""

from __future__ import annotations

import collections.abc
import json

import attrs


@attrs.frozen
class Member:
    """One member of a group, as stored in the log.

    Votes and acknowledgements count for ``disk_id`` only.  A learner has no
    vote; once caught up it is promoted and the member it ``replaces`` removed.
    """

    node: str
    address: str
    disk_id: bytes = b''
    voter: bool = False
    replaces: str = ''


@attrs.frozen
class Membership:
    """The members of a group from one log index on."""

    members: tuple[Member, ...] = ()

    @property
    def voters(self) -> tuple[Member, ...]:
        """Return the members with a vote."""
        return tuple(member for member in self.members if member.voter)

    @property
    def quorum(self) -> int:
        """Return the number of voters that form a majority."""
        return len(self.voters) // 2 + 1

    def find(self, node: str) -> Member | None:
        """Return the member on a node, voter or learner."""
        for member in self.members:
            if member.node == node:
                return member
        return None

    def is_voter(self, node: str, disk_id: bytes) -> bool:
        """Return whether this node with this disk has a vote."""
        member = self.find(node)
        return member is not None and member.voter and member.disk_id == disk_id

    def with_member(self, member: Member) -> Membership:
        """Return a copy with a member added or replaced."""
        others = self.without(member.node).members
        ordered = sorted((*others, member), key=lambda other: other.node)
        return Membership(tuple(ordered))

    def without(self, node: str) -> Membership:
        """Return a copy without a node."""
        return Membership(
            tuple(other for other in self.members if other.node != node)
        )

    def quorum_value(
        self, values: collections.abc.Mapping[str, float]
    ) -> float:
        """Return the highest value that a quorum of voters has reached."""
        descending = sorted(
            (values[voter.node] for voter in self.voters), reverse=True
        )
        return descending[self.quorum - 1]

    def encode(self) -> bytes:
        """Serialise for the log."""
        rows = []
        for member in self.members:
            row = attrs.asdict(member)
            row['disk_id'] = member.disk_id.hex()
            rows.append(row)
        return json.dumps(rows, sort_keys=True).encode()


def decode(data: bytes) -> Membership:
    """Deserialise a membership from the log."""
    members = []
    for row in json.loads(data or b'[]'):
        row['disk_id'] = bytes.fromhex(row['disk_id'])
        members.append(Member(**row))
    return Membership(tuple(members))
