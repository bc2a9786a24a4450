"""Wake all tasks that wait for something to change."""

from __future__ import annotations

import asyncio


class Signal:
    """A condition without state: waiters look again after each wake."""

    def __init__(self) -> None:
        """Start with nobody waiting."""
        self._event = asyncio.Event()

    def notify(self) -> None:
        """Wake everybody who waits now."""
        self._event.set()
        self._event = asyncio.Event()

    async def wait(self, until: float) -> bool:
        """Wait for a wake up to a time on the loop's clock; say if it came."""
        event = self._event
        try:
            async with asyncio.timeout_at(until):
                await event.wait()
        except TimeoutError:
            return False
        return True
