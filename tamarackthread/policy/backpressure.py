"""Hold what a target asks of this entry in its answers."""

from __future__ import annotations

import math

import attrs

# A target that asks for more rest is asked again after an hour.
MAX_RETRY_AFTER_SECONDS = 3600.0
# The call after a rest is followed by another one if nothing has come by then.
PROBE_SECONDS = 1.0


@attrs.frozen(kw_only=True)
class Backpressure:
    """What one answer of a target asks for.

    ``is_leaving``: no new calls from now on.  ``rest``: no calls for so many
    seconds, 0 for none.  ``rate``: so many calls a second at most from all
    entries together, ``None`` without a limit.
    """

    is_leaving: bool = False
    rest: float = 0
    rate: float | None = None


NONE = Backpressure()


class Cooldown:
    """The time for which a target wants no call, and the call that ends it.

    A target that is given all calls again at the moment its rest is over is
    full at once.  One call goes first; the others follow when it was taken.
    """

    def __init__(self) -> None:
        """Begin without a rest."""
        self._until: float = 0
        self._tried_until: float = 0

    def start(self, wanted: float, now: float) -> None:
        """Begin a rest of so many seconds; a longer one under way stays."""
        self._until = max(self._until, now + wanted)

    def remaining(self, now: float) -> float:
        """Return how many seconds of the rest are left."""
        return max(0, self._until - now)

    def allows_call(self, now: float) -> bool:
        """Tell whether the target may get a call."""
        return not self._until or now >= max(self._until, self._tried_until)

    def record_sent(self, now: float) -> None:
        """Note that a call goes to the target."""
        if self._until and now >= self._until:
            self._tried_until = now + PROBE_SECONDS

    def record_accepted(self, now: float) -> None:
        """Note that the target has taken a call and did not refuse it."""
        if now >= self._until:
            self._until = 0


def parse_retry_after(text: str) -> float:
    """Read a time to rest, at most an hour; 0 for what makes no sense.

    A date counts as none: the time of day differs from host to host.
    """
    return min(MAX_RETRY_AFTER_SECONDS, max(0, _number(text) or 0))


def parse_rate(text: str) -> float | None:
    """Read calls a second; ``None`` for what makes no sense."""
    found = _number(text)
    return None if found is None or found < 0 else found


def _number(text: str) -> float | None:
    try:
        found = float(text)
    except ValueError:
        return None
    return found if math.isfinite(found) else None
