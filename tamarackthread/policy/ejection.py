"""Eject targets with outlying step times or repeated failures; a stalled rank
slows its whole group while all health checks pass.
"""

from __future__ import annotations

import statistics

import attrs


@attrs.frozen(slots=True, kw_only=True)
class EjectionSettings:
    """Hold the conditions of an ejection and of the slow start after it."""

    # Step time that ejects, as a factor of the peers' median.
    slow_factor: float = 1.8
    # Time for which steps must be slow.
    slow_seconds: float = 0.3
    # Weight of the newest step in the moving average.
    smoothing: float = 0.5
    # Always allows one ejected target out of three or more.
    max_ejected_share: float = 0.25
    # Time of the first ejection; doubles with each one that follows soon.
    base_ejection_seconds: float = 1.0
    max_ejection_seconds: float = 10.0
    # Share of its usual calls that a target gets after its return.
    initial_share: float = 0.1
    # Time until it gets all of them.
    slow_start_seconds: float = 3.0
    # Consecutive failures that eject.
    failures: int = 5


@attrs.define(slots=True, eq=False)
class _Health:
    step_ms: float = 0
    slow_since: float | None = None
    ejected_until: float | None = None
    returned_at: float | None = None
    ejection_seconds: float = 0
    failures: int = 0


class Ejection:
    """Decide which share of its usual calls each target of a service gets."""

    def __init__(self, settings: EjectionSettings | None = None) -> None:
        """Start without ejected targets."""
        self._settings = settings or EjectionSettings()
        self._targets: dict[str, _Health] = {}

    def observe_step(
        self,
        target: str,
        step_ms: float,
        running: int,
        now: float,
    ) -> None:
        """Record a step time and the number of running calls."""
        # An idle target repeats its last step time; counting that would keep
        # an ejected one out for ever.
        health = self._targets.setdefault(target, _Health())
        self._update(health, now)
        if not running or step_ms <= 0 or health.ejected_until is not None:
            return
        if not health.step_ms:
            health.step_ms = step_ms
        smoothing = self._settings.smoothing
        health.step_ms += (step_ms - health.step_ms) * smoothing
        self._check_step(target, health, now)

    def record_result(self, target: str, is_good: bool, now: float) -> None:
        """Record a call's result; consecutive failures eject the target."""
        health = self._targets.setdefault(target, _Health())
        if is_good:
            health.failures = 0
            return
        health.failures += 1
        if health.failures >= self._settings.failures:
            health.failures = 0
            self._eject(health, now)

    def forget(self, target: str) -> None:
        """Drop a removed target."""
        self._targets.pop(target, None)

    def share(self, target: str, now: float) -> float:
        """Return the share, from 0 to 1, of its usual calls for a target."""
        health = self._targets.get(target)
        if health is None:
            return 1
        self._update(health, now)
        if health.ejected_until is not None:
            return 0
        if health.returned_at is None:
            return 1
        settings = self._settings
        elapsed = (now - health.returned_at) / settings.slow_start_seconds
        first = settings.initial_share
        return min(1, first + (1 - first) * elapsed)

    def ejected(self, now: float) -> list[str]:
        """List the ejected targets."""
        return [name for name in self._targets if not self.share(name, now)]

    def _check_step(self, target: str, health: _Health, now: float) -> None:
        if not self._is_slow(target, health):
            health.slow_since = None
            return
        if health.slow_since is None:
            health.slow_since = now
        if now - health.slow_since >= self._settings.slow_seconds:
            self._eject(health, now)

    def _is_slow(self, target: str, health: _Health) -> bool:
        peers = []
        for other_name, other in self._targets.items():
            if other_name != target and other.step_ms:
                peers.append(other.step_ms)
        if len(peers) < 2:
            return False
        threshold = statistics.median(peers) * self._settings.slow_factor
        return health.step_ms > threshold

    def _eject(self, health: _Health, now: float) -> None:
        """Eject a target, unless that would overload the remaining ones."""
        settings = self._settings
        if health.ejected_until is not None or not self._may_eject(now):
            return
        backoff = min(
            settings.max_ejection_seconds, 2 * health.ejection_seconds
        )
        health.ejection_seconds = max(settings.base_ejection_seconds, backoff)
        health.ejected_until = now + health.ejection_seconds
        health.returned_at = None

    def _may_eject(self, now: float) -> bool:
        target_count = len(self._targets)
        max_ejected = int(target_count * self._settings.max_ejected_share)
        if target_count >= 3:
            max_ejected = max(1, max_ejected)
        return len(self.ejected(now)) < max_ejected

    def _update(self, health: _Health, now: float) -> None:
        settings = self._settings
        if health.ejected_until is not None and now >= health.ejected_until:
            health.returned_at = health.ejected_until
            health.ejected_until = None
            health.slow_since = None
            health.step_ms = 0
        if health.returned_at is None:
            return
        stable_seconds = (
            settings.slow_start_seconds + 2 * health.ejection_seconds
        )
        if now - health.returned_at > stable_seconds:
            health.returned_at = None
            health.ejection_seconds = 0
