"""Choose one of the targets that may get a call."""

from __future__ import annotations

import collections.abc
import random

from tamarackthread.entry.direct import instances

# Targets that are drawn for a call, of which the least loaded gets it.  What
# other entries have sent since the last exchange is not known: if all of them
# went for the least loaded of all, that one would get all of it.
COMPARED = 4
# So many of them are of the entry's own zone: answers that cross zones cost.
NEAR_COMPARED = 2
# A rank that takes so many times its usual time slows its whole group; the usual
# spread of ranks is under 1.2.
SLOW_PACE = 1.5
# Below this share of swift ranks, the others have not the places for all calls.
SWIFT_SHARE = 0.5

_Starts = collections.abc.Sequence[instances.TargetInstance]


class TargetSelector:
    """Choose the least loaded of a few, in the own zone among equals."""

    def __init__(self, zone: str, generator: random.Random) -> None:
        """Draw with ``generator``; ``zone`` is this entry's own."""
        self._zone = zone
        self._random = generator

    def best(
        self, usable: _Starts, now: float
    ) -> instances.TargetInstance | None:
        """Choose among targets that have not said that they leave.

        Without one that is surely up, one that has fallen silent or refused
        a connection may still answer, and a try costs the caller less than a
        refusal.
        """
        ready = [target for target in usable if target.is_ready(now)]
        if ready:
            sound = [one for one in ready if not one.record.is_out(now)]
            return min(self._compared(_swift(sound or ready)), key=self._rank)
        return min(usable, key=_paused_until, default=None)

    def _compared(self, usable: _Starts) -> _Starts:
        """Draw the targets of which the least loaded gets the call.

        Half of them are of the own zone: of targets that have as many calls there
        is mostly a near one then.
        """
        if len(usable) <= COMPARED:
            return usable
        near = [one for one in usable if one.said.zone == self._zone]
        count = min(NEAR_COMPARED, len(near))
        drawn = self._random.sample(near, count)
        return [*drawn, *self._random.sample(usable, COMPARED - count)]

    def _rank(
        self, target: instances.TargetInstance
    ) -> tuple[float, bool, float]:
        is_far = target.said.zone != self._zone
        return target.load, is_far, self._random.random()


def _swift(ready: _Starts) -> _Starts:
    """Leave slow ranks out, unless they are too many.

    Ranks advance together, so one call at a slow rank slows the calls of all
    ranks, while a rank without calls holds up nobody by its own work.
    """
    found = [target for target in ready if target.pace < SLOW_PACE]
    return found if len(found) >= SWIFT_SHARE * len(ready) else ready


def _paused_until(target: instances.TargetInstance) -> float:
    return target.paused_until
