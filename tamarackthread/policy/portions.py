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
    if not demands:
        return {}
    leased = cap * (1 - RESERVE_SHARE)
    even = leased * EVEN_SHARE / len(demands)
    by_demand = leased - even * len(demands)
    total = sum(demands.values())
    portions = {}
    for node, demand in demands.items():
        weight = demand / total if total > 0 else 1 / len(demands)
        portions[node] = even + by_demand * weight
    return portions


def safe_share(cap: float, entries: int) -> float:
    """Give the rate that an entry may use once its portion has lapsed."""
    return cap * RESERVE_SHARE / max(entries, 1)


@attrs.frozen
class _Leased:
    demand: float
    rate: float
    ends_at: float


class PortionTable:
    """Hold the portions that are leased out; times are the caller's clock."""

    def __init__(self, lease_seconds: float, began_at: float) -> None:
        """Start at ``began_at`` without knowing what was leased before."""
        self._lease_seconds = lease_seconds
        self._began_at = began_at
        self._leased: dict[str, dict[str, _Leased]] = {}

    def ask(
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
        nodes = self._live(organisation, now)
        demands = {name: leased.demand for name, leased in nodes.items()}
        demands[node] = demand
        wanted = split(cap, demands)[node]
        others = sum(
            leased.rate for name, leased in nodes.items() if name != node
        )
        rate = min(wanted, max(cap * (1 - RESERVE_SHARE) - others, 0))
        if now < self._began_at + self._lease_seconds:
            rate = min(rate, used)
        nodes[node] = _Leased(demand, rate, now + self._lease_seconds)
        return rate

    def _live(self, organisation: str, now: float) -> dict[str, _Leased]:
        nodes = self._leased.setdefault(organisation, {})
        for name, leased in tuple(nodes.items()):
            if leased.ends_at <= now:
                nodes.pop(name)
        return nodes
