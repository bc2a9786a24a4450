"""Groups of targets that run their steps together."""

from __future__ import annotations

import collections.abc

import attrs

from tamarackthread.generated.messages import ttypes as messages


@attrs.frozen
class Group:
    """The targets of one group; a closed group runs no steps."""

    name: str
    members: frozenset[str]
    is_open: bool = True


class Groups:
    """Groups as published by the owner with the highest term."""

    def __init__(self) -> None:
        """Start without groups."""
        self._term = 0
        self._serial = 0
        self._by_name: dict[str, Group] = {}
        self._by_target: dict[str, Group] = {}

    @property
    def serial(self) -> int:
        """Return a number that increases with each change."""
        return self._serial

    @property
    def term(self) -> int:
        """Return the term of the owner that published the groups."""
        return self._term

    @property
    def rows(self) -> list[Group]:
        """Return the groups in order of name."""
        return [self._by_name[name] for name in sorted(self._by_name)]

    def group_of(self, target: str) -> str:
        """Return the name of a target's group, empty if it is unknown."""
        found = self._by_target.get(target)
        return '' if found is None else found.name

    def is_open(self, name: str) -> bool:
        """Return whether a group is open; an unknown one counts as open."""
        found = self._by_name.get(name)
        return found is None or found.is_open

    def learn(
        self,
        term: int,
        rows: collections.abc.Iterable[Group],
    ) -> bool:
        """Replace the groups unless ``term`` is old; return whether they
        changed.
        """
        by_name = {row.name: row for row in rows}
        if term < self._term or not by_name:
            return False
        self._term = term
        if by_name == self._by_name:
            return False
        self._serial += 1
        self._by_name = by_name
        self._by_target = {
            target: row for row in by_name.values() for target in row.members
        }
        return True


def to_messages(groups: Groups) -> list[messages.SiteGroup]:
    """Build the message form of all groups."""
    return [
        messages.SiteGroup(row.name, sorted(row.members), row.is_open)
        for row in groups.rows
    ]


def from_messages(
    rows: collections.abc.Iterable[messages.SiteGroup],
) -> list[Group]:
    """Read groups from their message form."""
    return [
        Group(row.name, frozenset(row.members), bool(row.is_open))
        for row in rows
    ]
