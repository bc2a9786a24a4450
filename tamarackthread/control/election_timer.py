"""Time how long a member waits for its leader."""

from __future__ import annotations

import asyncio
import contextlib
import math
import random

from tamarackthread.control import timing

_LEAST_WAIT_SECONDS = 0.001


class ElectionTimer:
    """Know when a leader was last heard and when to stand for election.

    All times are of the event loop's clock, in seconds.
    """

    def __init__(self, times: timing.Timing, rng: random.Random) -> None:
        """Wait for nothing until ``restart``."""
        self._times = times
        self._rng = rng
        self._heard_at = -math.inf
        self._due_at = math.inf
        self._sooner = asyncio.Event()

    @property
    def due_in(self) -> float:
        """Return how long to wait before standing, negative when due."""
        return self._due_at - _now()

    @property
    def is_leader_active(self) -> bool:
        """Say whether a leader's lease may still rest on this member."""
        return _now() < self._heard_at + self._times.election_min

    async def wait(self) -> None:
        """Wait until this member has to stand, however that moment moves."""
        while self.due_in > 0:
            self._sooner.clear()
            # A shorter wait may end without the clock having moved on.
            wait = max(self.due_in, _LEAST_WAIT_SECONDS)
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._sooner.wait(), wait)

    def start(self) -> None:
        """Begin after the process has started.

        A voter that has restarted can't know whether it heard a leader a
        moment ago.  Voting at once would break that leader's lease; waiting
        as if it had heard one just now keeps every lease it may support.
        Where nobody counts on the lease, that wait guards nothing: a leader
        that works is heard by a quorum, which refuses this member's pre-vote.
        """
        if self._times.short_election_max:
            self.shorten()
        else:
            self.record_contact()

    def record_contact(self) -> None:
        """Note that a leader has just spoken."""
        self._heard_at = _now()
        self.reset()

    def shorten(self) -> None:
        """Wait for no leader any more, and stand within a moment."""
        self._heard_at = -math.inf
        self._due_at = _now() + self._rng.uniform(
            0, self._times.short_election_max
        )
        self._sooner.set()

    def back_off(self) -> None:
        """Wait a random time before standing once more.

        Without a leader to wait for, and that is so until one is heard, the
        wait has only to keep candidates from meeting again.
        """
        if self._times.short_election_max and self._heard_at == -math.inf:
            self._due_at = (
                _now()
                + self._rng.uniform(1, 3) * self._times.short_election_max
            )
        else:
            self.reset()

    def reset(self) -> None:
        """Wait a random time from now before standing."""
        self._due_at = _now() + self._rng.uniform(
            self._times.election_min, self._times.election_max
        )

    def forget_leader(self) -> None:
        """Forget the leader, which has given up its lease."""
        self._heard_at = -math.inf

    def expire(self) -> None:
        """Stand for election as soon as possible."""
        self._due_at = _now()
        self._sooner.set()


def _now() -> float:
    return asyncio.get_running_loop().time()
