"""Own the expert maps of a site's groups while this host leads."""

from __future__ import annotations

import asyncio
import collections.abc
import math

from tamarackthread.control.site.maps import (
    group_discovery,
    group_state,
    map_change,
    map_planner,
    membership,
    ranks,
    readings,
    recovery,
    switching,
)
from tamarackthread.shared import offload
from tamarackthread.shared.site import configuration, figures
from tamarackthread.shared.site import groups as site_groups

# Ranks are asked for their reports so often, and those of pressed groups for
# their counts in between.  Demand shifts every two to four seconds and makes
# steps two to three times as long at once, so each tenth of a second until the
# switch is waited for by every caller of the group.
DISCOVERY_SECONDS = 1.0
READ_SECONDS = 0.2
# While steps are short they are timed as often, which costs a report, and counts
# are read half as often: a shift shows in the steps as soon.
CALM_READ_SECONDS = 0.39
# A new owner knows neither the groups nor their demand, and may have been left a
# group that is held.  It looks and reads so often until it knows them: reports
# lag by some tenths of a second, and the first look may tell of before the hold.
EAGER_SECONDS = 0.1
# So long a new owner looks for a hold at least: the lag of reports, and a look.
SETTLE_SECONDS = 0.4
# A group that stays incomplete, because a rank is down, is looked for eagerly so
# long at most after this owner began.
MOST_EAGER_SECONDS = 3.0
# A group that is closed opens again within a second or two, and callers go to others
# until it is seen to be open.
CLOSED_LOOK_SECONDS = 0.3
# Reports that an owner asks for in a second: each takes a third of a millisecond
# of its host, which has the log to keep beside it.
MOST_REPORTS_CALM = 300
MOST_REPORTS_EAGER = 1500
Members = collections.abc.Callable[[str], list[ranks.Rank]]
RecordPace = collections.abc.Callable[[str, float], None]


class Owner:
    """Look at all groups and switch the map of each where that pays.

    Nothing that is done for one group waits for another: each may have one piece
    of ``work`` under way.
    """

    def __init__(
        self,
        asked: ranks.Ranks,
        members: Members,
        record_pace: RecordPace,
        work: offload.Offload,
    ) -> None:
        """Find a service's targets with ``members``; tell how fast they are.

        Plans are made by ``work``, so that heartbeats go on meanwhile.
        """
        self._decider = map_planner.MapPlanner(work)
        self._record_pace = record_pace
        self._ranks = asked
        self._members = members
        self._watched: dict[str, group_state.GroupState] = {}
        self._fences = recovery.OwnerFences()
        self._has_released = False
        self._is_missing = False
        self._asked = 0
        self._busy: set[str] = set()
        self._membership = membership.Membership()
        self._began_at = -math.inf

    @property
    def has_released(self) -> bool:
        """Tell whether the last look found a group held."""
        return self._has_released

    @property
    def discovery_interval(self) -> float:
        """Return how long to wait before the next look.

        After a group was found held its ranks are asked again at once: what
        it waited for is over, and its demand has not been read meanwhile.
        """
        usual, most_reports = self._usual_look()
        return max(usual, self._asked / most_reports)

    def _usual_look(self) -> tuple[float, int]:
        """Return the time between looks, and the most reports a second."""
        owned = asyncio.get_running_loop().time() - self._began_at
        is_eager = self._is_missing and owned < MOST_EAGER_SECONDS
        if self._has_released or is_eager or owned < SETTLE_SECONDS:
            return EAGER_SECONDS, MOST_REPORTS_EAGER
        if self._membership.has_closed_group:
            return CLOSED_LOOK_SECONDS, MOST_REPORTS_EAGER
        return DISCOVERY_SECONDS, MOST_REPORTS_CALM

    @property
    def read_interval(self) -> float:
        """Return how long to wait before the next reading of counts."""
        for known in self._watched.values():
            if known.group is not None and not known.demand.tokens:
                return EAGER_SECONDS
            if known.awaits_demand:
                return EAGER_SECONDS
        return READ_SECONDS

    @property
    def is_outdated(self) -> bool:
        """Tell whether a rank has seen the orders of a later owner."""
        return self._fences.is_outdated

    def reset(self) -> None:
        """Forget what an earlier time as owner has left.

        What it had under way must have ended.
        """
        self._watched = {}
        self._busy = set()
        self._fences = recovery.OwnerFences()
        self._began_at = asyncio.get_running_loop().time()

    @property
    def groups(self) -> list[site_groups.Group]:
        """List the groups of the services that have several."""
        return self._membership.rows

    @property
    def idle(self) -> list[str]:
        """List the groups that have no work under way."""
        return [name for name in self._watched if name not in self._busy]

    async def discover_and_release(
        self,
        services: collections.abc.Iterable[configuration.Service],
        term: int,
    ) -> None:
        """Look at the services' groups and let go those that are held."""
        await self.discover(services)
        held = [name for name in self.idle if self._watched[name].held]
        await asyncio.gather(*(self.reconcile(name, term) for name in held))

    async def reconcile_all(self, term: int) -> None:
        """Do what is due for each group, side by side."""
        await asyncio.gather(
            *(self.reconcile(name, term) for name in self.idle)
        )

    async def discover(
        self,
        services: collections.abc.Iterable[configuration.Service],
    ) -> None:
        """Ask all ranks of the services for reports."""
        self._has_released = False
        self._is_missing = False
        self._asked = 0
        for service in services:
            if service.experts is None:
                continue
            found = await self._find(service.name)
            self._is_missing |= not found
            for group in found:
                known = self._know(service, group)
                known.held = None
                if group.held is None:
                    _see(known, group)
                elif group.name not in self._busy:
                    known.held = group

    async def reconcile(self, name: str, term: int) -> None:
        """Do what is due for one group, as owner of a term.

        A group that is held is let go.  Else the counts of a pressed one are
        read, and its map is switched where that pays.
        """
        known = self._watched.get(name)
        if known is None or name in self._busy:
            return
        # Work of an earlier term ends only after the next one has begun.
        busy = self._busy
        busy.add(name)
        try:
            if known.held is not None:
                await self._release(known, known.held, term)
            elif known.group is not None and await self._presses(known):
                await self._read_group(known, known.group, term)
        finally:
            busy.discard(name)

    async def _read_group(
        self,
        known: group_state.GroupState,
        group: switching.Group,
        term: int,
    ) -> None:
        if not await self._is_due(known, group):
            return
        if not await readings.read_placement(self._ranks, known, group):
            return
        await readings.read_demand(self._ranks, known, group)
        if known.awaits_demand:
            self._alert(known)
        wanted = await self._decider.plan(known, group)
        if wanted is not None:
            await self._switch(known, group, wanted, term)

    def _alert(self, shifted: group_state.GroupState) -> None:
        """Have the other groups of a service read at once.

        Callers are spread over all of them, so demand shifts for all alike.
        """
        for known in self._watched.values():
            if known is not shifted and known.service == shifted.service:
                known.read_at = -math.inf

    async def _presses(self, known: group_state.GroupState) -> bool:
        """Tell whether a group's steps are long, as one rank tells."""
        now = asyncio.get_running_loop().time()
        if known.needs_balancing(now):
            return True
        await map_change.refresh_step_time(self._ranks, known, known.group)
        return known.needs_balancing(now)

    async def _is_due(
        self,
        known: group_state.GroupState,
        group: switching.Group,
    ) -> bool:
        """Tell whether counts are worth reading again.

        While steps are short, nothing has shifted that anybody would feel.
        """
        now = asyncio.get_running_loop().time()
        is_long_ago = known.read_at + CALM_READ_SECONDS <= now
        if is_long_ago or known.awaits_demand:
            known.read_at = now
            return True
        await map_change.refresh_step_time(self._ranks, known, group)
        if (
            known.step_seconds < map_planner.SHORT_STEP_SECONDS
            and known.demand.is_settled
            and not known.is_full
        ):
            return False
        known.read_at = now
        return True

    async def _find(self, service: str) -> list[switching.Group]:
        members = self._members(service)
        self._asked += len(members)
        found = await group_discovery.fetch_reports(self._ranks, members)
        self._membership.learn(service, members, found)
        for member, report in zip(members, found, strict=True):
            if report is not None:
                self._record_pace(member.target, report.pace)
        for known in self._watched.values():
            if known.group is not None and group_discovery.has_ended(
                known.group, found
            ):
                known.group = None
        return group_discovery.complete_groups(members, found)

    async def _release(
        self,
        known: group_state.GroupState,
        group: switching.Group,
        term: int,
    ) -> None:
        loop = asyncio.get_running_loop()
        known.held = None
        step = group.held
        if step is None or known.is_stale_hold(step, loop.time()):
            return
        if await recovery.complete_switch(
            self._ranks, self._fences, term, group, step
        ):
            known.record_release(step, loop.time())
        self._has_released = True

    def _know(
        self,
        service: configuration.Service,
        group: switching.Group,
    ) -> group_state.GroupState:
        known = self._watched.get(group.name)
        if known is None:
            known = group_state.GroupState(
                service.experts, service=service.name
            )
            self._watched[group.name] = known
        known.shape = service.experts
        known.gap = service.gap
        if service.passes is not None:
            known.min_step = service.passes.empty
        return known

    async def _switch(
        self,
        known: group_state.GroupState,
        group: switching.Group,
        wanted: ranks.GroupMap,
        term: int,
    ) -> None:
        switcher = switching.Switcher(self._ranks, self._fences.current(term))
        change = map_change.MapChange(self._ranks, switcher, known, group)
        version = known.next_version(term * recovery.FENCES_PER_TERM)
        is_sound = await change.run(version, wanted)
        self._fences.observe(switcher)
        if not is_sound:
            # A copy of an arm that got no answer may still be carried out, and
            # would switch one rank alone once the group was let go.  What
            # brings this switch to its end has a higher fence, which every
            # rank is given first, so that they refuse such a copy.
            self._fences.advance()


def _see(known: group_state.GroupState, group: switching.Group) -> None:
    # Reports lag by different times, so that right after a switch some
    # ranks seem to have the map before it.
    if group.armed is not None or group.has_mixed_versions:
        return
    known.update(group, asyncio.get_running_loop().time())
    figures.STEP_SECONDS.labels(group.name).set(known.step_seconds)
