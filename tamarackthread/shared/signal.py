"""Wake all tasks that wait for a change."""

from __future__ import annotations

import asyncio


class Signal:
    """A stateless condition; waiters check their predicate when woken."""

    def __init__(self) -> None:
        """Create a signal without waiters."""
        self._event = asyncio.Event()

    def notify(self) -> None:
        """Wake all current waiters."""
        self._event.set()
        self._event = asyncio.Event()

    async def wait(self, deadline: float) -> bool:
        """Wait until a deadline in loop time; return whether notified."""
        event = self._event
        try:
            async with asyncio.timeout_at(deadline):
                await event.wait()
        except TimeoutError:
            return False
        return True
