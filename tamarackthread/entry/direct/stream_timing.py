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
    pause: float = 0
    paused_until: float = 0

    def note(self, now: float) -> None:
        """Note that a piece has left."""
        if not self.first_at:
            self.first_at = now
        elif now - self.last_at > self.pause:
            self.pause = now - self.last_at
            self.paused_until = now
        self.last_at = now
