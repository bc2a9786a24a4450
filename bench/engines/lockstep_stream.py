"""One call's stream at a rank of an emulated group."""

from __future__ import annotations

import asyncio
import collections.abc

import attrs


@attrs.define(eq=False)
class Stream:
    """One call's stream at a rank."""

    prompt: int
    events: int
    arrived: float
    done: asyncio.Event = attrs.field(factory=asyncio.Event)
    first_at: float = 0
    last_at: float = 0
    longest_gap: float = 0
    on_pause: collections.abc.Callable[[float], None] | None = None

    def take_event(self, now: float) -> None:
        """Note that an event came, and the pause before it."""
        if self.first_at:
            pause = now - self.last_at
            self.longest_gap = max(self.longest_gap, pause)
            if self.on_pause is not None:
                self.on_pause(pause)
        else:
            self.first_at = now
        self.last_at = now
        self.events -= 1
        if self.events <= 0:
            self.done.set()
