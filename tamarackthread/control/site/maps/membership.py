"""Know which targets make a group, from what ranks report."""

from __future__ import annotations

import collections
import collections.abc

import attrs

from tamarackthread.control.site.maps import ranks
from tamarackthread.shared.site import groups

_Reports = collections.abc.Sequence[ranks.RankReport | None]


@attrs.frozen
class _Place:
    """The group that a target has reported last, and whether it is open."""

    group: str
    is_open: bool


class Membership:
    """Hold the groups of the services that have several.

    A rank that is silent stays where it was: over links that lose packets one of
    many is silent at each look.
    """

    def __init__(self) -> None:
        """Begin without any."""
        self._by_service: dict[str, dict[str, _Place]] = {}

    @property
    def has_closed(self) -> bool:
        """Tell whether a group makes no passes."""
        return any(not row.is_open for row in self.rows)

    @property
    def rows(self) -> list[groups.Group]:
        """List the groups of services that have more than one."""
        found: list[groups.Group] = []
        for places in self._by_service.values():
            names = {place.group for place in places.values()}
            if len(names) > 1:
                found.extend(_groups_of(places))
        return found

    def learn(
        self,
        service: str,
        members: collections.abc.Sequence[ranks.Rank],
        found: _Reports,
    ) -> None:
        """Take the reports of a service's targets, in their order."""
        before = self._by_service.get(service, {})
        places: dict[str, _Place] = {}
        for member, report in zip(members, found, strict=True):
            if report is not None:
                places[member.target] = _Place(report.group, report.is_open)
                continue
            held = before.get(member.target)
            if held is not None:
                places[member.target] = held
        self._by_service[service] = places


def _groups_of(places: dict[str, _Place]) -> list[groups.Group]:
    by_name: dict[str, list[str]] = collections.defaultdict(list)
    closed = set()
    for target, place in places.items():
        by_name[place.group].append(target)
        if not place.is_open:
            closed.add(place.group)
    return [
        groups.Group(name, frozenset(by_name[name]), name not in closed)
        for name in sorted(by_name)
    ]
