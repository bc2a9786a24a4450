"""Parse and apply the backpressure signals in the answers of targets."""

from __future__ import annotations

import math

import attrs

# Upper bound for the cooldown that a target may request.
MAX_RETRY_AFTER_SECONDS = 3600.0
# Time after which an unanswered probe is followed by another one.
PROBE_SECONDS = 1.0


@attrs.frozen(kw_only=True)
class Backpressure:
    """The backpressure signals of one answer."""

    # No new calls may be sent.
    is_leaving: bool = False
    # In seconds, 0 for none.
    cooldown: float = 0
    # Calls a second of all entries together, ``None`` if unlimited.
    rate: float | None = None


NONE = Backpressure()


class Cooldown:
    """A cooldown requested by a target, ended by a single probe call."""

    def __init__(self) -> None:
        """Start without a cooldown."""
        self._until: float = 0
        self._probe_until: float = 0

    def start(self, duration: float, now: float) -> None:
        """Start or extend the cooldown to ``duration`` seconds from now."""
        self._until = max(self._until, now + duration)

    def remaining(self, now: float) -> float:
        """Return the remaining seconds."""
        return max(0, self._until - now)

    def allows_call(self, now: float) -> bool:
        """Tell whether the target may get a call or a probe."""
        return not self._until or now >= max(self._until, self._probe_until)

    def record_sent(self, now: float) -> None:
        """Record a call sent; after the cooldown it is the probe."""
        if self._until and now >= self._until:
            self._probe_until = now + PROBE_SECONDS

    def record_accepted(self, now: float) -> None:
        """End an expired cooldown, as the target accepted a call."""
        if now >= self._until:
            self._until = 0


def parse_retry_after(text: str) -> float:
    """Parse ``Retry-After`` into bounded seconds, 0 if invalid or a date."""
    return min(MAX_RETRY_AFTER_SECONDS, max(0, _number(text) or 0))


def parse_rate(text: str) -> float | None:
    """Parse a rate in calls a second, ``None`` if invalid."""
    value = _number(text)
    return None if value is None or value < 0 else value


def _number(text: str) -> float | None:
    try:
        value = float(text)
    except ValueError:
        return None
    return value if math.isfinite(value) else None
