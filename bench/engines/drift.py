"""Make the drifting load of one expert-parallel group.

Tokens choose experts by topic.  The mix of topics follows the hour, turns
slowly with the season, and is upset by sudden topic changes; each expert's
popularity wanders besides.  Everything is drawn from one seed.
"""

from __future__ import annotations

import attrs
import numpy

_DAY_SECONDS = 86400


@attrs.frozen
class DriftSettings:
    """Hold the constants of a load; logarithms are natural."""

    layers: int = 16
    experts: int = 256
    topics: int = 10
    window_seconds: float = 300
    topic_spread: float = 1
    common_spread: float = 0.5
    hour_swing: float = 1.2
    season_swing: float = 0.8
    season_days: float = 12
    sudden_changes_a_day: float = 2
    sudden_share: float = 0.45
    wander_spread: float = 0.15
    wander_hours: float = 2


class DriftingLoad:
    """Give the expected share of each expert's tokens, window by window."""

    def __init__(self, seed: int, settings: DriftSettings) -> None:
        """Draw topics, phases and sudden changes from the seed."""
        self._settings = settings
        self._random = numpy.random.default_rng(seed)
        size = (settings.layers, settings.experts)
        common = self._random.normal(0, settings.common_spread, size)
        spread = settings.topic_spread
        topics = self._random.normal(0, spread, (settings.topics, *size))
        popularity = numpy.exp(common + topics)
        totals = popularity.sum(axis=2, keepdims=True)
        self._popularity = popularity / totals
        phases = (3, settings.topics)
        self._phases = self._random.uniform(0, 2 * numpy.pi, phases)
        self._sudden = _SuddenChange(self._random, settings)
        self._wander = numpy.zeros(size)

    def next_window(self, number: int) -> numpy.ndarray:
        """Return shares ``[layer, expert]``; call once for each window."""
        settings = self._settings
        seconds = number * settings.window_seconds
        mix = self._mix(seconds / _DAY_SECONDS)
        topic, share = self._sudden.at(seconds)
        mix = mix * (1 - share)
        mix[topic] += share
        self._step_wander()
        shares = numpy.tensordot(mix, self._popularity, axes=1)
        shares = shares * numpy.exp(self._wander)
        return shares / shares.sum(axis=1, keepdims=True)

    def _mix(self, days: float) -> numpy.ndarray:
        settings = self._settings
        turn = 2 * numpy.pi
        daily = numpy.cos(turn * days + self._phases[0])
        hourly = numpy.cos(turn * days * 5 + self._phases[1]) / 3
        season = turn * days / settings.season_days
        yearly = numpy.cos(season + self._phases[2])
        weight = numpy.exp(
            settings.hour_swing * (daily + hourly)
            + settings.season_swing * yearly,
        )
        return weight / weight.sum()

    def _step_wander(self) -> None:
        settings = self._settings
        keep = numpy.exp(
            -settings.window_seconds / (3600 * settings.wander_hours),
        )
        noise = self._random.normal(0, 1, self._wander.shape)
        spread = settings.wander_spread * numpy.sqrt(1 - keep**2)
        self._wander = keep * self._wander + spread * noise


class _SuddenChange:
    """Make one topic take a large share at once, for one to four hours."""

    def __init__(
        self,
        random: numpy.random.Generator,
        settings: DriftSettings,
    ) -> None:
        self._random = random
        self._settings = settings
        self._topic = 0
        self._ends = 0
        self._next = self._gap()

    def at(self, seconds: float) -> tuple[int, float]:
        if seconds >= self._next:
            self._topic = int(self._random.integers(self._settings.topics))
            self._ends = seconds + self._random.uniform(3600, 4 * 3600)
            self._next = self._ends + self._gap()
        share = self._settings.sudden_share if seconds < self._ends else 0
        return self._topic, share

    def _gap(self) -> float:
        mean = _DAY_SECONDS / self._settings.sudden_changes_a_day
        return float(self._random.exponential(mean / 2) + mean / 4)
