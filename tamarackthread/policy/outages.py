"""Detect that a whole group is down, which one lost rank can cause."""

from __future__ import annotations

# Longest time without output of a running group.
NO_OUTPUT_SECONDS = 0.4
# Refusals further apart than this don't count together.
REFUSAL_WINDOW_SECONDS = 1.0
# A single refusing target may just be full.
MIN_REFUSING_TARGETS = 2


class OutageDetector:
    """Tell whether a group is down, as seen by one entry."""

    def __init__(self) -> None:
        """Start with a group that is up."""
        self._refusing_targets: set[str] = set()
        self._last_refusal_at: float = 0
        self._last_output_at: float | None = None

    def record_output(self, now: float) -> None:
        """Record that a target has sent part of an answer."""
        self._last_output_at = now
        self._refusing_targets.clear()

    def record_refusal(self, target: str, now: float) -> None:
        """Record that a target has refused a call without running it."""
        if now - self._last_refusal_at > REFUSAL_WINDOW_SECONDS:
            self._refusing_targets.clear()
        self._refusing_targets.add(target)
        self._last_refusal_at = now

    def is_down(self, now: float) -> bool:
        """Tell whether there were only refusals lately."""
        if len(self._refusing_targets) < MIN_REFUSING_TARGETS:
            return False
        if now - self._last_refusal_at > REFUSAL_WINDOW_SECONDS:
            return False
        return (
            self._last_output_at is None
            or now - self._last_output_at > NO_OUTPUT_SECONDS
        )
