"""Track which targets form a group, from their reports."""

from __future__ import annotations

import collections
import collections.abc

import attrs

from tamarackthread.control.site.maps import ranks
from tamarackthread.shared.site import groups

_Reports = collections.abc.Sequence[ranks.RankReport | None]


@attrs.frozen
class _Assignment:
    """The group that a target reported last, and whether it is open."""

    group: str
    is_open: bool


class Membership:
    """Track the groups of services; a silent rank keeps its last group."""

    def __init__(self) -> None:
        """Start without reports."""
        self._by_service: dict[str, dict[str, _Assignment]] = {}

    @property
    def has_closed_group(self) -> bool:
        """Return whether any group is closed."""
        return any(not row.is_open for row in self.rows)

    @property
    def rows(self) -> list[groups.Group]:
        """List the groups of services that have more than one."""
        reports: list[groups.Group] = []
        for assignments in self._by_service.values():
            names = {assignment.group for assignment in assignments.values()}
            if len(names) > 1:
                reports.extend(_groups_of(assignments))
        return reports

    def learn(
        self,
        service: str,
        members: collections.abc.Sequence[ranks.Rank],
        reports: _Reports,
    ) -> None:
        """Record the reports of a service's targets, in the same order."""
        before = self._by_service.get(service, {})
        assignments: dict[str, _Assignment] = {}
        for member, report in zip(members, reports, strict=True):
            if report is not None:
                assignments[member.target] = _Assignment(
                    report.group, report.is_open
                )
                continue
            held = before.get(member.target)
            if held is not None:
                assignments[member.target] = held
        self._by_service[service] = assignments


def _groups_of(assignments: dict[str, _Assignment]) -> list[groups.Group]:
    by_name: dict[str, list[str]] = collections.defaultdict(list)
    closed = set()
    for target, assignment in assignments.items():
        by_name[assignment.group].append(target)
        if not assignment.is_open:
            closed.add(assignment.group)
    return [
        groups.Group(name, frozenset(by_name[name]), name not in closed)
        for name in sorted(by_name)
    ]
