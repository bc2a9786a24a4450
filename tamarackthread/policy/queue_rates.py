"""Measure how fast a queue drains, and say when a refused caller may return."""

from __future__ import annotations

import math
import random

import attrs


@attrs.frozen(slots=True, kw_only=True)
class RateSettings:
    """Hold how the drain rate is smoothed, in seconds.

    ``prior_seconds`` is the weight of the capacity that the load reports
    suggest, against the measured rate over ``window_seconds``.
    """

    window_seconds: float = 1.0
    prior_seconds: float = 0.2
    least_retry: float = 0.25
    most_retry: float = 60.0


class DrainMeter:
    """Measure served cost a second over the time that a queue was waiting.

    Idle time isn't counted: it says nothing about how fast a queue drains.
    """

    def __init__(self, settings: RateSettings | None = None) -> None:
        """Start with nothing measured."""
        self._settings = settings or RateSettings()
        self._busy: float = 0
        self._served: float = 0
        self._is_waiting = False
        self._seen_at: float = 0

    def record_served(self, cost: float) -> None:
        """Count the cost of a call that left the waiting queue; 0 unserved."""
        self._served += cost

    def observe(self, is_waiting: bool, now: float) -> None:
        """Note whether the queue waits from now on."""
        passed = now - self._seen_at
        keep = max(0, 1 - passed / self._settings.window_seconds)
        if self._is_waiting:
            self._busy += passed
        self._busy *= keep
        self._served *= keep
        self._is_waiting = is_waiting
        self._seen_at = now

    def rate(self, prior: float, now: float) -> float:
        """Return cost a second; ``prior`` counts while little is measured."""
        weight = self._settings.prior_seconds
        busy = self._busy
        if self._is_waiting:
            busy += now - self._seen_at
        return (self._served + prior * weight) / (busy + weight)

    def is_idle(self, now: float) -> bool:
        """Tell whether nothing has waited for as long as it remembers."""
        if self._is_waiting:
            return False
        return now - self._seen_at > self._settings.window_seconds


class ArrivalMeter:
    """Measure asked cost a second, admitted or not, over the last seconds."""

    def __init__(self, window_seconds: float = 2.0) -> None:
        """Start with nothing asked."""
        self._window = window_seconds
        self._level: float = 0
        self._seen_at: float = 0

    def add(self, cost: float, now: float) -> None:
        """Count a call."""
        self._level = self._faded(now) + cost
        self._seen_at = now

    def rate(self, now: float) -> float:
        """Return cost a second."""
        return self._faded(now) / self._window

    def _faded(self, now: float) -> float:
        return self._level * math.exp((self._seen_at - now) / self._window)


class RetrySchedule:
    """Tell refused callers when to come back.

    Each refusal books the organisation's next free place at its share of the
    drain rate.  One fixed time for all would bring the wave back as a wave.
    """

    def __init__(
        self,
        generator: random.Random,
        settings: RateSettings | None = None,
    ) -> None:
        """Start with no places booked."""
        self._random = generator
        self._settings = settings or RateSettings()
        self._next: dict[str, float] = {}

    def reserve(
        self,
        organisation: str,
        cost: float,
        rate: float,
        wait: float,
        now: float,
    ) -> float:
        """Return seconds until a refused call of ``cost`` should come back.

        ``rate`` is the organisation's share of the drain rate and ``wait``
        the expected wait of the queue now.
        """
        settings = self._settings
        earliest = now + max(settings.least_retry, wait)
        place = max(earliest, self._next.get(organisation, 0))
        if place - now > settings.most_retry:
            half = settings.most_retry / 2
            return half + half * self._random.random()
        self._next[organisation] = place + cost / max(rate, 0.01)
        self._tidy(now)
        spread = 1 + self._random.random() / 4
        return (place - now) * spread

    def _tidy(self, now: float) -> None:
        if len(self._next) < 1024:
            return
        for organisation in list(self._next):
            if self._next[organisation] < now:
                self._next.pop(organisation)
