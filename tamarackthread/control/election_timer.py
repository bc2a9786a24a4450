"""Time out a leader that sends no heartbeats."""

from __future__ import annotations

import asyncio
import contextlib
import math
import random

from tamarackthread.control import timing

_MIN_WAIT_SECONDS = 0.001


class ElectionTimer:
    """Randomised election timeout of one member.

    Times are on the event loop's clock, in seconds.
    """

    def __init__(self, times: timing.Timing, rng: random.Random) -> None:
        """Create a stopped timer."""
        self._times = times
        self._rng = rng
        self._leader_seen_at = -math.inf
        self._due_at = math.inf
        self._rescheduled = asyncio.Event()

    @property
    def due_in(self) -> float:
        """Return the time to the election timeout, negative if overdue."""
        return self._due_at - _now()

    @property
    def is_leader_active(self) -> bool:
        """Return whether a leader's lease may still depend on this member."""
        return _now() < self._leader_seen_at + self._times.election_min

    async def wait(self) -> None:
        """Wait for the election timeout, following every reset."""
        while self.due_in > 0:
            self._rescheduled.clear()
            # A shorter wait may end before the clock advances.
            wait = max(self.due_in, _MIN_WAIT_SECONDS)
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._rescheduled.wait(), wait)

    def start(self) -> None:
        """Start the timer after the process has started."""
        # A restarted voter may have supported a lease just before.  Where
        # leases are used, it waits as long as after a heartbeat.
        if self._times.short_election_max:
            self.shorten()
        else:
            self.record_contact()

    def record_contact(self) -> None:
        """Record a message from the leader and reset the timer."""
        self._leader_seen_at = _now()
        self.reset()

    def shorten(self) -> None:
        """Forget the leader and use the short election timeout."""
        self._leader_seen_at = -math.inf
        self._due_at = _now() + self._rng.uniform(
            0, self._times.short_election_max
        )
        self._rescheduled.set()

    def back_off(self) -> None:
        """Wait a random time before the next election."""
        # Without a leader only split votes must be avoided, so that a short
        # timeout is enough.
        if self._times.short_election_max and self._leader_seen_at == -math.inf:
            self._due_at = (
                _now()
                + self._rng.uniform(1, 3) * self._times.short_election_max
            )
        else:
            self.reset()

    def reset(self) -> None:
        """Restart the timer with a random election timeout."""
        self._due_at = _now() + self._rng.uniform(
            self._times.election_min, self._times.election_max
        )

    def forget_leader(self) -> None:
        """Forget the leader, whose lease is released."""
        self._leader_seen_at = -math.inf

    def expire(self) -> None:
        """Expire the timer now."""
        self._due_at = _now()
        self._rescheduled.set()


def _now() -> float:
    return asyncio.get_running_loop().time()
