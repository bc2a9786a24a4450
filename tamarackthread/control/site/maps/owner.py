"""Balance the expert maps of a site's groups while this host owns them."""

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
from tamarackthread.shared.site import configuration, site_metrics
from tamarackthread.shared.site import groups as site_groups

# Intervals at which groups are discovered and, under load, their counts are read.
# Demand shifts every few seconds, and all callers wait until the map follows.
DISCOVERY_SECONDS = 1.0
READ_SECONDS = 0.2
# Interval of readings while steps are short.  Step times, which are checked more
# often, show a shift as soon and are cheaper to read.
SHORT_STEP_READ_SECONDS = 0.39
# Interval while a new owner lacks groups or demand: it may have taken over a held
# group, and reports lag, so the first ones may predate the hold.
FAST_INTERVAL_SECONDS = 0.1
# Minimum duration of the fast interval after a start, to cover the lag of reports.
MIN_FAST_SECONDS = 0.4
# Maximum duration of the fast interval while a group stays incomplete.
MAX_FAST_SECONDS = 3.0
# Interval while a group is closed: its callers use other groups until it is seen
# to have reopened.
CLOSED_DISCOVERY_SECONDS = 0.3
# Reports requested per second, normally and in the fast interval, which bound the
# processor time that discovery takes from the consensus log.
MAX_REPORTS_PER_SECOND = 300
MAX_FAST_REPORTS_PER_SECOND = 1500
Members = collections.abc.Callable[[str], list[ranks.Rank]]
RecordPace = collections.abc.Callable[[str, float], None]


class Owner:
    """Release held groups and balance maps, for each group independently."""

    def __init__(
        self,
        client: ranks.Ranks,
        members: Members,
        record_pace: RecordPace,
        work: offload.Offload,
    ) -> None:
        """Plan in ``work``; report each target's pace to ``record_pace``."""
        self._planner = map_planner.MapPlanner(work)
        self._record_pace = record_pace
        self._ranks = client
        self._members = members
        self._states: dict[str, group_state.GroupState] = {}
        self._fences = recovery.OwnerFences()
        self._has_released = False
        self._has_incomplete_service = False
        self._report_count = 0
        self._busy: set[str] = set()
        self._membership = membership.Membership()
        self._started_at = -math.inf

    @property
    def has_released(self) -> bool:
        """Return whether a held group was found since the last discovery."""
        return self._has_released

    @property
    def discovery_interval(self) -> float:
        """Return the seconds until the next discovery, few after a release."""
        interval, max_reports = self._base_interval()
        return max(interval, self._report_count / max_reports)

    def _base_interval(self) -> tuple[float, int]:
        """Return the interval and the maximum number of reports per second."""
        owned_seconds = asyncio.get_running_loop().time() - self._started_at
        is_fast = (
            self._has_incomplete_service and owned_seconds < MAX_FAST_SECONDS
        )
        if self._has_released or is_fast or owned_seconds < MIN_FAST_SECONDS:
            return FAST_INTERVAL_SECONDS, MAX_FAST_REPORTS_PER_SECOND
        if self._membership.has_closed_group:
            return CLOSED_DISCOVERY_SECONDS, MAX_FAST_REPORTS_PER_SECOND
        return DISCOVERY_SECONDS, MAX_REPORTS_PER_SECOND

    @property
    def read_interval(self) -> float:
        """Return the seconds until the next reading of counts."""
        for state in self._states.values():
            if state.group is not None and not state.demand.tokens:
                return FAST_INTERVAL_SECONDS
            if state.awaits_demand:
                return FAST_INTERVAL_SECONDS
        return READ_SECONDS

    @property
    def is_outdated(self) -> bool:
        """Return whether a rank has seen a later owner's orders."""
        return self._fences.is_outdated

    def reset(self) -> None:
        """Discard the state of an earlier ownership, whose tasks must be done."""
        self._states = {}
        self._busy = set()
        self._fences = recovery.OwnerFences()
        self._started_at = asyncio.get_running_loop().time()

    @property
    def groups(self) -> list[site_groups.Group]:
        """List the groups of the services that have several."""
        return self._membership.rows

    @property
    def idle(self) -> list[str]:
        """List the groups that are not being reconciled."""
        return [name for name in self._states if name not in self._busy]

    async def discover_and_release(
        self,
        services: collections.abc.Iterable[configuration.Service],
        term: int,
    ) -> None:
        """Discover the services' groups and release those that are held."""
        await self.discover(services)
        held = [name for name in self.idle if self._states[name].held]
        await asyncio.gather(*(self.reconcile(name, term) for name in held))

    async def reconcile_all(self, term: int) -> None:
        """Reconcile all idle groups concurrently."""
        await asyncio.gather(
            *(self.reconcile(name, term) for name in self.idle)
        )

    async def discover(
        self,
        services: collections.abc.Iterable[configuration.Service],
    ) -> None:
        """Update the groups from the reports of all ranks of the services."""
        self._has_released = False
        self._has_incomplete_service = False
        self._report_count = 0
        for service in services:
            if service.experts is None:
                continue
            found = await self._discover_service(service.name)
            self._has_incomplete_service |= not found
            for group in found:
                state = self._state_of(service, group)
                state.held = None
                if group.held is None:
                    _update_state(state, group)
                elif group.name not in self._busy:
                    state.held = group

    async def reconcile(self, name: str, term: int) -> None:
        """Release the group if it is held, else rebalance it if that pays off."""
        state = self._states.get(name)
        if state is None or name in self._busy:
            return
        # A cancelled task may end after ``reset`` has replaced the set.
        busy = self._busy
        busy.add(name)
        try:
            if state.held is not None:
                await self._release(state, state.held, term)
            elif state.group is not None and await self._needs_balancing(state):
                await self._rebalance(state, state.group, term)
        finally:
            busy.discard(name)

    async def _rebalance(
        self,
        state: group_state.GroupState,
        group: switching.Group,
        term: int,
    ) -> None:
        if not await self._is_read_due(state, group):
            return
        if not await readings.read_placement(self._ranks, state, group):
            return
        await readings.read_demand(self._ranks, state, group)
        if state.awaits_demand:
            self._expedite_others(state)
        new_map = await self._planner.plan(state, group)
        if new_map is not None:
            await self._switch(state, group, new_map, term)

    def _expedite_others(self, shifted: group_state.GroupState) -> None:
        """Let other groups of the service be read at once: all demand shifts."""
        for state in self._states.values():
            if state is not shifted and state.service == shifted.service:
                state.read_at = -math.inf

    async def _needs_balancing(self, state: group_state.GroupState) -> bool:
        """Return whether the group needs balancing, by a fresh report."""
        now = asyncio.get_running_loop().time()
        if state.needs_balancing(now):
            return True
        await map_change.refresh_step_time(self._ranks, state, state.group)
        return state.needs_balancing(now)

    async def _is_read_due(
        self,
        state: group_state.GroupState,
        group: switching.Group,
    ) -> bool:
        """Return whether to read the counts, which short steps make needless."""
        now = asyncio.get_running_loop().time()
        is_long_ago = state.read_at + SHORT_STEP_READ_SECONDS <= now
        if is_long_ago or state.awaits_demand:
            state.read_at = now
            return True
        await map_change.refresh_step_time(self._ranks, state, group)
        if (
            state.step_seconds < map_planner.SHORT_STEP_SECONDS
            and state.demand.is_settled
            and not state.is_full
        ):
            return False
        state.read_at = now
        return True

    async def _discover_service(self, service: str) -> list[switching.Group]:
        members = self._members(service)
        self._report_count += len(members)
        found = await group_discovery.fetch_reports(self._ranks, members)
        self._membership.learn(service, members, found)
        for member, report in zip(members, found, strict=True):
            if report is not None:
                self._record_pace(member.target, report.pace)
        for state in self._states.values():
            if state.group is not None and group_discovery.has_ended(
                state.group, found
            ):
                state.group = None
        return group_discovery.complete_groups(members, found)

    async def _release(
        self,
        state: group_state.GroupState,
        group: switching.Group,
        term: int,
    ) -> None:
        loop = asyncio.get_running_loop()
        state.held = None
        step = group.held
        if step is None or state.is_stale_hold(step, loop.time()):
            return
        if await recovery.complete_switch(
            self._ranks, self._fences, term, group, step
        ):
            state.record_release(step, loop.time())
        self._has_released = True

    def _state_of(
        self,
        service: configuration.Service,
        group: switching.Group,
    ) -> group_state.GroupState:
        state = self._states.get(group.name)
        if state is None:
            state = group_state.GroupState(
                service.experts, service=service.name
            )
            self._states[group.name] = state
        state.shape = service.experts
        state.gap = service.gap
        if service.passes is not None:
            state.min_step = service.passes.empty
        return state

    async def _switch(
        self,
        state: group_state.GroupState,
        group: switching.Group,
        new_map: ranks.GroupMap,
        term: int,
    ) -> None:
        switcher = switching.Switcher(self._ranks, self._fences.current(term))
        change = map_change.MapChange(self._ranks, switcher, state, group)
        version = state.next_version(term * recovery.FENCES_PER_TERM)
        is_safe = await change.run(version, new_map)
        self._fences.observe(switcher)
        if not is_safe:
            # An unanswered arm order may still be carried out, and would switch
            # a single rank after the release.  A higher fence makes ranks refuse.
            self._fences.advance()


def _update_state(
    state: group_state.GroupState, group: switching.Group
) -> None:
    # Reports lag by different times: just after a switch they may disagree on
    # the version.
    if group.armed is not None or group.has_mixed_versions:
        return
    state.update(group, asyncio.get_running_loop().time())
    site_metrics.STEP_SECONDS.labels(group.name).set(state.step_seconds)
