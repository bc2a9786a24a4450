"""Record when the pieces of a response are sent to the caller."""

from __future__ import annotations

import attrs


@attrs.define
class StreamTiming:
    """Times at which pieces were sent, in seconds of the event loop's clock."""

    # The target that sent the newest piece.
    target: str = ''
    # 0 until the first piece is sent.
    first_at: float = 0
    last_at: float = 0
    # The longest time between two pieces, and when it ended.
    longest_pause: float = 0
    longest_pause_end: float = 0

    def note(self, now: float) -> None:
        """Record that a piece was sent."""
        if not self.first_at:
            self.first_at = now
        elif now - self.last_at > self.longest_pause:
            self.longest_pause = now - self.last_at
            self.longest_pause_end = now
        self.last_at = now
