"""Shed load while the event loop of this process lags."""

from __future__ import annotations

import asyncio

import attrs

from tamarackthread.policy import calls, refusals


@attrs.frozen(slots=True, kw_only=True)
class OverloadSettings:
    """Hold the limits of lag and open calls; times are in seconds."""

    period: float = 0.05
    smoothing: float = 0.3
    max_lag: float = 0.05
    max_urgent_lag: float = 0.25
    max_calls: int = 4000
    # Open calls allowed beyond ``max_calls`` while a new one is urgent.
    extra_urgent_calls: int = 400
    retry_after: float = 1.0


class LagMeter:
    """Measure how late the event loop runs its timers."""

    def __init__(self, settings: OverloadSettings | None = None) -> None:
        """Start with no lag measured."""
        self._settings = settings or OverloadSettings()
        self._lag: float = 0
        self._due_at: float | None = None

    @property
    def lag(self) -> float:
        """Return the smoothed lag in seconds."""
        return self._lag

    async def run(self) -> None:
        """Measure until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            self.expect(loop.time() + self._settings.period)
            await asyncio.sleep(self._settings.period)
            self.observe(loop.time())

    def expect(self, due_at: float) -> None:
        """Note when the next measurement is due."""
        self._due_at = due_at

    def observe(self, now: float) -> None:
        """Take a measurement; a rise counts at once, a fall is smoothed."""
        if self._due_at is None:
            return
        late = max(0, now - self._due_at)
        if late > self._lag:
            self._lag = late
            return
        self._lag += (late - self._lag) * self._settings.smoothing

    def current(self, now: float) -> float:
        """Return the lag, including that of an overdue measurement."""
        if self._due_at is None:
            return self._lag
        return max(self._lag, now - self._due_at)


class OverloadGuard:
    """Refuse calls while this process is overloaded."""

    def __init__(
        self,
        meter: LagMeter,
        settings: OverloadSettings | None = None,
    ) -> None:
        """Decide by the lag that ``meter`` measures."""
        self._meter = meter
        self._settings = settings or OverloadSettings()

    def check(self, call: calls.CallFacts, open_calls: int, now: float) -> None:
        """Raise ``EntryOverloaded`` if the call is to be shed."""
        settings = self._settings
        max_lag = settings.max_lag
        max_calls = settings.max_calls
        if call.priority == calls.Priority.URGENT:
            max_lag = settings.max_urgent_lag
            max_calls += settings.extra_urgent_calls
        lag = self._meter.current(now)
        if lag > max_lag or open_calls >= max_calls:
            raise refusals.EntryOverloaded(
                f'loop lag {lag:.3f} s, {open_calls} calls open',
                retry_after=settings.retry_after,
            )
