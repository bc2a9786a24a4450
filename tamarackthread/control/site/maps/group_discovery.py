"""Find the groups of a service in what its ranks report."""

from __future__ import annotations

import asyncio
import collections.abc
import typing

from tamarackthread.control.site.maps import ranks, switching

# With one answer in ten lost, one rank of a hundred is silent as often.
ASKED_TIMES = 3
# All callers of a group wait while it is held, and it is asked for all anew where
# one rank stays silent.
HELD_ASKED_TIMES = 6
_Row = tuple[ranks.Rank, ranks.RankReport]
_Answer = typing.TypeVar('_Answer')


async def fetch_reports(
    asked: ranks.Ranks,
    members: collections.abc.Sequence[ranks.Rank],
) -> list[ranks.RankReport | None]:
    """Ask ranks of themselves, all at once, and the silent ones again."""
    return await ask_all(asked.report, members)


async def ask_all(
    ask: collections.abc.Callable[
        [ranks.Rank], collections.abc.Awaitable[_Answer | None]
    ],
    members: collections.abc.Sequence[ranks.Rank],
    times: int = ASKED_TIMES,
) -> list[_Answer | None]:
    """Ask all ranks at once, and the silent ones again, some ``times``.

    The failure: over a link that loses one packet in twenty one of sixty ranks
    is silent nearly each time.  Whatever needs the answers of all is then not
    done for seconds, although a rank that is asked again answers.
    """
    found: list[_Answer | None] = [None for _ in members]
    for _ in range(times):
        silent = [place for place, row in enumerate(found) if row is None]
        again = await asyncio.gather(*(ask(members[place]) for place in silent))
        for place, row in zip(silent, again, strict=True):
            found[place] = row
    return found


async def refresh(
    asked: ranks.Ranks,
    group: switching.Group,
) -> switching.Group | None:
    """Return a group as it is now, ``None`` unless it is whole and the same."""
    found = await ask_all(asked.report, group.members, HELD_ASKED_TIMES)
    known = [report for report in found if report is not None]
    if len(known) != len(found):
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
    found: list[ranks.RankReport | None],
) -> list[switching.Group]:
    """List the groups of which every rank reports the same epoch."""
    by_epoch: dict[tuple[str, int], dict[int, _Row]] = {}
    for member, report in zip(members, found, strict=True):
        if report is None:
            continue
        rows = by_epoch.setdefault((report.group, report.epoch), {})
        rows[report.rank] = (member, report)
    return [
        _group_of(name, epoch, rows)
        for (name, epoch), rows in by_epoch.items()
        if _is_whole(rows)
    ]


def has_ended(
    group: switching.Group,
    found: list[ranks.RankReport | None],
) -> bool:
    """Tell whether a rank reports that an epoch of a group has ended.

    A rank that is silent says nothing of the kind.
    """
    for report in found:
        if report is None or report.group != group.name:
            continue
        if report.epoch != group.epoch or not report.is_open:
            return True
    return False


def _is_whole(rows: dict[int, _Row]) -> bool:
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
