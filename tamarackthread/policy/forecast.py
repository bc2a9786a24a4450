"""Forecast the tokens of each expert from late reports.

Three simple forecasts run side by side for each layer and the one with the
smallest recent error is used: the smoothed level, the level with a damped
trend, and the level turned by what yesterday did after this hour.
"""

from __future__ import annotations

import abc
import collections

import attrs
import numpy

_DAY_SECONDS = 86400.0
_TINY = 1e-9


@attrs.frozen
class ForecastSettings:
    """Hold the constants of a forecast; times are in seconds."""

    window_seconds: float = 300.0
    level_weight: float = 1
    trend_weight: float = 0.3
    trend_damping: float = 0.8
    error_weight: float = 0.2
    day_strength: float = 0.5
    day_smoothing: int = 6
    max_error: float = 0.25
    max_valid_seconds: float = 3600.0


@attrs.frozen(eq=False)
class LoadForecast:
    """A forecast: expected share of tokens and how long to trust it."""

    shares: numpy.ndarray
    valid_seconds: float


class Model(abc.ABC):
    """Predict the share of tokens some windows ahead."""

    @abc.abstractmethod
    def update(self, shares: numpy.ndarray, window: int) -> None:
        """Take one window's shares; windows may have gaps between them."""

    @abc.abstractmethod
    def predict(self, ahead: float) -> numpy.ndarray:
        """Return shares ``ahead`` windows after the last update."""


class LevelModel(Model):
    """Expect the smoothed level to stay."""

    def __init__(self, weight: float) -> None:
        """Set the weight of the newest window, between 0 and 1."""
        self._weight = weight
        self.level: numpy.ndarray | None = None

    def update(self, shares: numpy.ndarray, window: int) -> None:
        """Smooth the new window into the level."""
        if self.level is None:
            self.level = shares
            return
        self.level = self.level + self._weight * (shares - self.level)

    def predict(self, ahead: float) -> numpy.ndarray:
        """Return the level."""
        assert self.level is not None
        return self.level


class TrendModel(Model):
    """Expect the level to go on as it went, with a fading trend."""

    def __init__(self, settings: ForecastSettings) -> None:
        """Start without a level."""
        self._settings = settings
        self._level: numpy.ndarray | None = None
        self._trend: numpy.ndarray | float = 0
        self._window = 0

    def update(self, shares: numpy.ndarray, window: int) -> None:
        """Smooth level and trend, spreading a gap over its windows."""
        if self._level is None:
            self._level = shares
            self._window = window
            return
        gap = max(1, window - self._window)
        expected = self._level + self._trend * self._reach(gap)
        weight = self._settings.level_weight
        level = expected + weight * (shares - expected)
        slope = (level - self._level) / gap
        pull = self._settings.trend_weight
        self._trend = self._trend + pull * (slope - self._trend)
        self._level = level
        self._window = window

    def predict(self, ahead: float) -> numpy.ndarray:
        """Return the level moved along the damped trend."""
        assert self._level is not None
        moved = self._level + self._trend * self._reach(ahead)
        return numpy.maximum(moved, self._level / 4)

    def _reach(self, ahead: float) -> float:
        damping = self._settings.trend_damping
        return damping * (1 - damping**ahead) / (1 - damping)


class DayModel(Model):
    """Expect the change that followed this hour on the day before.

    The level carries the slow turn of the season; only the ratio between two
    times of yesterday is taken over, damped, and never more than twofold.
    Both times are means of the windows around, since a single window's
    wandering does not come again.
    """

    def __init__(self, settings: ForecastSettings) -> None:
        """Start with no day known."""
        self._settings = settings
        self._level = LevelModel(settings.level_weight)
        self._period = round(_DAY_SECONDS / settings.window_seconds)
        self._windows: dict[int, numpy.ndarray] = {}
        self._window = 0

    def update(self, shares: numpy.ndarray, window: int) -> None:
        """Keep the window for tomorrow and forget the day before."""
        self._level.update(shares, window)
        self._windows[window] = shares.astype(numpy.float32)
        self._window = window
        for old in list(self._windows):
            if old >= window - self._period - self._settings.day_smoothing:
                break
            self._windows.pop(old)

    def predict(self, ahead: float) -> numpy.ndarray:
        """Return the level turned by yesterday's change."""
        level = self._level.predict(ahead)
        then = self._window - self._period
        before = self._around(then)
        after = self._around(then + round(ahead))
        if before is None or after is None:
            return level
        ratio = (after + _TINY) / (before + _TINY)
        return level * ratio.clip(0.5, 2) ** self._settings.day_strength

    def _around(self, window: int) -> numpy.ndarray | None:
        reach = self._settings.day_smoothing
        numbers = range(window - reach, window + reach + 1)
        found = [self._windows.get(number) for number in numbers]
        known = [shares for shares in found if shares is not None]
        if len(known) <= reach:
            return None
        return numpy.mean(known, axis=0)


class Forecaster:
    """Forecast one group; fed with windows as reports come in, late."""

    def __init__(self, settings: ForecastSettings) -> None:
        """Start cold: nothing is known until the first window."""
        self._settings = settings
        self._models: tuple[Model, ...] = (
            LevelModel(settings.level_weight),
            TrendModel(settings),
            DayModel(settings),
        )
        self._errors: numpy.ndarray | None = None
        self._pending: collections.deque[tuple[int, list[numpy.ndarray]],] = (
            collections.deque(maxlen=16)
        )
        self._last: int | None = None

    @property
    def is_cold(self) -> bool:
        """Tell whether no window has been seen."""
        return self._last is None

    def observe(self, tokens: numpy.ndarray, started: float) -> None:
        """Take the tokens of the window that started at ``started`` seconds.

        A window that is no newer than the last one is dropped: reports come
        late and may come twice.  A layer without tokens keeps its forecast.
        """
        window = round(started / self._settings.window_seconds)
        if self._last is not None and window <= self._last:
            return
        totals = tokens.sum(axis=1, keepdims=True)
        if not totals.all():
            return
        shares = tokens / totals
        self._score(shares, window)
        for model in self._models:
            model.update(shares, window)
        self._last = window

    def forecast(self, at: float) -> LoadForecast:
        """Forecast the shares at ``at`` seconds; needs one window at least."""
        assert self._last is not None
        ahead = max(1.0, at / self._settings.window_seconds - self._last)
        guesses = [model.predict(ahead) for model in self._models]
        self._pending.append((self._last + round(ahead), guesses))
        if self._errors is None:
            return LoadForecast(guesses[0], self._settings.window_seconds)
        best = self._errors.argmin(axis=0)
        shares = numpy.stack(guesses)[best, numpy.arange(best.size)]
        shares = shares / shares.sum(axis=1, keepdims=True)
        return LoadForecast(shares, self._trust(float(ahead)))

    def _trust(self, ahead: float) -> float:
        # Error grows about as the square root of the time ahead, so the time
        # until it reaches the limit grows with the square of what is left.
        assert self._errors is not None
        error = float(self._errors.min(axis=0).mean()) + _TINY
        reach = ahead * (self._settings.max_error / error) ** 2
        seconds = reach * self._settings.window_seconds
        return min(
            max(seconds, self._settings.window_seconds),
            self._settings.max_valid_seconds,
        )

    def _score(self, shares: numpy.ndarray, window: int) -> None:
        while self._pending and self._pending[0][0] <= window:
            due, guesses = self._pending.popleft()
            if due != window:
                continue
            missed = numpy.stack(
                [numpy.abs(guess - shares).sum(axis=1) for guess in guesses],
            )
            self._blend(missed)

    def _blend(self, missed: numpy.ndarray) -> None:
        if self._errors is None:
            self._errors = missed
            return
        weight = self._settings.error_weight
        self._errors = self._errors + weight * (missed - self._errors)
