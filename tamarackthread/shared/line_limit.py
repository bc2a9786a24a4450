"""Bound the lines that clients can make a process log."""

from __future__ import annotations

import asyncio
import logging

WINDOW_SECONDS = 1.0


class LineLimit(logging.Filter):
    """Let through so many lines of a second; the others are dropped."""

    def __init__(self, lines: int) -> None:
        """Allow ``lines`` in each second."""
        super().__init__()
        self._lines = lines
        self._left = lines
        self._begun_at: float = 0
        self._left_out = 0

    def allows(self) -> bool:
        """Tell whether one more line may be logged, and count it."""
        now = asyncio.get_running_loop().time()
        if now >= self._begun_at + WINDOW_SECONDS:
            self._begun_at = now
            self._left = self._lines
        if self._left:
            self._left -= 1
            return True
        self._left_out += 1
        return False

    def take_left_out(self) -> int:
        """Return how many lines were left out since the last question."""
        left_out = self._left_out
        self._left_out = 0
        return left_out

    def filter(self, record: logging.LogRecord) -> bool:
        """Limit the lines of the logger that this filter is added to."""
        return self.allows()
