"""Choose one of the targets that may get a call."""

from __future__ import annotations

import collections.abc
import random

from tamarackthread.entry.direct import instances

# Targets that are sampled for a call, of which the least loaded gets it.  What
# other entries have sent since the last exchange is not known: if all of them
# went for the least loaded of all, that one would get all of it.
CANDIDATES = 4
# So many of them are of the entry's own zone: answers that cross zones cost.
LOCAL_CANDIDATES = 2
# A rank that takes so many times its usual time slows its whole group; the usual
# spread of ranks is under 1.2.
SLOW_PACE = 1.5
# Below this share of swift ranks, the others have not the places for all calls.
MIN_FAST_SHARE = 0.5

_Instances = collections.abc.Sequence[instances.TargetInstance]


class TargetSelector:
    """Choose the least loaded of a few, in the own zone among equals."""

    def __init__(self, zone: str, generator: random.Random) -> None:
        """Draw with ``generator``; ``zone`` is this entry's own."""
        self._zone = zone
        self._random = generator

    def select(
        self, usable: _Instances, now: float
    ) -> instances.TargetInstance | None:
        """Choose among targets that have not said that they leave.

        Without one that is surely up, one that has fallen silent or refused
        a connection may still answer, and a try costs the caller less than a
        refusal.
        """
        ready = [target for target in usable if target.is_ready(now)]
        if ready:
            accepted = [
                one for one in ready if not one.outcomes.is_ejected(now)
            ]
            return min(
                self._sample(_without_slow(accepted or ready)),
                key=self._load_key,
            )
        return min(usable, key=_backoff_until, default=None)

    def _sample(self, usable: _Instances) -> _Instances:
        """Draw the targets of which the least loaded gets the call.

        Half of them are of the own zone: of targets that have as many calls there
        is mostly a local one then.
        """
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
    """Leave slow ranks out, unless they are too many.

    Ranks advance together, so one call at a slow rank slows the calls of all
    ranks, while a rank without calls holds up nobody by its own work.
    """
    fast = [target for target in ready if target.pace < SLOW_PACE]
    return fast if len(fast) >= MIN_FAST_SHARE * len(ready) else ready


def _backoff_until(target: instances.TargetInstance) -> float:
    return target.backoff_until
