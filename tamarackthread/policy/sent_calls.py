"""Count the calls recently sent to one target."""

from __future__ import annotations

import collections

# Longest window that can be counted.
MAX_WINDOW_SECONDS = 4.4


class SentCalls:
    """A sliding window of the times at which calls were sent."""

    def __init__(self) -> None:
        """Start empty."""
        self._sent_at: collections.deque[float] = collections.deque()

    def record(self, now: float) -> None:
        """Record a call sent at ``now``, in seconds."""
        self._sent_at.append(now)
        while now - self._sent_at[0] >= MAX_WINDOW_SECONDS:
            self._sent_at.popleft()

    def count_within(self, now: float, span: float) -> int:
        """Count the calls of the last ``span`` seconds."""
        count = 0
        for sent_at in reversed(self._sent_at):
            if now - sent_at >= span:
                break
            count += 1
        return count
