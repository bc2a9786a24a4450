"""Own the expert maps of a site's groups while this host leads."""

from __future__ import annotations

import asyncio
import collections.abc
import logging

import attrs

from tamarackthread.control.site.maps import demand, ranks, switching
from tamarackthread.policy import evening
from tamarackthread.shared import log_events
from tamarackthread.shared.site import configuration, figures

# The experts in demand change every three to four seconds; looking at least
# three times in that finds a change while most of it is still ahead.
LOOK_SECONDS = 1.0
# Ranks whose counts are read at each look.  Calls are spread evenly, so a
# third of the ranks shows the demand of all; each reading is charged for and
# rests the group.
SAMPLE_SHARE = 0.34
# Counts read at one look.  A reading rests the whole group by half a
# millisecond for each 400 counts; with large groups a third of the ranks would
# rest it for longer than the pause that callers of a stream take.
MOST_COUNTS = 1200
# A switch pays where the busiest rank has this much more than the mean and the
# group has work; below, the copies cost more than the steps they shorten.
LEAST_SKEW = 1.45
LEAST_GAIN = 0.25
# A pass that is shorter than this delays nobody, however uneven its ranks are:
# about half of the pause that callers of a stream take without notice.  With
# 0.055 a calm day had half as many copies again, with no caller served better.
LONG_STEP_SECONDS = 0.066
# Calls a rank that keep a group busy enough for a switch to pay.
LEAST_RUNNING = 0.8
# A look at what has been copied, up to the time at which a rank must have it.
PREPARED_LOOK_SECONDS = 0.2
PREPARED_SECONDS = 4.0
# Time from the look at the step to the switch: the report's lag, the orders'
# way there and back, and one second try.
AHEAD_SECONDS = 0.45
# Before a step was timed, a group is taken for pressed: a new owner would else
# need one look more until it can plan.
ASSUMED_STEP_SECONDS = 0.07
# A term has this many fences, one more for each switch that is taken back.
FENCES_OF_TERM = 1000
_log = logging.getLogger('tamarackthread.control')

Members = collections.abc.Callable[[str], list[ranks.Rank]]
NotePace = collections.abc.Callable[[str, float], None]


@attrs.define(eq=False)
class _Known:
    """Be what this owner knows of one group."""

    epoch: int = -1
    version: int = -1
    placement: ranks.GroupMap = ()
    demand: demand.Demand = attrs.field(factory=demand.Demand)
    step_epoch: int = -1
    step: int = 0
    step_at: float = 0
    step_seconds: float = ASSUMED_STEP_SECONDS


class Owner:
    """Look at each group in turn and switch its map where that pays."""

    def __init__(
        self,
        asked: ranks.Ranks,
        members: Members,
        note_pace: NotePace,
    ) -> None:
        """Find a service's targets with ``members``; tell how fast they are."""
        self._note_pace = note_pace
        self._ranks = asked
        self._members = members
        self._known: dict[str, _Known] = {}
        self._taken_back = 0

    def begin(self) -> None:
        """Forget what an earlier time as owner has left."""
        self._known = {}
        self._taken_back = 0

    async def look(
        self,
        services: collections.abc.Iterable[configuration.Service],
        term: int,
    ) -> None:
        """Look once at each group of the services, as owner of a term."""
        for service in services:
            if service.experts is None:
                continue
            for group in await self._groups(service.name):
                await self._tend(service.experts, group, term)

    async def _groups(self, service: str) -> list[switching.Group]:
        """Find the groups of which every rank reports the same epoch."""
        members = self._members(service)
        reports = await asyncio.gather(
            *(self._ranks.report(member) for member in members)
        )
        by_epoch: dict[tuple[str, int], dict[int, _Row]] = {}
        for member, report in zip(members, reports, strict=True):
            if report is None:
                continue
            self._note_pace(member.target, report.pace)
            rows = by_epoch.setdefault((report.group, report.epoch), {})
            rows[report.rank] = (member, report)
        return [
            _group_of(name, epoch, rows)
            for (name, epoch), rows in by_epoch.items()
            if _is_whole(rows)
        ]

    async def _tend(
        self,
        shape: configuration.Experts,
        group: switching.Group,
        term: int,
    ) -> None:
        if group.held is not None:
            await self._bring_to_end(group, group.held, term)
            return
        if group.armed is not None:
            return
        known = self._known.setdefault(group.name, _Known())
        self._learn_step(known, group)
        if not _is_pressed(known, group):
            return
        if not await self._learn_placement(known, group):
            return
        await self._learn_demand(shape, known, group)
        wanted = await self._plan(shape, known, group)
        if wanted is not None:
            switcher = switching.Switcher(self._ranks, self._fence(term))
            await self._switch(switcher, known, group, wanted)

    def _fence(self, term: int) -> int:
        """Give the fence in use: higher with each term and each taking back."""
        return term * FENCES_OF_TERM + self._taken_back

    async def _bring_to_end(
        self,
        group: switching.Group,
        step: int,
        term: int,
    ) -> None:
        """Bring to its end what an earlier owner, or a late order, left."""
        _log.warning('control: group %s is held at %d', group.name, step)
        switcher = switching.Switcher(self._ranks, self._fence(term))
        if not await switcher.fence(group, step):
            return
        await asyncio.sleep(switching.LAG_SECONDS)
        reports = await asyncio.gather(
            *(self._ranks.report(member) for member in group.members)
        )
        if None in reports or any(
            report.epoch != group.epoch for report in reports
        ):
            return
        group = attrs.evolve(group, reports=tuple(reports))
        if group.armed is None:
            await switcher.go(group, step, group.members)
            return
        if await switcher.finish(group, group.armed, group.members):
            return
        self._taken_back += 1
        higher = switching.Switcher(self._ranks, self._fence(term))
        is_back = await higher.take_back(group, group.armed)
        _log.warning(
            'control: the switch of group %s at step %d was %s',
            group.name,
            step,
            'taken back' if is_back else 'left to the next look',
        )

    def _learn_step(self, known: _Known, group: switching.Group) -> None:
        now = asyncio.get_running_loop().time()
        steps = group.step - known.step
        if known.step_epoch == group.epoch and steps > 0:
            known.step_seconds = (now - known.step_at) / steps
        known.step_epoch = group.epoch
        known.step = group.step
        known.step_at = now
        figures.STEP_SECONDS.labels(group.name).set(known.step_seconds)

    async def _learn_placement(
        self,
        known: _Known,
        group: switching.Group,
    ) -> bool:
        """Read the map in force unless this owner has put it there."""
        is_known = (known.epoch, known.version) == (group.epoch, group.version)
        if is_known:
            return True
        found = await asyncio.gather(
            *(self._ranks.placement(member) for member in group.members)
        )
        if None in found or len({row[0] for row in found}) != 1:
            return False
        known.epoch = group.epoch
        known.version = found[0][0]
        by_rank = [row[1] for row in found]
        known.placement = tuple(
            tuple(experts) for experts in zip(*by_rank, strict=True)
        )
        return True

    async def _learn_demand(
        self,
        shape: configuration.Experts,
        known: _Known,
        group: switching.Group,
    ) -> None:
        count = round(len(group.members) * SAMPLE_SHARE)
        each = shape.sets * shape.experts
        count = max(1, min(count, MOST_COUNTS // each))
        # The same ranks each time: a rank counts from its second reading on.
        sample = group.members[:count]
        found = await asyncio.gather(
            *(
                self._ranks.counts(member, len(known.placement))
                for member in sample
            )
        )
        known.demand.take(
            {
                member.target: counts
                for member, counts in zip(sample, found, strict=True)
                if counts is not None
            }
        )

    async def _plan(
        self,
        shape: configuration.Experts,
        known: _Known,
        group: switching.Group,
    ) -> ranks.GroupMap | None:
        """Return a better map, ``None`` where none pays."""
        tokens = known.demand.tokens
        if not tokens:
            return None
        paces = [report.pace for report in group.reports]
        now = _skew_of(known.placement, tokens, paces)
        if now < LEAST_SKEW:
            return None
        bounds = evening.Bounds(shape.places, shape.spare)
        # In a thread, so that heartbeats of the log go on meanwhile.
        wanted = await asyncio.to_thread(
            _plan_sets, known.placement, tokens, bounds, paces
        )
        planned = _skew_of(wanted, tokens, paces)
        figures.GROUP_SKEW.labels(group.name).set(now)
        _log.info(
            'control: group %s is uneven by %.2f, a map of %d copies has %.2f',
            group.name,
            now,
            _copies(known.placement, wanted),
            planned,
        )
        return wanted if now - planned >= LEAST_GAIN else None

    async def _switch(
        self,
        switcher: switching.Switcher,
        known: _Known,
        group: switching.Group,
        wanted: ranks.GroupMap,
    ) -> None:
        version = group.newest_version + 1
        if not await switcher.prepare(group, version, wanted):
            return
        ready = await self._prepared(group, version)
        if ready is None:
            return
        self._learn_step(known, ready)
        step = ready.step + 2 + int(AHEAD_SECONDS / known.step_seconds)
        if not await switcher.switch(ready, version, step):
            return
        known.version = version
        known.placement = wanted
        figures.MAP_SWITCHES.inc()
        log_events.tell(
            _log,
            log_events.Event.MAP,
            'control: group %s switches to map %d at step %d',
            group.name,
            version,
            step,
            group=group.name,
            map_version=version,
            step=step,
            step_ms=round(known.step_seconds * 1000),
        )

    async def _prepared(
        self,
        group: switching.Group,
        version: int,
    ) -> switching.Group | None:
        """Wait until every rank has a version whole."""
        loop = asyncio.get_running_loop()
        until = loop.time() + PREPARED_SECONDS
        while loop.time() < until:
            await asyncio.sleep(PREPARED_LOOK_SECONDS)
            reports = await asyncio.gather(
                *(self._ranks.report(member) for member in group.members)
            )
            found = [report for report in reports if report is not None]
            if any(report.epoch != group.epoch for report in found):
                return None
            if len(found) == len(reports) and all(
                report.prepared == version for report in found
            ):
                return attrs.evolve(group, reports=tuple(found))
        return None


_Row = tuple[ranks.Rank, ranks.RankReport]


def _is_whole(rows: dict[int, _Row]) -> bool:
    sizes = {report.size for _, report in rows.values()}
    if len(sizes) != 1 or sorted(rows) != list(range(sizes.pop())):
        return False
    versions = {report.version for _, report in rows.values()}
    is_open = all(report.is_open for _, report in rows.values())
    return is_open and len(versions) == 1


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


def _is_pressed(known: _Known, group: switching.Group) -> bool:
    """Tell whether evener ranks would be felt by anybody.

    Reading counts rests the group and is charged for, so it is left where
    passes are short or hardly anybody waits for them.
    """
    if known.step_seconds < LONG_STEP_SECONDS:
        return False
    busy = sum(report.running + report.waiting for report in group.reports)
    return busy >= LEAST_RUNNING * len(group.members)


def _skew_of(
    placement: ranks.GroupMap,
    tokens: list[list[float]],
    paces: list[float],
) -> float:
    """Return the mean over the sets: each set's busiest rank is waited for."""
    found = [
        evening.skew(held, counts, paces)
        for held, counts in zip(placement, tokens, strict=True)
    ]
    return sum(found) / max(1, len(found))


def _plan_sets(
    placement: ranks.GroupMap,
    tokens: list[list[float]],
    bounds: evening.Bounds,
    paces: list[float],
) -> ranks.GroupMap:
    return tuple(
        evening.even(held, counts, bounds, paces)
        for held, counts in zip(placement, tokens, strict=True)
    )


def _copies(before: ranks.GroupMap, after: ranks.GroupMap) -> int:
    return sum(
        evening.copies(old, new) for old, new in zip(before, after, strict=True)
    )
