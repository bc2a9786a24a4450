"""Limit the rate of organisations by leased portions of their caps.

Control leases each entry a portion.  After expiry an entry falls back to a
safe rate, so that entries cut off from control together keep to the cap.
"""

from __future__ import annotations

import collections.abc

import attrs


class TokenBucket:
    """A token bucket of ``rate`` units a second and a bounded burst."""

    def __init__(self, rate: float, burst: float, now: float) -> None:
        """Start full; ``burst`` is the capacity in units."""
        self._rate = rate
        self._burst = burst
        self._level = burst
        self._filled_at = now

    @property
    def rate(self) -> float:
        """Return the rate in units a second."""
        return self._rate

    def set_rate(self, rate: float, burst: float, now: float) -> None:
        """Change the rate and the burst; excess tokens are dropped."""
        self._fill(now)
        self._rate = rate
        self._burst = burst
        self._level = min(self._level, burst)

    def take(self, cost: float, now: float) -> float:
        """Take ``cost`` units; return 0, or the seconds until available.

        A full bucket allows a cost above the burst and goes negative;
        otherwise the call could never pass.
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
        """Return the units of a call that did not run."""
        self._level = min(self._burst, self._level + cost)

    def _fill(self, now: float) -> None:
        passed = max(0, now - self._filled_at)
        self._level = min(self._burst, self._level + passed * self._rate)
        self._filled_at = now


@attrs.frozen(slots=True, kw_only=True)
class PortionSettings:
    """Hold the burst and the smoothing of portions, in seconds and units.

    ``burst_seconds`` bounds the burst to that many seconds of the rate;
    ``demand_seconds`` is the smoothing window of the reported demand.
    """

    burst_seconds: float = 1.0
    least_burst: float = 1.0
    demand_seconds: float = 2.0


class Portion:
    """One entry's portion of one organisation's cap."""

    def __init__(
        self,
        safe_rate: float,
        now: float,
        settings: PortionSettings | None = None,
    ) -> None:
        """Start at ``safe_rate``, in units a second."""
        self._settings = settings or PortionSettings()
        self._safe_rate = safe_rate
        self._lease_ends_at = now
        self._bucket = TokenBucket(safe_rate, self._burst(safe_rate), now)
        self._demanded: float = 0
        self._used: float = 0
        self._last_measured_at = now
        self._demand: float = 0
        self._use: float = 0

    @property
    def rate(self) -> float:
        """Return the current rate in units a second."""
        return self._bucket.rate

    @property
    def safe_rate(self) -> float:
        """Return the rate after the lease has expired."""
        return self._safe_rate

    @safe_rate.setter
    def safe_rate(self, rate: float) -> None:
        self._safe_rate = rate

    def grant(self, rate: float, asked_at: float, lease: float) -> None:
        """Apply a lease of ``lease`` seconds, counted from the request.

        Counted from the reply, it would outlast the lease held by control.
        """
        self._lease_ends_at = asked_at + lease
        self._bucket.set_rate(rate, self._burst(rate), asked_at)

    def take(self, cost: float, now: float) -> float:
        """Take ``cost`` units; return 0, or the seconds until available."""
        self._expire_lease(now)
        self._demanded += cost
        wait = self._bucket.take(cost, now)
        if not wait:
            self._used += cost
        return wait

    def refund(self, cost: float) -> None:
        """Return the units of a call that did not run."""
        self._used -= cost
        self._bucket.refund(cost)

    def measure(self, now: float) -> tuple[float, float]:
        """Return the smoothed demand and use, in units a second."""
        passed = now - self._last_measured_at
        if passed > 0:
            weight = min(1, passed / self._settings.demand_seconds)
            self._demand += (self._demanded / passed - self._demand) * weight
            self._use += (self._used / passed - self._use) * weight
            self._demanded = 0
            self._used = 0
            self._last_measured_at = now
        return self._demand, self._use

    def _expire_lease(self, now: float) -> None:
        if now < self._lease_ends_at or self._bucket.rate == self._safe_rate:
            return
        rate = min(self._safe_rate, self._bucket.rate)
        self._bucket.set_rate(rate, self._burst(rate), now)

    def _burst(self, rate: float) -> float:
        settings = self._settings
        return max(settings.least_burst, rate * settings.burst_seconds)


class Portions:
    """One entry's portions of all capped organisations."""

    def __init__(self, settings: PortionSettings | None = None) -> None:
        """Start without any caps."""
        self._settings = settings or PortionSettings()
        self._portions: dict[str, Portion] = {}

    def set_cap(self, organisation: str, safe_rate: float, now: float) -> None:
        """Cap an organisation at ``safe_rate`` until a portion is leased."""
        self._portions[organisation] = Portion(safe_rate, now, self._settings)

    def set_caps(
        self,
        safe_rates: collections.abc.Mapping[str, float],
        now: float,
    ) -> None:
        """Replace the set of capped organisations; leased portions stay."""
        for removed in set(self._portions).difference(safe_rates):
            self.remove_cap(removed)
        for organisation, safe_rate in safe_rates.items():
            known = self._portions.get(organisation)
            if known is None:
                self.set_cap(organisation, safe_rate, now)
            else:
                known.safe_rate = safe_rate

    def remove_cap(self, organisation: str) -> None:
        """Remove the cap of an organisation."""
        self._portions.pop(organisation, None)

    def organisations(self) -> list[str]:
        """List the capped organisations."""
        return sorted(self._portions)

    def find(self, organisation: str) -> Portion | None:
        """Return the organisation's portion, or ``None`` without a cap."""
        return self._portions.get(organisation)
