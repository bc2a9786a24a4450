"""Tell from refusals that a group makes no passes.

Answers the load in which a rank is lost and with it the passes of its whole group:
every rank refuses each call at once, for seconds.  Callers who are told to come back
as soon as from a full target are refused again and have used up their tries.
"""

from __future__ import annotations

# Ranks of a group that makes passes send something to some call more often than this;
# after so long without it, refusals mean that there are none.
NO_OUTPUT_SECONDS = 0.4
# Refusals that lie further apart are not of one moment.
REFUSAL_WINDOW_SECONDS = 1.0
# One target may refuse since it is full.
MIN_REFUSING_TARGETS = 2


class OutageDetector:
    """Know whether a group is closed, as one entry sees it."""

    def __init__(self) -> None:
        """Begin with a group that is open."""
        self._refused: set[str] = set()
        self._refused_at: float = 0
        self._heard_at: float | None = None

    def record_output(self, now: float) -> None:
        """Note that a target has sent a piece of an answer."""
        self._heard_at = now
        self._refused.clear()

    def record_refusal(self, target: str, now: float) -> None:
        """Note that a target has refused a call unrun."""
        if now - self._refused_at > REFUSAL_WINDOW_SECONDS:
            self._refused.clear()
        self._refused.add(target)
        self._refused_at = now

    def is_down(self, now: float) -> bool:
        """Tell whether nothing but refusals has come of late."""
        if len(self._refused) < MIN_REFUSING_TARGETS:
            return False
        if now - self._refused_at > REFUSAL_WINDOW_SECONDS:
            return False
        return (
            self._heard_at is None or now - self._heard_at > NO_OUTPUT_SECONDS
        )
