"""Know the targets of each service and choose one for a call."""

from __future__ import annotations

import asyncio
import collections
import collections.abc
import random

import attrs

from tamarackthread.entry.direct import (
    arrivals,
    choosing,
    demands,
    records,
    standing,
    starts,
    target_lines,
)
from tamarackthread.policy import cold_start, concurrency, fleets
from tamarackthread.shared.site import announcements, figures, groups, zones

State = announcements.State

# A target without any word for so many beats counts as silent even if no
# control host says so: the host that heard it last may be gone itself.
BEATS_UNHEARD = 7
SWEEP_SECONDS = 0.5


class Targets:
    """Hold all targets that were announced."""

    def __init__(
        self,
        zone: str,
        beat_seconds: float,
        generator: random.Random,
        shares: cold_start.ColdStartLimits | None = None,
        fleet: fleets.Fleet | None = None,
    ) -> None:
        """Start without targets; ``zone`` is this entry's own.

        ``shares`` bounds what is sent to cold targets; without it nothing does.
        The entries of ``fleet`` share what targets in need take.
        Must be called from within a running loop.
        """
        self._chooser = choosing.Chooser(zone, generator)
        self._standing = standing.Standing(shares, fleet)
        self._unheard = beat_seconds * BEATS_UNHEARD
        self._arrivals = arrivals.Arrivals(beat_seconds)
        self._knows_others = False
        self._untold: list[announcements.Announcement] = []
        self._by_name: dict[str, starts.Start] = {}
        self._paces: dict[str, dict[str, float]] = {}
        # In the order of their first announcement: a set's order differs from
        # process to process, and with it the choice among equals.
        self._by_service: dict[str, dict[str, None]] = collections.defaultdict(
            dict
        )

    def take(self, said: announcements.Announcement) -> None:
        """Take an announcement unless a later one is held."""
        now = asyncio.get_running_loop().time()
        held = self._by_name.get(said.target)
        if held is None:
            self._add(said, now)
            return
        if not said.follows(held.said):
            return
        if said.is_later_start(held.said):
            self._begin_anew(held, said, now)
            return
        said = said.after(held.said)
        if said.state != held.said.state:
            target_lines.tell(attrs.evolve(held.said, state=said.state))
        held.heard_at = now
        if said.state == State.GONE:
            said = attrs.evolve(held.said, state=State.GONE)
        held.said = said

    @property
    def zone_changes(self) -> int:
        """Return how many changes of zones are held."""
        return self._standing.zone_changes

    def learn_zones(self, rows: list[zones.Zone]) -> None:
        """Send nothing to evacuated zones, and work again to those restored."""
        self._standing.learn_zones(rows, self._by_name.values())

    def learn_groups(self, term: int, rows: list[groups.Group]) -> None:
        """Take which targets make a group, as an owner of a term tells."""
        self._standing.learn_groups(term, rows, self._by_name.values())

    def slow(self, source: str, paces: dict[str, float]) -> None:
        """Take the slow targets that one control host knows of.

        Only the owner of a group knows them; what a former owner has said
        ends within seconds, and until then the slower word counts.
        """
        self._paces[source] = paces
        for target in self._by_name.values():
            told = [held.get(target.name, 1) for held in self._paces.values()]
            target.pace = max(told)

    def own_loads(self) -> dict[str, records.Load]:
        """Return this entry's calls, by target, where it has or had any."""
        now = asyncio.get_running_loop().time()
        found: dict[str, records.Load] = {}
        for name, target in self._by_name.items():
            ends = target.record.own(now)
            if not target.own and ends is records.NO_ENDS:
                continue
            found[name] = records.Load(target.own, ends)
        return found

    @property
    def knows_others(self) -> bool:
        """Tell whether the calls of other entries are known."""
        return self._knows_others

    def share(
        self,
        others: collections.abc.Mapping[str, records.Load],
        entries: int = 1,
    ) -> None:
        """Take the calls that all other entries have and had, by target.

        ``entries`` counts those whose calls are in it, this one included.
        """
        self._knows_others = True
        now = asyncio.get_running_loop().time()
        for name, target in self._by_name.items():
            load = others.get(name, records.IDLE)
            target.others = load.calls
            target.record.others = load.ends
        self._judge()
        for service in self._by_service:
            known = self.of_service(service)
            self._standing.demand(service, demands.of(known, entries, now))

    def forget_others(self) -> None:
        """Go by this entry's own calls until others are told of again."""
        self.share({})
        self._knows_others = False

    def crowd(
        self,
        service: str,
        entries: int,
    ) -> concurrency.GroupLoad:
        """Count the calls and the places at the targets of a service.

        An entry that does not know the calls of the others takes it that all
        ``entries`` have as many as itself.
        """
        now = asyncio.get_running_loop().time()
        found = self.of_service(service)
        ready = [
            target
            for target in found
            if target.is_ready(now) and self._standing.has_room(target, now)
        ]
        own = sum(target.own for target in found)
        others = own * max(0, entries - 1)
        if self._knows_others:
            others = sum(target.others for target in found)
        return concurrency.GroupLoad(
            calls=own + others,
            ranks=len(ready),
            slots=sum(target.slots for target in ready),
            pace=max((target.pace for target in ready), default=1),
            own=own,
        )

    def get(self, name: str) -> starts.Start | None:
        """Return a start of a target."""
        return self._by_name.get(name)

    def gone(self, target: starts.Start) -> None:
        """Note that another start of a target answers at the address."""
        target.said = attrs.evolve(target.said, state=State.GONE)
        target_lines.tell(target.said)

    def of_service(self, service: str) -> list[starts.Start]:
        """List the targets of a service, usable or not."""
        return [
            self._by_name[name] for name in self._by_service.get(service, ())
        ]

    def choose(
        self,
        service: str,
        tried: collections.abc.Collection[str],
        left: collections.abc.Collection[str] = (),
    ) -> starts.Start | None:
        """Choose a target for a call, ``None`` if none may get it.

        Targets whose group is closed, or one of those that the call has ``left``,
        get it only if there is no other.
        """
        now = asyncio.get_running_loop().time()
        usable = [
            target
            for target in self.of_service(service)
            if target.name not in tried and self._standing.may_take(target, now)
        ]
        sound = [
            target
            for target in usable
            if target.group not in left and self._standing.is_open(target)
        ]
        return self._chooser.best(
            sound or usable or self._leaving(service, tried, now), now
        )

    def _leaving(
        self,
        service: str,
        tried: collections.abc.Collection[str],
        now: float,
    ) -> list[starts.Start]:
        """List targets that leave and may still get a call."""
        return [
            target
            for target in self.of_service(service)
            if target.name not in tried
            and self._standing.may_take_last(target, now)
        ]

    def rest_seconds(self, service: str) -> float:
        """Return how long all targets of a service want no call, 0 if not all.

        Those that get no call for another reason don't count.
        """
        now = asyncio.get_running_loop().time()
        shortest: float = 0
        for target in self.of_service(service):
            if not self._standing.is_in_service(target):
                continue
            left = target.rest.remaining(now)
            if not left:
                return 0
            shortest = min(shortest or left, left)
        return shortest

    async def run(self) -> None:
        """Sweep for ever."""
        while True:
            await asyncio.sleep(SWEEP_SECONDS)
            self.sweep()

    async def arrival(
        self,
        service: str,
        tried: collections.abc.Collection[str],
        seconds: float,
    ) -> None:
        """Wait for a target that was not tried, while more may be announced."""
        await self._arrivals.wait(lambda: self.choose(service, tried), seconds)

    def sweep(self) -> None:
        """Mark targets that nobody has spoken of for long."""
        target_lines.tell_new(self._untold)
        self._untold = []
        now = asyncio.get_running_loop().time()
        for name, target in tuple(self._by_name.items()):
            quiet = now - target.heard_at
            if target.said.is_leaving and quiet > self._unheard * 4:
                self._forget(name)
                continue
            if target.said.state != State.READY or quiet < self._unheard:
                continue
            target.said = attrs.evolve(target.said, state=State.SILENT)
            target_lines.tell(target.said)
        self._count()

    def _judge(self) -> None:
        """Leave out targets that fail what others of their service answer."""
        now = asyncio.get_running_loop().time()
        for service in self._by_service:
            ready = [
                one for one in self.of_service(service) if one.is_ready(now)
            ]
            by_record = {id(one.record): one for one in ready}
            found = records.judge([one.record for one in ready], now)
            if found:
                target_lines.tell_failing(
                    service, [by_record[id(record)].name for record in found]
                )

    def _count(self) -> None:
        figures.TARGETS.clear()
        figures.TARGETS_ASKING.clear()
        now = asyncio.get_running_loop().time()
        for service in self._by_service:
            for target in self.of_service(service):
                state = target.said.state.name.lower()
                figures.TARGETS.labels(service, state).inc()
                for asked in target.asking(now):
                    figures.TARGETS_ASKING.labels(service, asked).inc()

    def _add(self, said: announcements.Announcement, now: float) -> None:
        group = self._standing.group_of(said.target)
        self._by_name[said.target] = starts.Start(said, now, group=group)
        if said.service:
            self._by_service[said.service][said.target] = None
            self._arrivals.note()
        if said.state == State.READY:
            self._untold.append(said)
        else:
            target_lines.tell(said)

    def _begin_anew(
        self,
        ended: starts.Start,
        said: announcements.Announcement,
        now: float,
    ) -> None:
        """Put a later start in the place of one that has ended.

        Calls that the earlier one had may have run and are lost with it; what
        was held of it, its load, its pauses and its pace, ends with it too.
        """
        ended.said = attrs.evolve(ended.said, state=State.GONE)
        ended.end()
        self._forget(said.target)
        self._add(said, now)

    def _forget(self, name: str) -> None:
        gone = self._by_name.pop(name)
        self._by_service[gone.said.service].pop(name, None)
