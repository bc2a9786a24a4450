"""Bound the calls of ranks in lock-step by the pause that callers take.

All ranks of a group make a pass together, and each stream gets one piece of its
answer at the end of it.  So a pass that takes longer than callers take a pause
for makes every stream of the group late at once, and a group that is given more
calls then stays so slow until they have ended.
"""

from __future__ import annotations

import abc
import collections
import math
import statistics

import attrs

# What was seen in so many seconds tells how long a pass takes: some passes, so
# that one in which the group was held, or read a long prompt, does not count.
WINDOW_SECONDS = 0.5
# How many calls there were is known for so long: longer than any pass that callers
# bear, since it is asked for when a pass has ended.
HISTORY_SECONDS = 1.0
# Of the callers' pause a usual pass may take so much.  A stream is late by one pause
# of twenty, so the rest is for what one pass in twenty takes more: a long prompt,
# copies of experts, the hold of a switch, the way to the caller.
GAP_SHARE = 0.8
# A pass is not told apart from an empty one by less, in seconds.
MIN_ADDED_SECONDS = 0.001
# So many calls for each place keep ranks busy while entries learn of the places
# that became free: half of a pass of a full group, in which one call in thirty
# ends, and what two exchanges of the entries take.
OVERCOMMIT = 1.1


class MovingMedian:
    """Know what is usual among the figures of the last moments."""

    def __init__(self) -> None:
        """Begin without any."""
        self._seen: collections.deque[tuple[float, float]] = collections.deque()

    def add(self, found: float, now: float) -> None:
        """Take a figure."""
        self._seen.append((now, found))
        self._forget(now)

    def median(self, now: float) -> float:
        """Return the median, 0 where none was seen of late."""
        self._forget(now)
        if not self._seen:
            return 0
        return statistics.median(found for _, found in self._seen)

    def _forget(self, now: float) -> None:
        while self._seen and now - self._seen[0][0] > WINDOW_SECONDS:
            self._seen.popleft()


@attrs.frozen(kw_only=True)
class GroupLoad:
    """The calls at the ranks of a group, which run so many at once.

    ``own`` of the ``calls`` are this entry's.  ``places`` counts the calls that
    all ranks together run at once.  ``pace`` is that of the slowest rank; 2 means
    that it takes twice its usual time.
    """

    calls: float
    ranks: int
    places: int
    pace: float = 1
    own: int = 0


class ConcurrencyLimit(abc.ABC):
    """Say how many calls the ranks of a group may have in all."""

    def __init__(self, gap: float, empty: float) -> None:
        """Keep passes under ``gap``; one without calls takes ``empty``.

        Both are in seconds.
        """
        self._limit = gap * GAP_SHARE
        self._empty = empty
        self._passes = MovingMedian()

    def record_pass(self, seconds: float, now: float) -> None:
        """Take the time between two pieces of one stream."""
        self._passes.add(seconds, now)

    def median_pass(self, now: float) -> float:
        """Return the usual pass in seconds, 0 where none was seen of late."""
        return self._passes.median(now)

    @abc.abstractmethod
    def max_calls(self, crowd: GroupLoad, now: float) -> float:
        """Return how many calls the ranks may have, infinity without a bound."""


class SlotLimit(ConcurrencyLimit):
    """Let the ranks have what they run at once, and little more."""

    def max_calls(self, crowd: GroupLoad, now: float) -> float:
        """Return the places of all ranks and some to follow at once."""
        return crowd.places * OVERCOMMIT if crowd.places else math.inf


class LatencyLimit(SlotLimit):
    """Work the bound out from what each call is seen to add to a pass.

    How much that is changes by the factor of three with the evenness of the
    experts in demand.  It follows from a pass and the calls that were there when
    it began: what it took more than an empty one is shared by them.  Held against
    the calls of now, a bound would grow with each call that it lets go, since the
    passes that these make longer are seen only when they have ended.
    """

    def __init__(self, gap: float, empty: float) -> None:
        """Begin without having seen a pass."""
        super().__init__(gap, empty)
        self._each = MovingMedian()
        self._crowds: collections.deque[tuple[float, GroupLoad]] = (
            collections.deque()
        )

    def record_pass(self, seconds: float, now: float) -> None:
        """Take the time between two pieces of one stream."""
        super().record_pass(seconds, now)
        crowd = self._crowd_at(now - seconds)
        if crowd is None:
            return
        running = max(1, min(crowd.calls, crowd.places))
        added = max(MIN_ADDED_SECONDS, seconds - self._empty * crowd.pace)
        self._each.add(added / running, now)

    def max_calls(self, crowd: GroupLoad, now: float) -> float:
        """Return how many calls fit within the pause.

        Where already one call a rank is too much, calls are not what makes
        passes long, and holding them back would shorten nothing.
        """
        self._keep(crowd, now)
        places = super().max_calls(crowd, now)
        each = self._each.median(now)
        room = self._limit - self._empty * crowd.pace
        if not each or room <= 0:
            return places
        found = room / each
        return places if found < crowd.ranks else min(found, places)

    def _keep(self, crowd: GroupLoad, now: float) -> None:
        self._crowds.append((now, crowd))
        while now - self._crowds[0][0] > HISTORY_SECONDS:
            self._crowds.popleft()

    def _crowd_at(self, moment: float) -> GroupLoad | None:
        """Return the calls that were there at a moment, if known."""
        found = None
        for seen_at, crowd in self._crowds:
            if seen_at > moment:
                break
            found = crowd
        return found
