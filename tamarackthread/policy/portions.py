"""Split an organisation's cap among the entries that see its calls.

Control leases each entry a portion.  What is leased out never adds up to more
than the cap, so a portion shrinks at once and grows only once the others have
renewed or lost theirs.
"""

from __future__ import annotations

import collections.abc

import attrs

# Shared evenly, so that an entry where demand appears has something to start
# with before its first report.
EVEN_SHARE = 0.1
# Kept back for entries whose portion has lapsed.
RESERVE_SHARE = 0.1


def split(
    cap: float,
    demands: collections.abc.Mapping[str, float],
) -> dict[str, float]:
    """Split a cap in units a second by demand in the same units."""
    total = sum(demands.values())
    return {
        node: portion_of(cap, demand, total, len(demands))
        for node, demand in demands.items()
    }


def portion_of(
    cap: float,
    demand: float,
    total: float,
    nodes: int,
) -> float:
    """Give one of ``nodes`` its part of a cap, by its part of the demand."""
    leased = cap * (1 - RESERVE_SHARE)
    even = leased * EVEN_SHARE / nodes
    weight = demand / total if total > 0 else 1 / nodes
    return even + (leased - even * nodes) * weight


def safe_share(cap: float, entries: int) -> float:
    """Give the rate that an entry may use once its portion has lapsed."""
    return cap * RESERVE_SHARE / max(entries, 1)


@attrs.frozen
class _Lease:
    demand: float
    rate: float
    ends_at: float


class _Organisation:
    """Hold one organisation's portions and their sums.

    Portions all run equally long, so the order of renewal is the order of
    their ends.  The sums are kept, because adding up hundreds of entries at
    each of their requests would grow with their square.
    """

    def __init__(self) -> None:
        self._leased: dict[str, _Lease] = {}
        self._demand: float = 0
        self._rate: float = 0

    def expire(self, now: float) -> None:
        """Drop what has ended."""
        while self._leased:
            node = next(iter(self._leased))
            if self._leased[node].ends_at > now:
                return
            self.drop(node)

    def drop(self, node: str) -> None:
        """Drop a node's portion, if it has one."""
        old = self._leased.pop(node, None)
        if old is None:
            return
        self._demand -= old.demand
        self._rate -= old.rate
        if not self._leased:
            # Sums of many small steps drift; an empty table is exactly none.
            self._demand = 0
            self._rate = 0

    def put(self, node: str, leased: _Lease) -> None:
        """Lease a node its portion, as the newest one."""
        self._leased[node] = leased
        self._demand += leased.demand
        self._rate += leased.rate

    def portion_for(self, cap: float, demand: float) -> float:
        """Give what ``split`` gives a further node with this demand."""
        return portion_of(
            cap,
            demand,
            self._demand + demand,
            len(self._leased) + 1,
        )

    @property
    def rate(self) -> float:
        """Give what is leased out, in units a second."""
        return self._rate


class PortionTable:
    """Hold the portions that are leased out; times are the caller's clock."""

    def __init__(self, lease_seconds: float, began_at: float) -> None:
        """Start at ``began_at`` without knowing what was leased before."""
        self._lease_seconds = lease_seconds
        self._began_at = began_at
        self._organisations: dict[str, _Organisation] = {}

    def lease(
        self,
        organisation: str,
        node: str,
        cap: float,
        demand: float,
        used: float,
        now: float,
    ) -> float:
        """Lease a node its portion and give the rate in units a second.

        In the first lease time nobody gets more than it has been using:
        portions of the leader before are still in use.
        """
        held = self._organisations.setdefault(organisation, _Organisation())
        held.expire(now)
        held.drop(node)
        left = max(cap * (1 - RESERVE_SHARE) - held.rate, 0)
        rate = min(held.portion_for(cap, demand), left)
        if now < self._began_at + self._lease_seconds:
            rate = min(rate, used)
        held.put(node, _Lease(demand, rate, now + self._lease_seconds))
        return rate
