"""Decide which targets may get calls: zones, groups, rate limits, warm-up."""

from __future__ import annotations

import asyncio
import collections.abc

from tamarackthread.entry.direct import instances, target_log
from tamarackthread.policy import cold_start, known_entries, rate_limit
from tamarackthread.shared.site import groups, zones

# Targets of a restored zone count as cold for this long, since any may have
# turned cold after its last announcement.
RESTORED_COLD_SECONDS = 10.0

# Within this time, a target that drains still gets the calls that no other
# target of its service can take.
DRAINING_GRACE_SECONDS = 1.0

_Instances = collections.abc.Iterable[instances.TargetInstance]


class Eligibility:
    """Track evacuated zones, groups, rate limits and cold targets."""

    def __init__(
        self,
        cold_limits: cold_start.ColdStartLimits | None = None,
        entries: known_entries.KnownEntries | None = None,
    ) -> None:
        """Start with every target in service.

        ``cold_limits`` limits calls to cold targets; ``entries`` divide rate
        limits among them.
        """
        self._cold_limits = cold_limits
        self._entries = entries
        self._demands: dict[str, rate_limit.Demand] = {}
        self._zones = zones.Zones()
        self._groups = groups.Groups()

    @property
    def zone_changes(self) -> int:
        """Return the number of zone changes that were applied."""
        return self._zones.changes

    def learn_zones(self, rows: list[zones.Zone], known: _Instances) -> None:
        """Stop sending to evacuated zones, and resume for restored ones."""
        changes_before = self._zones.changes
        restored = set()
        for row in rows:
            was_evacuated = self._zones.is_evacuated(row.name)
            if (
                self._zones.learn(row)
                and was_evacuated
                and not row.is_evacuated
            ):
                restored.add(row.name)
        warm_at = asyncio.get_running_loop().time() + RESTORED_COLD_SECONDS
        for target in known:
            if target.announcement.zone in restored:
                target.cold_until = warm_at
        if self._zones.changes > changes_before:
            target_log.log_zones(self._zones)

    def learn_groups(
        self,
        term: int,
        rows: list[groups.Group],
        known: _Instances,
    ) -> None:
        """Replace the members of the groups, unless the term is outdated."""
        if not self._groups.learn(term, rows):
            return
        for target in known:
            target.group = self._groups.group_of(target.name)
        target_log.log_groups(self._groups)

    def group_of(self, target: str) -> str:
        """Return the name of a target's group, empty if unknown."""
        return self._groups.group_of(target)

    def is_eligible(self, target: instances.TargetInstance, now: float) -> bool:
        """Tell whether a target may get a call now."""
        if not self.is_in_service(target) or not target.cooldown.allows_call(
            now
        ):
            return False
        if not self._is_within_limit(target, now):
            return False
        if self._cold_limits is None or not target.is_cold(now):
            return True
        max_calls = self._cold_limits.max_calls(
            target.announcement.service, target.name
        )
        recent = target.sent.count_within(now, cold_start.WINDOW_SECONDS)
        return max_calls is None or recent < max_calls

    def set_demand(
        self, service: str, demand: rate_limit.Demand | None
    ) -> None:
        """Set this entry's share of a service's calls."""
        self._demands[service] = demand or rate_limit.SOLE_ENTRY

    def is_in_service(self, target: instances.TargetInstance) -> bool:
        """Tell whether a target neither drains nor is in an evacuated zone."""
        return not (target.is_draining or self._is_evacuated(target))

    def is_group_open(self, target: instances.TargetInstance) -> bool:
        """Tell whether a target's group makes passes, as far as known."""
        return self._groups.is_open(target.group)

    def has_capacity(
        self, target: instances.TargetInstance, now: float
    ) -> bool:
        """Tell whether the slots of a target count as capacity."""
        if not self.is_in_service(target) or target.cooldown.remaining(now):
            return False
        return self.is_group_open(target) and self._is_within_limit(target, now)

    def is_last_resort(
        self, target: instances.TargetInstance, now: float
    ) -> bool:
        """Tell whether a target that drains may get a call as a last resort."""
        if target.announcement.is_leaving or not target.draining_since:
            return False
        if self._is_evacuated(target):
            return False
        is_over = now - target.draining_since >= DRAINING_GRACE_SECONDS
        if is_over or not target.cooldown.allows_call(now):
            return False
        return self._is_within_limit(target, now)

    def _is_within_limit(
        self, target: instances.TargetInstance, now: float
    ) -> bool:
        if target.limit.rate is None:
            return True
        demand = self._demands.get(
            target.announcement.service, rate_limit.SOLE_ENTRY
        )
        share = rate_limit.EntryShare(demand, 1, 0)
        if self._entries is not None:
            share = rate_limit.EntryShare(
                demand,
                self._entries.count(),
                self._entries.position(target.name),
            )
        return target.limit.allows(target.sent, share, now)

    def _is_evacuated(self, target: instances.TargetInstance) -> bool:
        return self._zones.is_evacuated(target.announcement.zone)
