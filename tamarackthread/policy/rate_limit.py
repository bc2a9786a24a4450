"""Enforce the rate limits that targets set, shared by all entries.

A target names a rate for all entries together.  Each entry computes its share
locally; the shares sum to the limit also during a network partition.
"""

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
    """This entry's share of a service's demand.

    ``share`` is its fraction of the calls of all connected entries, from 0 to
    1, and ``entries`` the number of these.
    """

    share: float = 1
    entries: int = 1


SOLE_ENTRY = Demand()


class RateLimit:
    """The rate limit set by one start of a target."""

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
    """This entry's share of one target's limit.

    ``fleet`` counts all entries that may send to it; ``place`` is this entry's
    rank among them, ``None`` while unknown.
    """

    demand: Demand
    fleet: int
    place: int | None

    def max_calls(self, rate: float) -> int:
        """Return how many calls this entry may send in a window.

        Sides of a partition share by their numbers of entries.  Fractions of
        a call are rounded by rank, so that the sum is kept.
        """
        connected = min(1, self.demand.entries / self.fleet)
        even = EVEN_SHARE / self.demand.entries
        own = even + (1 - EVEN_SHARE) * self.demand.share
        rounding = (self.place or 0) + 0.5
        if self.place is None:
            rounding = 0
        wanted = rate * WINDOW_SECONDS * connected * own
        return int(wanted + rounding / self.fleet)

    def probe_after(self) -> float:
        """Return the seconds without an answer after which to probe."""
        return max(STALE_SECONDS, PROBE_SECONDS * self.fleet)
