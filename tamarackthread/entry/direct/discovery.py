"""Wait for targets that an entry which has just started does not know yet."""

from __future__ import annotations

import asyncio
import collections.abc
import contextlib

from tamarackthread.entry.direct import instances

# After so many beats every target has announced itself, one beat being lost.
BEATS_TO_WARM = 2.2
# Calls that an entry which has just started has at one target.  Others start
# with it, and together they fill the few that are known by then: of seven, each
# may have one call at a target with six places.
WARM_CALLS = 1
# A call waits for a calmer target for so long at most: half of a beat brings
# some, and most aims are twice this.
CALM_SECONDS = 0.2

_Choose = collections.abc.Callable[[], instances.TargetInstance | None]


class InitialDiscovery:
    """The time in which targets announce themselves to a new entry.

    It knows them one by one, as each announces itself within a beat.  Calls
    that all go to the first ones are refused by them, though there is room at
    the others, and each refusal uses up a try that the budget allows.
    """

    def __init__(self, beat_seconds: float) -> None:
        """Begin now; a target announces itself once a beat."""
        now = asyncio.get_running_loop().time()
        self._warm_at = now + beat_seconds * BEATS_TO_WARM
        self._arrived = asyncio.Event()

    def note(self) -> None:
        """Note that a target has announced itself."""
        self._arrived.set()
        self._arrived = asyncio.Event()

    async def wait(self, choose: _Choose, seconds: float) -> None:
        """Wait until a target is there that others hardly can have filled.

        With any other that ``choose`` finds it waits less long.
        """
        loop = asyncio.get_running_loop()
        began = loop.time()
        until = min(began + seconds, self._warm_at)
        while loop.time() < until:
            found = choose()
            if found is not None and found.own < WARM_CALLS:
                return
            if found is not None:
                until = min(until, began + CALM_SECONDS)
            arrived = self._arrived
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout_at(until):
                    await arrived.wait()
