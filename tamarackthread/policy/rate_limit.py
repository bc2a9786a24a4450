"""Enforce the rate limit of a target, split locally among all entries."""

from __future__ import annotations

import math

import attrs

from tamarackthread.policy import sent_calls

# Sliding window; long enough that a share below one call a second still
# allows a whole call.
WINDOW_SECONDS = 4.0
# Longest delay from counting a call to its arrival at the target.
MAX_DELAY_SECONDS = 0.4
BURST_SECONDS = 1.0
# Part of a limit that is split evenly, the rest by demand, so that an entry
# with new demand has a share at once.
EVEN_SHARE = 0.2
# A limit that no answer confirms for this time is probed with single calls.
STALE_SECONDS = 20.0
# Shortest interval between the probes of all entries together.
PROBE_SECONDS = 1.0


@attrs.frozen(kw_only=True)
class Demand:
    """This entry's share of a service's demand."""

    # Fraction of the calls of all connected entries, from 0 to 1.
    share: float = 1
    # Number of connected entries, this one included.
    entries: int = 1


SOLE_ENTRY = Demand()


class RateLimit:
    """The rate limit set by one instance of a target."""

    def __init__(self) -> None:
        """Start without a limit."""
        self._rate: float | None = None
        self._updated_at: float = 0

    @property
    def rate(self) -> float | None:
        """Return the calls a second of all entries, ``None`` if unlimited."""
        return self._rate

    def update(self, rate: float | None, now: float) -> None:
        """Set the limit of the latest answer, ``None`` to remove it."""
        self._rate = rate
        self._updated_at = now

    def allows(
        self,
        sent: sent_calls.SentCalls,
        entry_share: EntryShare,
        now: float,
    ) -> bool:
        """Tell whether one more call is within this entry's share."""
        if self._rate is None:
            return True
        span = WINDOW_SECONDS + MAX_DELAY_SECONDS
        recent = sent.count_within(now, span)
        if now - self._updated_at > entry_share.probe_after():
            return not recent
        limit = entry_share.max_calls(self._rate)
        if recent >= limit:
            return False
        # Bounds the burst as well as the rate.
        burst = BURST_SECONDS + MAX_DELAY_SECONDS
        return sent.count_within(now, burst) < math.ceil(limit * burst / span)


@attrs.frozen
class EntryShare:
    """This entry's share of one target's limit."""

    demand: Demand
    # Number of entries that may send to the target.
    entry_count: int
    # Position of this entry among them, ``None`` while unknown.
    position: int | None

    def max_calls(self, rate: float) -> int:
        """Return how many calls this entry may send in a window."""
        # Sides of a network partition share by their numbers of entries.
        connected = min(1, self.demand.entries / self.entry_count)
        even = EVEN_SHARE / self.demand.entries
        own = even + (1 - EVEN_SHARE) * self.demand.share
        # Rounding by position keeps the sum of all entries.
        rounding = (self.position or 0) + 0.5
        if self.position is None:
            rounding = 0
        wanted = rate * WINDOW_SECONDS * connected * own
        return int(wanted + rounding / self.entry_count)

    def probe_after(self) -> float:
        """Return the seconds without an answer after which to probe."""
        return max(STALE_SECONDS, PROBE_SECONDS * self.entry_count)
