"""Hold who belongs to a group, and count its quorums."""

from __future__ import annotations

import collections.abc
import json

import attrs


@attrs.frozen
class Member:
    """One member of a group as the log has it.

    ``disk_id`` is the disk that its votes and acknowledgements count for.  A
    learner receives the log and counts for nothing; it is made a voter once
    it has caught up, and ``replaces`` then names the voter that leaves.
    """

    node: str
    address: str
    disk_id: bytes = b''
    voter: bool = False
    replaces: str = ''


@attrs.frozen
class Membership:
    """The members of a group from one index of the log on."""

    members: tuple[Member, ...] = ()

    @property
    def voters(self) -> tuple[Member, ...]:
        """Return the members that count towards a quorum."""
        return tuple(member for member in self.members if member.voter)

    @property
    def quorum(self) -> int:
        """Return how many voters are a majority."""
        return len(self.voters) // 2 + 1

    def find(self, node: str) -> Member | None:
        """Return the node's member, voter or learner."""
        for member in self.members:
            if member.node == node:
                return member
        return None

    def is_voter(self, node: str, disk_id: bytes) -> bool:
        """Say whether this node on this very disk has a vote."""
        member = self.find(node)
        return member is not None and member.voter and member.disk_id == disk_id

    def with_member(self, member: Member) -> Membership:
        """Return a copy with a member added or in place of its former self."""
        others = self.without(member.node).members
        ordered = sorted((*others, member), key=lambda held: held.node)
        return Membership(tuple(ordered))

    def without(self, node: str) -> Membership:
        """Return a copy without a node."""
        return Membership(
            tuple(held for held in self.members if held.node != node)
        )

    def quorum_value(
        self, values: collections.abc.Mapping[str, float]
    ) -> float:
        """Return the value that a quorum of voters has reached or passed."""
        counted = sorted(
            (values[voter.node] for voter in self.voters), reverse=True
        )
        return counted[self.quorum - 1]

    def encode(self) -> bytes:
        """Serialise for the log."""
        rows = []
        for member in self.members:
            row = attrs.asdict(member)
            row['disk_id'] = member.disk_id.hex()
            rows.append(row)
        return json.dumps(rows, sort_keys=True).encode()


def decode(data: bytes) -> Membership:
    """Read what ``encode`` wrote."""
    members = []
    for row in json.loads(data or b'[]'):
        row['disk_id'] = bytes.fromhex(row['disk_id'])
        members.append(Member(**row))
    return Membership(tuple(members))
