"""Bound the calls that a target in need takes, over all entries.

A target names in its answers how many calls a second it takes from all entries
together.  Each entry works out its part by itself, so that nothing is asked for
on the way of a call; the parts of all add up to the limit, also while they are
cut off from each other.
"""

from __future__ import annotations

import math

import attrs

from tamarackthread.policy import sent_calls

# Calls are counted over this time: what a target bears is a rate over some
# seconds, and a part of less than a call a second is a whole one here.
WINDOW_SECONDS = 4.0
# A call may be so much later at the target than it was counted.
MAX_DELAY_SECONDS = 0.4
BURST_SECONDS = 1.0
# This much of a limit is shared evenly, the rest by demand: an entry whose
# callers come only now has a part at once.
EVEN_SHARE = 0.2
# A limit that no answer has confirmed for so long is tried with one call, and all
# entries together try no more often than once in the other time.
STALE_SECONDS = 20.0
PROBE_SECONDS = 1.0


@attrs.frozen(kw_only=True)
class Demand:
    """How much of a service's demand this entry has.

    ``share`` is its part of the calls of all entries in touch, from 0 to 1, and
    ``entries`` how many these are.
    """

    share: float = 1
    entries: int = 1


SOLE_ENTRY = Demand()


class RateLimit:
    """Hold what one start of a target has asked for, and what it got."""

    def __init__(self) -> None:
        """Begin without a limit."""
        self._rate: float | None = None
        self._heard_at: float = 0

    @property
    def rate(self) -> float | None:
        """Return the calls a second from all entries, ``None`` without one."""
        return self._rate

    def update(self, rate: float | None, now: float) -> None:
        """Take what the newest answer names; without a limit it has ended."""
        self._rate = rate
        self._heard_at = now

    def allows(
        self,
        sent: sent_calls.SentCalls,
        part: EntryShare,
        now: float,
    ) -> bool:
        """Tell whether one call more is within this entry's part."""
        if self._rate is None:
            return True
        span = WINDOW_SECONDS + MAX_DELAY_SECONDS
        lately = sent.count_within(now, span)
        if now - self._heard_at > part.probe_after():
            return not lately
        most = part.max_calls(self._rate)
        if lately >= most:
            return False
        # Not all at once: a target in need is not helped by bursts.
        burst = BURST_SECONDS + MAX_DELAY_SECONDS
        return sent.count_within(now, burst) < math.ceil(most * burst / span)


@attrs.frozen
class EntryShare:
    """This entry's part of what one target takes.

    ``fleet`` counts all entries that may send to it, and ``place`` is this
    one's among them, ``None`` if it is not known to them yet.
    """

    demand: Demand
    fleet: int
    place: int | None

    def max_calls(self, rate: float) -> int:
        """Return this entry's calls in a span.

        Entries that are cut off from each other share by their numbers.  Parts
        of a call are rounded up at some entries and down at others, by their
        places, so that the sum stays.
        """
        in_touch = min(1, self.demand.entries / self.fleet)
        even = EVEN_SHARE / self.demand.entries
        own = even + (1 - EVEN_SHARE) * self.demand.share
        rounded = (self.place or 0) + 0.5
        if self.place is None:
            rounded = 0
        wanted = rate * WINDOW_SECONDS * in_touch * own
        return int(wanted + rounded / self.fleet)

    def probe_after(self) -> float:
        """Return after how many seconds without an answer a limit is tried."""
        return max(STALE_SECONDS, PROBE_SECONDS * self.fleet)
