"""Count the calls that were sent to one target of late."""

from __future__ import annotations

import collections

# The longest time over which calls are counted.
MAX_WINDOW_SECONDS = 4.4


class SentCalls:
    """The moments at which calls were sent to one target."""

    def __init__(self) -> None:
        """Begin without any."""
        self._moments: collections.deque[float] = collections.deque()

    def record(self, now: float) -> None:
        """Count a call."""
        self._moments.append(now)
        while now - self._moments[0] >= MAX_WINDOW_SECONDS:
            self._moments.popleft()

    def count_within(self, now: float, span: float) -> int:
        """Return the calls of the last ``span`` seconds."""
        found = 0
        for moment in reversed(self._moments):
            if now - moment >= span:
                break
            found += 1
        return found
