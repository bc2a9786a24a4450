"""Keep calls away from targets that are slow against their peers.

The ranks of a group run in lock-step, so one stalled rank slows the whole
group while it still answers every health check.  Its step time against the
median of its peers shows it.
"""

from __future__ import annotations

import statistics

import attrs


@attrs.frozen(slots=True, kw_only=True)
class EjectionSettings:
    """Hold when a target is ejected and how it returns.

    A step of ``slow_factor`` times the median for ``slow_seconds`` ejects.
    At most ``max_ejected_share`` of the targets, but one of three or more, are out
    at a time.  A healthy one gets ``initial_share`` of its calls at first and
    all of them after ``slow_start_seconds``.  Each new ejection soon after the
    last doubles the time out, from ``base_ejection_seconds`` to ``max_ejection_seconds``.
    """

    slow_factor: float = 1.8
    slow_seconds: float = 0.3
    smoothing: float = 0.5
    max_ejected_share: float = 0.25
    base_ejection_seconds: float = 1.0
    max_ejection_seconds: float = 10.0
    initial_share: float = 0.1
    slow_start_seconds: float = 3.0
    failures: int = 5


@attrs.define(slots=True, eq=False)
class _Health:
    step_ms: float = 0
    slow_since: float | None = None
    out_until: float | None = None
    back_since: float | None = None
    ejection_seconds: float = 0
    failures: int = 0


class Ejection:
    """Decide how much of its usual traffic each target of a service gets."""

    def __init__(self, settings: EjectionSettings | None = None) -> None:
        """Start with every target in."""
        self._settings = settings or EjectionSettings()
        self._targets: dict[str, _Health] = {}

    def observe_step(
        self,
        target: str,
        step_ms: float,
        running: int,
        now: float,
    ) -> None:
        """Take in a step time and the number of calls that it was for.

        An idle target reports its last step again and again.  An ejected one
        is idle, so counting that would keep it out for good.
        """
        health = self._targets.setdefault(target, _Health())
        self._let_back(health, now)
        if not running or step_ms <= 0 or health.out_until is not None:
            return
        if not health.step_ms:
            health.step_ms = step_ms
        mix = self._settings.smoothing
        health.step_ms += (step_ms - health.step_ms) * mix
        self._judge(target, health, now)

    def record_result(self, target: str, is_good: bool, now: float) -> None:
        """Count an answer; only a row of bad ones ejects, never a single."""
        health = self._targets.setdefault(target, _Health())
        if is_good:
            health.failures = 0
            return
        health.failures += 1
        if health.failures >= self._settings.failures:
            health.failures = 0
            self._eject(health, now)

    def forget(self, target: str) -> None:
        """Drop a target that is gone."""
        self._targets.pop(target, None)

    def share(self, target: str, now: float) -> float:
        """Return the part, from 0 to 1, of its usual calls to send there."""
        health = self._targets.get(target)
        if health is None:
            return 1
        self._let_back(health, now)
        if health.out_until is not None:
            return 0
        if health.back_since is None:
            return 1
        settings = self._settings
        passed = (now - health.back_since) / settings.slow_start_seconds
        first = settings.initial_share
        return min(1, first + (1 - first) * passed)

    def ejected(self, now: float) -> list[str]:
        """List the targets that get no calls now."""
        return [name for name in self._targets if not self.share(name, now)]

    def _judge(self, target: str, health: _Health, now: float) -> None:
        if not self._is_slow(target, health):
            health.slow_since = None
            return
        if health.slow_since is None:
            health.slow_since = now
        if now - health.slow_since >= self._settings.slow_seconds:
            self._eject(health, now)

    def _is_slow(self, target: str, health: _Health) -> bool:
        peers = []
        for name, other in self._targets.items():
            if name != target and other.step_ms:
                peers.append(other.step_ms)
        if len(peers) < 2:
            return False
        limit = statistics.median(peers) * self._settings.slow_factor
        return health.step_ms > limit

    def _eject(self, health: _Health, now: float) -> None:
        """Take a target out, unless too many are out already.

        Without the bound, a slow moment of the whole service would eject one
        target after the other and leave the last to take everything.
        """
        settings = self._settings
        if health.out_until is not None or not self._may_eject(now):
            return
        doubled = min(
            settings.max_ejection_seconds, 2 * health.ejection_seconds
        )
        health.ejection_seconds = max(settings.base_ejection_seconds, doubled)
        health.out_until = now + health.ejection_seconds
        health.back_since = None

    def _may_eject(self, now: float) -> bool:
        total = len(self._targets)
        most = int(total * self._settings.max_ejected_share)
        if total >= 3:
            most = max(1, most)
        return len(self.ejected(now)) < most

    def _let_back(self, health: _Health, now: float) -> None:
        settings = self._settings
        if health.out_until is not None and now >= health.out_until:
            health.back_since = health.out_until
            health.out_until = None
            health.slow_since = None
            health.step_ms = 0
        if health.back_since is None:
            return
        calm = settings.slow_start_seconds + 2 * health.ejection_seconds
        if now - health.back_since > calm:
            health.back_since = None
            health.ejection_seconds = 0
