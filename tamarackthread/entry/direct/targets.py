"""Track the targets of each service and select one for a call."""

from __future__ import annotations

import asyncio
import collections
import collections.abc
import random

import attrs

from tamarackthread.entry.direct import (
    demands,
    discovery,
    eligibility,
    instances,
    outlier_detection,
    selection,
    target_log,
)
from tamarackthread.policy import cold_start, concurrency, known_entries
from tamarackthread.shared.site import (
    announcements,
    site_metrics,
    groups,
    zones,
)

State = announcements.State

# Missed heartbeats after which a target counts as silent, even without word
# from a control host, which may be gone itself.
SILENT_AFTER_BEATS = 7
SWEEP_SECONDS = 0.5


class Targets:
    """Hold all targets that were announced."""

    def __init__(
        self,
        zone: str,
        beat_seconds: float,
        generator: random.Random,
        cold_limits: cold_start.ColdStartLimits | None = None,
        entries: known_entries.KnownEntries | None = None,
    ) -> None:
        """Start without targets; ``zone`` is this entry's own.

        ``cold_limits`` limits calls to cold targets; ``entries`` divide rate
        limits among them.  Needs a running event loop.
        """
        self._selector = selection.TargetSelector(zone, generator)
        self._eligibility = eligibility.Eligibility(cold_limits, entries)
        self._silent_after = beat_seconds * SILENT_AFTER_BEATS
        self._discovery = discovery.InitialDiscovery(beat_seconds)
        self._knows_other_loads = False
        self._unlogged: list[announcements.Announcement] = []
        self._by_name: dict[str, instances.TargetInstance] = {}
        self._paces: dict[str, dict[str, float]] = {}
        # Ordered dicts instead of sets, so that the choice among equals is
        # reproducible.
        self._by_service: dict[str, dict[str, None]] = collections.defaultdict(
            dict
        )

    def take(self, announcement: announcements.Announcement) -> None:
        """Apply an announcement unless a later one is known."""
        now = asyncio.get_running_loop().time()
        current = self._by_name.get(announcement.target)
        if current is None:
            self._add(announcement, now)
            return
        if not announcement.supersedes(current.announcement):
            return
        if announcement.is_later_start(current.announcement):
            self._replace(current, announcement, now)
            return
        announcement = announcement.inherit_start(current.announcement)
        if announcement.state != current.announcement.state:
            target_log.log_state(
                attrs.evolve(current.announcement, state=announcement.state)
            )
        current.announced_at = now
        if announcement.state == State.GONE:
            announcement = attrs.evolve(current.announcement, state=State.GONE)
        current.announcement = announcement

    @property
    def zone_changes(self) -> int:
        """Return the number of zone changes that were applied."""
        return self._eligibility.zone_changes

    def learn_zones(self, rows: list[zones.Zone]) -> None:
        """Stop sending to evacuated zones, and resume for restored ones."""
        self._eligibility.learn_zones(rows, self._by_name.values())

    def learn_groups(self, term: int, rows: list[groups.Group]) -> None:
        """Replace the members of the groups, unless the term is outdated."""
        self._eligibility.learn_groups(term, rows, self._by_name.values())

    def set_paces(self, source: str, paces: dict[str, float]) -> None:
        """Replace the slow targets reported by one control host."""
        # Only the owner of a group reports them.  While reports of a former
        # owner last, the slower pace applies.
        self._paces[source] = paces
        for target in self._by_name.values():
            known_paces = [
                paces_of_host.get(target.name, 1)
                for paces_of_host in self._paces.values()
            ]
            target.pace = max(known_paces)

    def own_loads(self) -> dict[str, outlier_detection.TargetLoad]:
        """Return this entry's load, by target, where it has or had calls."""
        now = asyncio.get_running_loop().time()
        found: dict[str, outlier_detection.TargetLoad] = {}
        for name, target in self._by_name.items():
            outcomes = target.outcomes.own_counts(now)
            if (
                not target.own_calls
                and outcomes is outlier_detection.NO_OUTCOMES
            ):
                continue
            found[name] = outlier_detection.TargetLoad(
                target.own_calls, outcomes
            )
        return found

    @property
    def knows_other_loads(self) -> bool:
        """Tell whether the load of other entries is known."""
        return self._knows_other_loads

    def set_other_loads(
        self,
        others: collections.abc.Mapping[str, outlier_detection.TargetLoad],
        entries: int = 1,
    ) -> None:
        """Replace the load of all other entries, by target.

        ``entries`` counts the entries whose calls are known, this one included.
        """
        self._knows_other_loads = True
        now = asyncio.get_running_loop().time()
        for name, target in self._by_name.items():
            load = others.get(name, outlier_detection.IDLE)
            target.other_calls = load.calls
            target.outcomes.other_counts = load.outcomes
        self._eject_outliers()
        for service in self._by_service:
            known = self.of_service(service)
            self._eligibility.set_demand(
                service, demands.of_entry(known, entries, now)
            )

    def forget_others(self) -> None:
        """Balance by this entry's own calls until the next exchange."""
        self.set_other_loads({})
        self._knows_other_loads = False

    def group_load(
        self,
        service: str,
        entries: int,
    ) -> concurrency.GroupLoad:
        """Count the calls and the slots at the targets of a service."""
        now = asyncio.get_running_loop().time()
        found = self.of_service(service)
        ready = [
            target
            for target in found
            if target.is_ready(now)
            and self._eligibility.has_capacity(target, now)
        ]
        # While the load of other entries is unknown, it is assumed to be like
        # this one's.
        own = sum(target.own_calls for target in found)
        others = own * max(0, entries - 1)
        if self._knows_other_loads:
            others = sum(target.other_calls for target in found)
        return concurrency.GroupLoad(
            calls=own + others,
            ranks=len(ready),
            slots=sum(target.slots for target in ready),
            pace=max((target.pace for target in ready), default=1),
            own=own,
        )

    def get(self, name: str) -> instances.TargetInstance | None:
        """Return the instance of a target, ``None`` if unknown."""
        return self._by_name.get(name)

    def mark_gone(self, target: instances.TargetInstance) -> None:
        """Mark a target whose address now belongs to another instance."""
        target.announcement = attrs.evolve(
            target.announcement, state=State.GONE
        )
        target_log.log_state(target.announcement)

    def is_replaced(self, target: instances.TargetInstance) -> bool:
        """Tell whether a target has ended and another has its address."""
        if target.announcement.state == State.GONE:
            return True
        return any(
            other.announcement.address == target.announcement.address
            and other.announced_at > target.announced_at
            for other in self._by_name.values()
        )

    def of_service(self, service: str) -> list[instances.TargetInstance]:
        """List the targets of a service, usable or not."""
        return [
            self._by_name[name] for name in self._by_service.get(service, ())
        ]

    def choose(
        self,
        service: str,
        tried: collections.abc.Collection[str],
        failed_groups: collections.abc.Collection[str] = (),
    ) -> instances.TargetInstance | None:
        """Choose a target for a call, ``None`` if none may get it."""
        now = asyncio.get_running_loop().time()
        usable = [
            target
            for target in self.of_service(service)
            if target.name not in tried
            and self._eligibility.is_eligible(target, now)
        ]
        # Targets of closed groups, or of groups that failed the call, are a
        # fallback.
        preferred = [
            target
            for target in usable
            if target.group not in failed_groups
            and self._eligibility.is_group_open(target)
        ]
        return self._selector.select(
            preferred or usable or self._draining(service, tried, now), now
        )

    def _draining(
        self,
        service: str,
        tried: collections.abc.Collection[str],
        now: float,
    ) -> list[instances.TargetInstance]:
        """List draining targets that may still get a call."""
        return [
            target
            for target in self.of_service(service)
            if target.name not in tried
            and self._eligibility.is_last_resort(target, now)
        ]

    def cooldown_seconds(self, service: str) -> float:
        """Return the shortest cooldown, 0 unless all targets have one."""
        now = asyncio.get_running_loop().time()
        shortest: float = 0
        for target in self.of_service(service):
            if not self._eligibility.is_in_service(target):
                continue
            left = target.cooldown.remaining(now)
            if not left:
                return 0
            shortest = min(shortest or left, left)
        return shortest

    async def run(self) -> None:
        """Sweep periodically."""
        while True:
            await asyncio.sleep(SWEEP_SECONDS)
            self.sweep()

    async def wait_for_target(
        self,
        service: str,
        tried: collections.abc.Collection[str],
        seconds: float,
    ) -> None:
        """Wait for an untried target while the entry discovers targets."""
        await self._discovery.wait(lambda: self.choose(service, tried), seconds)

    def sweep(self) -> None:
        """Mark silent targets and remove those that are gone."""
        target_log.log_new(self._unlogged)
        self._unlogged = []
        now = asyncio.get_running_loop().time()
        for name, target in tuple(self._by_name.items()):
            silence = now - target.announced_at
            if (
                target.announcement.is_leaving
                and silence > self._silent_after * 4
            ):
                self._forget(name)
                continue
            if (
                target.announcement.state != State.READY
                or silence < self._silent_after
            ):
                continue
            target.announcement = attrs.evolve(
                target.announcement, state=State.SILENT
            )
            target_log.log_state(target.announcement)
        self._count()

    def _eject_outliers(self) -> None:
        """Eject the targets of each service that fail far more than others."""
        now = asyncio.get_running_loop().time()
        for service in self._by_service:
            ready = [
                one for one in self.of_service(service) if one.is_ready(now)
            ]
            by_history = {id(one.outcomes): one for one in ready}
            found = outlier_detection.eject_outliers(
                [one.outcomes for one in ready], now
            )
            if found:
                target_log.log_ejected(
                    service, [by_history[id(history)].name for history in found]
                )

    def _count(self) -> None:
        site_metrics.TARGETS.clear()
        site_metrics.TARGETS_ASKING.clear()
        now = asyncio.get_running_loop().time()
        for service in self._by_service:
            for target in self.of_service(service):
                state = target.announcement.state.name.lower()
                site_metrics.TARGETS.labels(service, state).inc()
                for kind in target.active_backpressure(now):
                    site_metrics.TARGETS_ASKING.labels(service, kind).inc()

    def _add(
        self, announcement: announcements.Announcement, now: float
    ) -> None:
        group = self._eligibility.group_of(announcement.target)
        self._by_name[announcement.target] = instances.TargetInstance(
            announcement, now, group=group
        )
        if announcement.service:
            self._by_service[announcement.service][announcement.target] = None
            self._discovery.note()
        if announcement.state == State.READY:
            self._unlogged.append(announcement)
        else:
            target_log.log_state(announcement)

    def _replace(
        self,
        ended: instances.TargetInstance,
        announcement: announcements.Announcement,
        now: float,
    ) -> None:
        """Replace an instance by a later one, which starts with clean state."""
        ended.announcement = attrs.evolve(ended.announcement, state=State.GONE)
        # Calls of the ended instance are lost and may have run.
        ended.cancel_calls()
        self._forget(announcement.target)
        self._add(announcement, now)

    def _forget(self, name: str) -> None:
        removed = self._by_name.pop(name)
        self._by_service[removed.announcement.service].pop(name, None)
