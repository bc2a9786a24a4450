"""Find the complete groups among the reports of a service's ranks."""

from __future__ import annotations

import asyncio
import collections.abc
import typing

from tamarackthread.control.site.maps import ranks, switching

# With 10 % of answers lost, about 0.1 % of ranks stay silent after three attempts.
MAX_ATTEMPTS = 3
# More attempts for a held group: its callers wait, and if one rank stays silent,
# the reports of all are discarded.
HELD_MAX_ATTEMPTS = 6
_Row = tuple[ranks.Rank, ranks.RankReport]
_Answer = typing.TypeVar('_Answer')


async def fetch_reports(
    client: ranks.Ranks,
    members: collections.abc.Sequence[ranks.Rank],
) -> list[ranks.RankReport | None]:
    """Fetch the reports of all ranks concurrently, retrying silent ones."""
    return await ask_all(client.report, members)


async def ask_all(
    ask: collections.abc.Callable[
        [ranks.Rank], collections.abc.Awaitable[_Answer | None]
    ],
    members: collections.abc.Sequence[ranks.Rank],
    attempts: int = MAX_ATTEMPTS,
) -> list[_Answer | None]:
    """Ask all ranks concurrently, retrying silent ones up to ``attempts``."""
    answers: list[_Answer | None] = [None for _ in members]
    for _ in range(attempts):
        silent = [index for index, row in enumerate(answers) if row is None]
        retried = await asyncio.gather(
            *(ask(members[index]) for index in silent)
        )
        for index, row in zip(silent, retried, strict=True):
            answers[index] = row
    return answers


async def refresh(
    client: ranks.Ranks,
    group: switching.Group,
) -> switching.Group | None:
    """Return the group's current state, ``None`` if incomplete or replaced."""
    answers = await ask_all(client.read_back, group.members, HELD_MAX_ATTEMPTS)
    known = [report for report in answers if report is not None]
    if len(known) != len(answers):
        return None
    if any(report.epoch != group.epoch for report in known):
        return None
    return switching.Group(
        name=group.name,
        epoch=group.epoch,
        members=group.members,
        reports=tuple(known),
    )


def complete_groups(
    members: list[ranks.Rank],
    answers: list[ranks.RankReport | None],
) -> list[switching.Group]:
    """List the groups of which all ranks report the same epoch as open."""
    by_epoch: dict[tuple[str, int], dict[int, _Row]] = {}
    for member, report in zip(members, answers, strict=True):
        if report is None:
            continue
        rows = by_epoch.setdefault((report.group, report.epoch), {})
        rows[report.rank] = (member, report)
    return [
        _group_of(name, epoch, rows)
        for (name, epoch), rows in by_epoch.items()
        if _is_complete(rows)
    ]


def has_ended(
    group: switching.Group,
    answers: list[ranks.RankReport | None],
) -> bool:
    """Return whether any rank reports that this epoch of the group is over."""
    for report in answers:
        if report is None or report.group != group.name:
            continue
        if report.epoch != group.epoch or not report.is_open:
            return True
    return False


def _is_complete(rows: dict[int, _Row]) -> bool:
    sizes = {report.size for _, report in rows.values()}
    if len(sizes) != 1 or sorted(rows) != list(range(sizes.pop())):
        return False
    return all(report.is_open for _, report in rows.values())


def _group_of(
    name: str,
    epoch: int,
    rows: dict[int, _Row],
) -> switching.Group:
    ordered = [rows[rank] for rank in sorted(rows)]
    return switching.Group(
        name=name,
        epoch=epoch,
        members=tuple(row[0] for row in ordered),
        reports=tuple(row[1] for row in ordered),
    )
