"""Delay calls while an entry that has just started discovers targets."""

from __future__ import annotations

import asyncio
import collections.abc

from tamarackthread.entry.direct import instances

# Heartbeats until all targets are known, one of which may be lost.
WARM_UP_BEATS = 2.2
# Other entries start at the same time, so the first known targets fill up.
MAX_WARM_UP_CALLS = 1
# Longest wait for a less loaded target when a busy one is known.
LESS_LOADED_WAIT_SECONDS = 0.2

_Choose = collections.abc.Callable[[], instances.TargetInstance | None]


class InitialDiscovery:
    """Hold calls back during the warm-up period of an entry."""

    def __init__(self, beat_seconds: float) -> None:
        """Start the warm-up; a target sends a heartbeat once a beat."""
        now = asyncio.get_running_loop().time()
        # The few targets known at first would refuse most calls for lack of
        # slots, and each refusal uses up the retry budget.
        self._ends_at = now + beat_seconds * WARM_UP_BEATS
        self._announced = asyncio.Event()

    def note(self) -> None:
        """Wake waiting calls after a target has announced itself."""
        self._announced.set()
        self._announced = asyncio.Event()

    async def wait(self, choose: _Choose, seconds: float) -> None:
        """Wait until ``choose`` finds a target, less long for a busy one."""
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        deadline = min(started_at + seconds, self._ends_at)
        while loop.time() < deadline:
            found = choose()
            if found is not None and found.own_calls < MAX_WARM_UP_CALLS:
                return
            if found is not None:
                deadline = min(deadline, started_at + LESS_LOADED_WAIT_SECONDS)
            announced = self._announced
            try:
                async with asyncio.timeout_at(deadline):
                    await announced.wait()
            except TimeoutError:
                # By its resolution, the clock may still be before the deadline.
                return
