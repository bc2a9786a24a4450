"""Lease entries portions of a rate cap that never sum to more than it."""

from __future__ import annotations

import collections.abc

import attrs

# Split evenly, so that an entry has capacity before it reports any demand.
EVEN_SHARE = 0.1
# Reserved for entries whose lease has expired.
RESERVE_SHARE = 0.1


def split(
    cap: float,
    demands: collections.abc.Mapping[str, float],
) -> dict[str, float]:
    """Split a cap by demand; both are in units a second."""
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
    """Return the portion of one of ``nodes`` by its share of the demand."""
    leased = cap * (1 - RESERVE_SHARE)
    even = leased * EVEN_SHARE / nodes
    weight = demand / total if total > 0 else 1 / nodes
    return even + (leased - even * nodes) * weight


def safe_share(cap: float, entries: int) -> float:
    """Return the rate of an entry whose lease has expired."""
    return cap * RESERVE_SHARE / max(entries, 1)


@attrs.frozen
class _Lease:
    demand: float
    rate: float
    ends_at: float


class _Organisation:
    """Hold one organisation's leases and their running sums."""

    # All leases have the same length, so insertion order is expiry order.
    # Sums are kept, since adding up hundreds of entries at each of their
    # requests would grow with the square of their number.

    def __init__(self) -> None:
        self._leases: dict[str, _Lease] = {}
        self._demand: float = 0
        self._rate: float = 0

    def expire(self, now: float) -> None:
        """Drop the leases that have expired."""
        while self._leases:
            node = next(iter(self._leases))
            if self._leases[node].ends_at > now:
                return
            self.drop(node)

    def drop(self, node: str) -> None:
        """Drop a node's lease, if it has one."""
        old = self._leases.pop(node, None)
        if old is None:
            return
        self._demand -= old.demand
        self._rate -= old.rate
        if not self._leases:
            # Resets the rounding errors of the running sums.
            self._demand = 0
            self._rate = 0

    def add(self, node: str, leased: _Lease) -> None:
        """Add a lease, the last one to expire."""
        self._leases[node] = leased
        self._demand += leased.demand
        self._rate += leased.rate

    def portion_for(self, cap: float, demand: float) -> float:
        """Return the portion of one more node with this demand."""
        return portion_of(
            cap,
            demand,
            self._demand + demand,
            len(self._leases) + 1,
        )

    @property
    def rate(self) -> float:
        """Return the sum of the leased rates, in units a second."""
        return self._rate


class PortionTable:
    """Hold the leased portions; times are on the caller's clock."""

    def __init__(self, lease_seconds: float, began_at: float) -> None:
        """Start at ``began_at`` without the leases of an earlier leader."""
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
        """Lease a node its portion; return the rate in units a second."""
        held = self._organisations.setdefault(organisation, _Organisation())
        held.expire(now)
        held.drop(node)
        unleased = max(cap * (1 - RESERVE_SHARE) - held.rate, 0)
        rate = min(held.portion_for(cap, demand), unleased)
        # Leases of an earlier leader may still be in use.
        if now < self._began_at + self._lease_seconds:
            rate = min(rate, used)
        held.add(node, _Lease(demand, rate, now + self._lease_seconds))
        return rate
