"""Select a target by the least load of a random sample."""

from __future__ import annotations

import collections.abc
import random

from tamarackthread.entry.direct import instances

# Targets sampled per call.  Entries don't see each other's newest calls, so the
# least loaded target of all would be flooded.
CANDIDATES = 4
# Candidates from the entry's own zone, since traffic across zones costs money.
LOCAL_CANDIDATES = 2
# Ranks with at least this relative step time slow their whole group.
SLOW_PACE = 1.5
# With a smaller share of fast ranks, these have too few slots for all calls.
MIN_FAST_SHARE = 0.5

_Instances = collections.abc.Sequence[instances.TargetInstance]


class TargetSelector:
    """Select the least loaded of a few targets, preferring the own zone."""

    def __init__(self, zone: str, generator: random.Random) -> None:
        """Sample with ``generator``; ``zone`` is this entry's own."""
        self._zone = zone
        self._random = generator

    def select(
        self, usable: _Instances, now: float
    ) -> instances.TargetInstance | None:
        """Select one of the targets, ``None`` if there are none."""
        ready = [target for target in usable if target.is_ready(now)]
        if ready:
            accepted = [
                one for one in ready if not one.outcomes.is_ejected(now)
            ]
            return min(
                self._sample(_without_slow(accepted or ready)),
                key=self._load_key,
            )
        # A silent target may still answer, and a failed try costs the caller
        # less than a refusal.
        return min(usable, key=_backoff_until, default=None)

    def _sample(self, usable: _Instances) -> _Instances:
        """Sample the candidates, up to half of them from the own zone."""
        if len(usable) <= CANDIDATES:
            return usable
        local = [one for one in usable if one.announcement.zone == self._zone]
        count = min(LOCAL_CANDIDATES, len(local))
        sampled = self._random.sample(local, count)
        return [*sampled, *self._random.sample(usable, CANDIDATES - count)]

    def _load_key(
        self, target: instances.TargetInstance
    ) -> tuple[float, bool, float]:
        is_remote = target.announcement.zone != self._zone
        return target.load, is_remote, self._random.random()


def _without_slow(ready: _Instances) -> _Instances:
    """Leave out slow ranks, unless they are too many."""
    # Ranks run in lockstep: a call at a slow rank delays the calls of all
    # ranks.
    fast = [target for target in ready if target.pace < SLOW_PACE]
    return fast if len(fast) >= MIN_FAST_SHARE * len(ready) else ready


def _backoff_until(target: instances.TargetInstance) -> float:
    return target.backoff_until
