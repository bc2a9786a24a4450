"""Limit the concurrency of ranks in lock-step by the time of a forward pass."""

from __future__ import annotations

import abc
import collections
import math
import statistics

import attrs

# Window of the moving medians; several passes, so that an outlier such as a
# long prefill is ignored.
WINDOW_SECONDS = 0.5
# How long past loads are kept: longer than any acceptable pass, as the load
# at a pass's start is looked up at its end.
HISTORY_SECONDS = 1.0
# Fraction of the allowed gap between two pieces of a stream that a median pass
# may take; the rest is headroom for the slowest passes and the network.
GAP_SHARE = 0.8
# Lower bound for the time that calls add to a pass.
MIN_ADDED_SECONDS = 0.001
# Calls per slot that keep ranks busy until entries learn of freed slots.
OVERCOMMIT = 1.1


class MovingMedian:
    """The median of the values of a sliding window."""

    def __init__(self) -> None:
        """Start empty."""
        self._values: collections.deque[tuple[float, float]] = (
            collections.deque()
        )

    def add(self, value: float, now: float) -> None:
        """Add a value."""
        self._values.append((now, value))
        self._evict_expired(now)

    def median(self, now: float) -> float:
        """Return the median, 0 if the window is empty."""
        self._evict_expired(now)
        if not self._values:
            return 0
        return statistics.median(value for _, value in self._values)

    def _evict_expired(self, now: float) -> None:
        while self._values and now - self._values[0][0] > WINDOW_SECONDS:
            self._values.popleft()


@attrs.frozen(kw_only=True)
class GroupLoad:
    """The load of a group; ``own`` of the ``calls`` are this entry's."""

    calls: float
    ranks: int
    # Calls that all ranks together run at once.
    slots: int
    # Slowdown factor of the slowest rank; 2 means twice its usual time.
    pace: float = 1
    own: int = 0


class ConcurrencyLimit(abc.ABC):
    """Limit how many calls the ranks of a group may have in total."""

    def __init__(self, gap: float, empty: float) -> None:
        """Allow ``gap`` seconds between two pieces of a stream; a pass without
        calls takes ``empty`` seconds.
        """
        self._limit = gap * GAP_SHARE
        self._empty = empty
        self._passes = MovingMedian()

    def record_pass(self, seconds: float, now: float) -> None:
        """Record the seconds between two pieces of one stream."""
        self._passes.add(seconds, now)

    def median_pass(self, now: float) -> float:
        """Return the median pass in seconds, 0 without recent passes."""
        return self._passes.median(now)

    @abc.abstractmethod
    def max_calls(self, load: GroupLoad, now: float) -> float:
        """Return how many calls the ranks may have, infinity if unlimited."""


class SlotLimit(ConcurrencyLimit):
    """Limit calls to the slots of all ranks plus a small overcommit."""

    def max_calls(self, load: GroupLoad, now: float) -> float:
        """Return the number of slots with the overcommit."""
        return load.slots * OVERCOMMIT if load.slots else math.inf


class LatencyLimit(SlotLimit):
    """Limit calls by the measured time that each adds to a pass."""

    def __init__(self, gap: float, empty: float) -> None:
        """Start without measurements; see ``ConcurrencyLimit``."""
        super().__init__(gap, empty)
        self._added_per_call = MovingMedian()
        self._loads: collections.deque[tuple[float, GroupLoad]] = (
            collections.deque()
        )

    def record_pass(self, seconds: float, now: float) -> None:
        """Record the seconds between two pieces of one stream."""
        super().record_pass(seconds, now)
        # The load when the pass began: with the current load, calls admitted
        # since would lower the time per call and raise the limit.
        load = self._load_at(now - seconds)
        if load is None:
            return
        running = max(1, min(load.calls, load.slots))
        added = max(MIN_ADDED_SECONDS, seconds - self._empty * load.pace)
        self._added_per_call.add(added / running, now)

    def max_calls(self, load: GroupLoad, now: float) -> float:
        """Return how many calls keep passes within the gap."""
        self._remember(load, now)
        slots = super().max_calls(load, now)
        added_per_call = self._added_per_call.median(now)
        headroom = self._limit - self._empty * load.pace
        if not added_per_call or headroom <= 0:
            return slots
        # If even one call a rank is too many, fewer calls can't keep passes
        # within the gap, so that only the slots limit them.
        fitting = headroom / added_per_call
        return slots if fitting < load.ranks else min(fitting, slots)

    def _remember(self, load: GroupLoad, now: float) -> None:
        self._loads.append((now, load))
        while now - self._loads[0][0] > HISTORY_SECONDS:
            self._loads.popleft()

    def _load_at(self, moment: float) -> GroupLoad | None:
        """Return the load at a time, if known."""
        found = None
        for seen_at, load in self._loads:
            if seen_at > moment:
                break
            found = load
        return found
