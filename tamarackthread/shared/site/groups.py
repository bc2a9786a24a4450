"""Know which targets of a service make one group and share their passes."""

from __future__ import annotations

import collections.abc

import attrs

from tamarackthread.generated.messages import ttypes as messages


@attrs.frozen
class Group:
    """The targets of one group; one that is not open makes no passes."""

    name: str
    members: frozenset[str]
    is_open: bool = True


class Groups:
    """Hold the groups as the newest owner of their maps has told them.

    A former owner may go on telling of groups as they were; its term is lower.
    """

    def __init__(self) -> None:
        """Begin without any."""
        self._term = 0
        self._serial = 0
        self._held: dict[str, Group] = {}
        self._by_target: dict[str, Group] = {}

    @property
    def serial(self) -> int:
        """Return a number that grows with each change."""
        return self._serial

    @property
    def term(self) -> int:
        """Return the term of the owner who has told of them."""
        return self._term

    @property
    def rows(self) -> list[Group]:
        """List the groups by name."""
        return [self._held[name] for name in sorted(self._held)]

    def group_of(self, target: str) -> str:
        """Return the name of a target's group, empty if unknown."""
        found = self._by_target.get(target)
        return '' if found is None else found.name

    def is_open(self, name: str) -> bool:
        """Tell whether a group is not known to be closed."""
        found = self._held.get(name)
        return found is None or found.is_open

    def learn(
        self,
        term: int,
        rows: collections.abc.Iterable[Group],
    ) -> bool:
        """Take all groups as an owner of a term tells them.

        Returns whether that is news.
        """
        fresh = {row.name: row for row in rows}
        if term < self._term or not fresh:
            return False
        self._term = term
        if fresh == self._held:
            return False
        self._serial += 1
        self._held = fresh
        self._by_target = {
            target: row for row in fresh.values() for target in row.members
        }
        return True


def to_messages(held: Groups) -> list[messages.SiteGroup]:
    """Put all groups into a message between nodes."""
    return [
        messages.SiteGroup(row.name, sorted(row.members), row.is_open)
        for row in held.rows
    ]


def from_messages(
    rows: collections.abc.Iterable[messages.SiteGroup],
) -> list[Group]:
    """Read what ``to_messages`` wrote."""
    return [
        Group(row.name, frozenset(row.members), bool(row.is_open))
        for row in rows
    ]
