"""Limit organisations by leased portions of their caps.

Control hosts split an organisation's cap among the entries and lease each
its portion.  An entry never asks at a call.  A lapsed portion falls to a safe
share, so that entries cut off from control together stay under the cap.
"""

from __future__ import annotations

import collections.abc

import attrs


class TokenBucket:
    """Allow ``rate`` units a second with a bounded burst."""

    def __init__(self, rate: float, burst: float, now: float) -> None:
        """Start full; ``burst`` is in units."""
        self._rate = rate
        self._burst = burst
        self._level = burst
        self._filled_at = now

    @property
    def rate(self) -> float:
        """Return the units that are allowed each second."""
        return self._rate

    def set_rate(self, rate: float, burst: float, now: float) -> None:
        """Change the rate from now on; what was saved up stays bounded."""
        self._fill(now)
        self._rate = rate
        self._burst = burst
        self._level = min(self._level, burst)

    def take(self, cost: float, now: float) -> float:
        """Take ``cost`` units; return 0, or the seconds until they are there.

        A cost above the burst is let through by a full bucket, which then
        owes the rest; otherwise it could never pass.
        """
        self._fill(now)
        needed = min(cost, self._burst)
        if self._level >= needed:
            self._level -= cost
            return 0
        if not self._rate:
            return float('inf')
        return (needed - self._level) / self._rate

    def refund(self, cost: float) -> None:
        """Return units of a call that was then not run."""
        self._level = min(self._burst, self._level + cost)

    def _fill(self, now: float) -> None:
        passed = max(0, now - self._filled_at)
        self._level = min(self._burst, self._level + passed * self._rate)
        self._filled_at = now


@attrs.frozen(slots=True, kw_only=True)
class PortionSettings:
    """Hold how portions behave.

    ``burst_seconds`` is how much of its portion an entry may save up;
    ``demand_seconds`` smooths the demand that it reports.
    """

    burst_seconds: float = 1.0
    least_burst: float = 1.0
    demand_seconds: float = 2.0


class Portion:
    """Keep one entry's portion of one organisation's cap."""

    def __init__(
        self,
        safe_rate: float,
        now: float,
        settings: PortionSettings | None = None,
    ) -> None:
        """Start on the safe share, in units a second."""
        self._settings = settings or PortionSettings()
        self._safe_rate = safe_rate
        self._lease_until = now
        self._bucket = TokenBucket(safe_rate, self._burst(safe_rate), now)
        self._asked: float = 0
        self._used: float = 0
        self._measured_at = now
        self._demand: float = 0
        self._use: float = 0

    @property
    def rate(self) -> float:
        """Return the rate in force as of the last call."""
        return self._bucket.rate

    @property
    def safe_rate(self) -> float:
        """Return the rate to which a lapsed portion falls."""
        return self._safe_rate

    @safe_rate.setter
    def safe_rate(self, rate: float) -> None:
        self._safe_rate = rate

    def grant(self, rate: float, asked_at: float, lease: float) -> None:
        """Take a leased portion; the lease counts from when it was asked for.

        Counting from the answer would let the entry use its portion after
        control has given it to another.
        """
        self._lease_until = asked_at + lease
        self._bucket.set_rate(rate, self._burst(rate), asked_at)

    def take(self, cost: float, now: float) -> float:
        """Take ``cost`` units; return 0, or the seconds until they are there."""
        self._lapse(now)
        self._asked += cost
        wait = self._bucket.take(cost, now)
        if not wait:
            self._used += cost
        return wait

    def refund(self, cost: float) -> None:
        """Return units of a call that was then not run."""
        self._used -= cost
        self._bucket.refund(cost)

    def measure(self, now: float) -> tuple[float, float]:
        """Return the smoothed demand and use since start, in units a second."""
        passed = now - self._measured_at
        if passed > 0:
            mix = min(1, passed / self._settings.demand_seconds)
            self._demand += (self._asked / passed - self._demand) * mix
            self._use += (self._used / passed - self._use) * mix
            self._asked = 0
            self._used = 0
            self._measured_at = now
        return self._demand, self._use

    def _lapse(self, now: float) -> None:
        if now < self._lease_until or self._bucket.rate == self._safe_rate:
            return
        rate = min(self._safe_rate, self._bucket.rate)
        self._bucket.set_rate(rate, self._burst(rate), now)

    def _burst(self, rate: float) -> float:
        settings = self._settings
        return max(settings.least_burst, rate * settings.burst_seconds)


class Portions:
    """Keep an entry's portions of all capped organisations."""

    def __init__(self, settings: PortionSettings | None = None) -> None:
        """Start without caps."""
        self._settings = settings or PortionSettings()
        self._portions: dict[str, Portion] = {}

    def set_cap(self, organisation: str, safe_rate: float, now: float) -> None:
        """Cap an organisation; ``safe_rate`` is its cap split evenly."""
        self._portions[organisation] = Portion(safe_rate, now, self._settings)

    def set_caps(
        self,
        safe_rates: collections.abc.Mapping[str, float],
        now: float,
    ) -> None:
        """Cap just these organisations; a portion that is leased stays."""
        for gone in set(self._portions).difference(safe_rates):
            self.remove_cap(gone)
        for organisation, safe_rate in safe_rates.items():
            known = self._portions.get(organisation)
            if known is None:
                self.set_cap(organisation, safe_rate, now)
            else:
                known.safe_rate = safe_rate

    def remove_cap(self, organisation: str) -> None:
        """Stop limiting an organisation."""
        self._portions.pop(organisation, None)

    def organisations(self) -> list[str]:
        """List the capped organisations."""
        return sorted(self._portions)

    def find(self, organisation: str) -> Portion | None:
        """Return the organisation's portion, or ``None`` without a cap."""
        return self._portions.get(organisation)
