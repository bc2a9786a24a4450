"""Forecast each expert's share of tokens, for each layer by the model with the
smallest recent error: smoothed level, damped trend or daily pattern.
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
    """Hold the smoothing weights and time limits of a forecast."""

    window_seconds: float = 300.0
    level_weight: float = 1
    trend_weight: float = 0.3
    trend_damping: float = 0.8
    error_weight: float = 0.2
    day_exponent: float = 0.5
    # Windows averaged on each side of the one a day ago.
    day_radius: int = 6
    max_error: float = 0.25
    max_valid_seconds: float = 3600.0


@attrs.frozen(eq=False)
class LoadForecast:
    """Expected shares of tokens, ``[layer, expert]``, and their validity."""

    shares: numpy.ndarray
    valid_seconds: float


class Model(abc.ABC):
    """Predict the shares of tokens some windows ahead."""

    @abc.abstractmethod
    def update(self, shares: numpy.ndarray, window: int) -> None:
        """Add a window's shares; window numbers may have gaps."""

    @abc.abstractmethod
    def predict(self, ahead: float) -> numpy.ndarray:
        """Return shares ``ahead`` windows after the last update."""


class LevelModel(Model):
    """Predict the exponentially smoothed level."""

    def __init__(self, weight: float) -> None:
        """Set the weight of the newest window, between 0 and 1."""
        self._weight = weight
        self.level: numpy.ndarray | None = None

    def update(self, shares: numpy.ndarray, window: int) -> None:
        """Update the moving average."""
        if self.level is None:
            self.level = shares
            return
        self.level = self.level + self._weight * (shares - self.level)

    def predict(self, ahead: float) -> numpy.ndarray:
        """Return the level."""
        assert self.level is not None
        return self.level


class TrendModel(Model):
    """Predict by double exponential smoothing with a damped trend."""

    def __init__(self, settings: ForecastSettings) -> None:
        """Start without a level."""
        self._settings = settings
        self._level: numpy.ndarray | None = None
        self._trend: numpy.ndarray | float = 0
        self._window = 0

    def update(self, shares: numpy.ndarray, window: int) -> None:
        """Update level and trend; a change over a gap is split evenly."""
        if self._level is None:
            self._level = shares
            self._window = window
            return
        gap = max(1, window - self._window)
        expected = self._level + self._trend * self._trend_factor(gap)
        weight = self._settings.level_weight
        level = expected + weight * (shares - expected)
        slope = (level - self._level) / gap
        trend_weight = self._settings.trend_weight
        self._trend = self._trend + trend_weight * (slope - self._trend)
        self._level = level
        self._window = window

    def predict(self, ahead: float) -> numpy.ndarray:
        """Return the level plus the damped trend, at least level / 4."""
        assert self._level is not None
        moved = self._level + self._trend * self._trend_factor(ahead)
        return numpy.maximum(moved, self._level / 4)

    def _trend_factor(self, ahead: float) -> float:
        damping = self._settings.trend_damping
        return damping * (1 - damping**ahead) / (1 - damping)


class DailyModel(Model):
    """Predict the level times the damped relative change of the day before,
    between means over several windows, because single ones are noisy.
    """

    def __init__(self, settings: ForecastSettings) -> None:
        """Start without a day of windows."""
        self._settings = settings
        self._level = LevelModel(settings.level_weight)
        self._period = round(_DAY_SECONDS / settings.window_seconds)
        self._windows: dict[int, numpy.ndarray] = {}
        self._window = 0

    def update(self, shares: numpy.ndarray, window: int) -> None:
        """Store the window and drop those older than a day."""
        self._level.update(shares, window)
        self._windows[window] = shares.astype(numpy.float32)
        self._window = window
        for old in list(self._windows):
            if old >= window - self._period - self._settings.day_radius:
                break
            self._windows.pop(old)

    def predict(self, ahead: float) -> numpy.ndarray:
        """Return the level alone if windows of the day before are missing."""
        level = self._level.predict(ahead)
        day_ago = self._window - self._period
        before = self._mean_around(day_ago)
        after = self._mean_around(day_ago + round(ahead))
        if before is None or after is None:
            return level
        ratio = (after + _TINY) / (before + _TINY)
        return level * ratio.clip(0.5, 2) ** self._settings.day_exponent

    def _mean_around(self, window: int) -> numpy.ndarray | None:
        radius = self._settings.day_radius
        window_numbers = range(window - radius, window + radius + 1)
        windows = [self._windows.get(number) for number in window_numbers]
        known = [shares for shares in windows if shares is not None]
        if len(known) <= radius:
            return None
        return numpy.mean(known, axis=0)


class Forecaster:
    """Forecast one group's load from windows that may be late or repeated."""

    def __init__(self, settings: ForecastSettings) -> None:
        """Start without windows."""
        self._settings = settings
        self._models: tuple[Model, ...] = (
            LevelModel(settings.level_weight),
            TrendModel(settings),
            DailyModel(settings),
        )
        self._errors: numpy.ndarray | None = None
        self._pending: collections.deque[tuple[int, list[numpy.ndarray]],] = (
            collections.deque(maxlen=16)
        )
        self._last: int | None = None

    @property
    def is_cold(self) -> bool:
        """Tell whether no window has been observed."""
        return self._last is None

    def observe(self, tokens: numpy.ndarray, started: float) -> None:
        """Add ``tokens[layer, expert]`` of the window from ``started`` seconds,
        unless it is no newer than the last one or a layer has no tokens.
        """
        window = round(started / self._settings.window_seconds)
        if self._last is not None and window <= self._last:
            return
        totals = tokens.sum(axis=1, keepdims=True)
        if not totals.all():
            return
        shares = tokens / totals
        self._record_errors(shares, window)
        for model in self._models:
            model.update(shares, window)
        self._last = window

    def forecast(self, at: float) -> LoadForecast:
        """Forecast the shares at ``at`` seconds, from at least one window."""
        assert self._last is not None
        ahead = max(1.0, at / self._settings.window_seconds - self._last)
        predictions = [model.predict(ahead) for model in self._models]
        self._pending.append((self._last + round(ahead), predictions))
        if self._errors is None:
            return LoadForecast(predictions[0], self._settings.window_seconds)
        best = self._errors.argmin(axis=0)
        shares = numpy.stack(predictions)[best, numpy.arange(best.size)]
        shares = shares / shares.sum(axis=1, keepdims=True)
        return LoadForecast(shares, self._validity(float(ahead)))

    def _validity(self, ahead: float) -> float:
        # The error grows with the square root of the time ahead, so the time
        # until it reaches the limit is quadratic in the ratio of the two.
        assert self._errors is not None
        error = float(self._errors.min(axis=0).mean()) + _TINY
        windows = ahead * (self._settings.max_error / error) ** 2
        seconds = windows * self._settings.window_seconds
        return min(
            max(seconds, self._settings.window_seconds),
            self._settings.max_valid_seconds,
        )

    def _record_errors(self, shares: numpy.ndarray, window: int) -> None:
        while self._pending and self._pending[0][0] <= window:
            due, predictions = self._pending.popleft()
            if due != window:
                continue
            errors = numpy.stack(
                [
                    numpy.abs(prediction - shares).sum(axis=1)
                    for prediction in predictions
                ],
            )
            self._smooth_errors(errors)

    def _smooth_errors(self, errors: numpy.ndarray) -> None:
        if self._errors is None:
            self._errors = errors
            return
        weight = self._settings.error_weight
        self._errors = self._errors + weight * (errors - self._errors)
