"""Time the pieces of an answer as its caller gets them."""

from __future__ import annotations

import attrs


@attrs.define
class StreamTiming:
    """When an answer's pieces left, in seconds of the loop's clock.

    ``first_at`` is 0 until the first piece.  ``pause`` is the longest time
    between two pieces, which ended at ``paused_until``.  ``target`` has sent
    the newest piece.
    """

    target: str = ''
    first_at: float = 0
    last_at: float = 0
    longest_pause: float = 0
    longest_pause_end: float = 0

    def note(self, now: float) -> None:
        """Note that a piece has left."""
        if not self.first_at:
            self.first_at = now
        elif now - self.last_at > self.longest_pause:
            self.longest_pause = now - self.last_at
            self.longest_pause_end = now
        self.last_at = now
