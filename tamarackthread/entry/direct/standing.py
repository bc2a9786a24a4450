"""Tell which targets may get work, by what operators and owners of maps say."""

from __future__ import annotations

import asyncio
import collections.abc

from tamarackthread.entry.direct import starts, target_lines
from tamarackthread.policy import cold_start, fleets, rate_limit
from tamarackthread.shared.site import groups, zones

# The targets of a zone that is taken back are taken for cold for so long, whatever
# they last said: one may have turned cold after its last announcement.
RESTORED_SECONDS = 10.0

# A target whose answers say that it leaves goes on for some seconds; within this
# time it may still get calls that no other target of its service can take.
LAST_SECONDS = 1.0

_Starts = collections.abc.Iterable[starts.Start]


class Standing:
    """Hold evacuated zones, groups, and what cold targets take."""

    def __init__(
        self,
        shares: cold_start.ColdStartLimits | None = None,
        fleet: fleets.Fleet | None = None,
    ) -> None:
        """Begin with every target in service.

        ``shares`` bounds what is sent to cold targets; without it nothing does.
        The entries of ``fleet`` share what targets in need take; without it this
        entry is the only one.
        """
        self._shares = shares
        self._fleet = fleet
        self._demands: dict[str, rate_limit.Demand] = {}
        self._zones = zones.Zones()
        self._groups = groups.Groups()

    @property
    def zone_changes(self) -> int:
        """Return how many changes of zones are held."""
        return self._zones.changes

    def learn_zones(self, rows: list[zones.Zone], known: _Starts) -> None:
        """Send nothing to evacuated zones, and work again to those restored."""
        before = self._zones.changes
        restored = set()
        for row in rows:
            was = self._zones.is_evacuated(row.name)
            if self._zones.learn(row) and was and not row.is_evacuated:
                restored.add(row.name)
        warm_at = asyncio.get_running_loop().time() + RESTORED_SECONDS
        for target in known:
            if target.said.zone in restored:
                target.cold_until = warm_at
        if self._zones.changes > before:
            target_lines.tell_zones(self._zones)

    def learn_groups(
        self,
        term: int,
        rows: list[groups.Group],
        known: _Starts,
    ) -> None:
        """Take which targets make a group, as an owner of a term tells."""
        if not self._groups.learn(term, rows):
            return
        for target in known:
            target.group = self._groups.of(target.name)
        target_lines.tell_groups(self._groups)

    def group_of(self, target: str) -> str:
        """Return the name of a target's group, empty if unknown."""
        return self._groups.of(target)

    def may_take(self, target: starts.Start, now: float) -> bool:
        """Tell whether a target may get a call now."""
        if not self.is_in_service(target) or not target.rest.allows_call(now):
            return False
        if not self._is_within_limit(target, now):
            return False
        if self._shares is None or not target.is_cold(now):
            return True
        most = self._shares.max_calls(target.said.service, target.name)
        lately = target.sent.count_within(now, cold_start.WINDOW_SECONDS)
        return most is None or lately < most

    def demand(self, service: str, found: rate_limit.Demand | None) -> None:
        """Take how much of a service's calls this entry has."""
        self._demands[service] = found or rate_limit.SOLE_ENTRY

    def is_in_service(self, target: starts.Start) -> bool:
        """Tell whether a target neither leaves nor is in an evacuated zone."""
        return not (target.is_leaving or self._is_evacuated(target))

    def is_open(self, target: starts.Start) -> bool:
        """Tell whether a target's group makes passes, for all that is known."""
        return self._groups.is_open(target.group)

    def has_room(self, target: starts.Start, now: float) -> bool:
        """Tell whether a target's places count as room for calls."""
        if not self.is_in_service(target) or target.rest.remaining(now):
            return False
        return self.is_open(target) and self._is_within_limit(target, now)

    def may_take_last(self, target: starts.Start, now: float) -> bool:
        """Tell whether a target that leaves may get a call nobody else takes."""
        if target.said.is_leaving or not target.leaving_at:
            return False
        if self._is_evacuated(target):
            return False
        is_late = now - target.leaving_at >= LAST_SECONDS
        if is_late or not target.rest.allows_call(now):
            return False
        return self._is_within_limit(target, now)

    def _is_within_limit(self, target: starts.Start, now: float) -> bool:
        if target.limit.rate is None:
            return True
        demand = self._demands.get(target.said.service, rate_limit.SOLE_ENTRY)
        part = rate_limit.EntryShare(demand, 1, 0)
        if self._fleet is not None:
            part = rate_limit.EntryShare(
                demand,
                self._fleet.count(),
                self._fleet.place(target.name),
            )
        return target.limit.allows(target.sent, part, now)

    def _is_evacuated(self, target: starts.Start) -> bool:
        return self._zones.is_evacuated(target.said.zone)
