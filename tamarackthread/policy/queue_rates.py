"""Measure drain and arrival rates and schedule the retries of refused calls."""

from __future__ import annotations

import math
import random

import attrs


@attrs.frozen(slots=True, kw_only=True)
class RateSettings:
    """Hold the smoothing of rates and the bounds of retries, in seconds."""

    window_seconds: float = 1.0
    # Weight of the rate estimated from load reports.
    prior_seconds: float = 0.2
    min_retry: float = 0.25
    max_retry: float = 60.0


class DrainMeter:
    """Measure the cost served a second while a queue isn't empty."""

    def __init__(self, settings: RateSettings | None = None) -> None:
        """Start without measurements."""
        self._settings = settings or RateSettings()
        self._busy_seconds: float = 0
        self._served_cost: float = 0
        self._is_waiting = False
        self._seen_at: float = 0

    def record_served(self, cost: float) -> None:
        """Add the cost of a call that left the queue, 0 if it wasn't served."""
        self._served_cost += cost

    def observe(self, is_waiting: bool, now: float) -> None:
        """Record whether calls wait in the queue from now on."""
        passed = now - self._seen_at
        keep = max(0, 1 - passed / self._settings.window_seconds)
        if self._is_waiting:
            self._busy_seconds += passed
        self._busy_seconds *= keep
        self._served_cost *= keep
        self._is_waiting = is_waiting
        self._seen_at = now

    def rate(self, prior: float, now: float) -> float:
        """Return the cost a second, blended with the rate ``prior``."""
        weight = self._settings.prior_seconds
        busy = self._busy_seconds
        if self._is_waiting:
            busy += now - self._seen_at
        return (self._served_cost + prior * weight) / (busy + weight)

    def is_idle(self, now: float) -> bool:
        """Tell whether nothing has waited for a whole window."""
        if self._is_waiting:
            return False
        return now - self._seen_at > self._settings.window_seconds


class ArrivalMeter:
    """Measure the cost a second of arriving calls, decayed exponentially."""

    def __init__(self, window_seconds: float = 2.0) -> None:
        """Start without arrivals."""
        self._window = window_seconds
        self._level: float = 0
        self._seen_at: float = 0

    def add(self, cost: float, now: float) -> None:
        """Add the cost of a call."""
        self._level = self._decayed(now) + cost
        self._seen_at = now

    def rate(self, now: float) -> float:
        """Return the cost a second."""
        return self._decayed(now) / self._window

    def _decayed(self, now: float) -> float:
        return self._level * math.exp((self._seen_at - now) / self._window)


class RetrySchedule:
    """Spread the retries of refused calls to avoid a retry storm."""

    # One fixed time for all would bring a wave of callers back as a wave.

    def __init__(
        self,
        generator: random.Random,
        settings: RateSettings | None = None,
    ) -> None:
        """Start without reservations."""
        self._random = generator
        self._settings = settings or RateSettings()
        self._next_free_at: dict[str, float] = {}

    def reserve(
        self,
        organisation: str,
        cost: float,
        rate: float,
        wait: float,
        now: float,
    ) -> float:
        """Reserve a retry at cost ``rate`` a second; return seconds to it."""
        settings = self._settings
        earliest = now + max(settings.min_retry, wait)
        retry_at = max(earliest, self._next_free_at.get(organisation, 0))
        if retry_at - now > settings.max_retry:
            half_limit = settings.max_retry / 2
            return half_limit + half_limit * self._random.random()
        self._next_free_at[organisation] = retry_at + cost / max(rate, 0.01)
        self._evict_expired(now)
        jitter = 1 + self._random.random() / 4
        return (retry_at - now) * jitter

    def _evict_expired(self, now: float) -> None:
        if len(self._next_free_at) < 1024:
            return
        for organisation in list(self._next_free_at):
            if self._next_free_at[organisation] < now:
                self._next_free_at.pop(organisation)
