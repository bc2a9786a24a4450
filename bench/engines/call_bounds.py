"""Bound the calls of a group in other ways than the product does, to compare."""

from __future__ import annotations

import math

from tamarackthread.policy import concurrency

# A bound found by trying is looked at so often: two passes of a pressed group.
TRY_SECONDS = 0.25
# It falls by so much at a pass that was too long, and grows by so many calls for
# each rank at one that was not.
FALL_SHARE = 0.85
GROWTH = 0.1


class Unbounded(concurrency.ConcurrencyLimit):
    """Let the ranks have all calls."""

    def max_calls(self, load: concurrency.GroupLoad, now: float) -> float:
        """Return infinity."""
        return math.inf


class Tried(concurrency.SlotLimit):
    """Find the bound by trying: less after a long pass, else slowly more."""

    def __init__(self, gap: float, empty: float) -> None:
        """Begin without a bound."""
        super().__init__(gap, empty)
        self._most = math.inf
        self._tried_at = -math.inf

    def max_calls(self, load: concurrency.GroupLoad, now: float) -> float:
        """Return the bound as it is found by now."""
        usual = self._passes.median(now)
        if usual and now - self._tried_at >= TRY_SECONDS:
            self._tried_at = now
            self._try(usual, load)
        return min(self._most, super().max_calls(load, now))

    def _try(self, usual: float, load: concurrency.GroupLoad) -> None:
        if usual > self._limit:
            fallen = min(self._most, load.calls) * FALL_SHARE
            self._most = max(load.ranks, fallen)
        else:
            self._most += load.ranks * GROWTH
