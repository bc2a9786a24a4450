"""Bound everything that waits in a process by the time that it has left."""

from __future__ import annotations

import asyncio
import collections.abc
import contextlib
import math


class StopDeadline:
    """When a stopping process ends; the only place that knows.

    A request that still waits when its process ends would be cut off without
    an answer, though it could have been refused in time.
    """

    def __init__(self) -> None:
        """Start without a stop."""
        self._ends_at = math.inf
        # The scopes that are open, and how long before the end each must close.
        self._leads: dict[asyncio.Timeout, float] = {}

    @property
    def has_begun(self) -> bool:
        """Return whether the process is stopping."""
        return not math.isinf(self._ends_at)

    @property
    def ends_at(self) -> float:
        """Return the end on the loop's clock, infinity unless stopping."""
        return self._ends_at

    def begin(self, seconds: float) -> None:
        """End the process in ``seconds``; a second call changes nothing."""
        if self.has_begun:
            return
        self._ends_at = asyncio.get_running_loop().time() + seconds
        for scope, lead in self._leads.items():
            if scope.expired():
                continue
            at = self._ends_at - lead
            known = scope.when()
            scope.reschedule(at if known is None else min(at, known))

    @contextlib.asynccontextmanager
    async def timeout_at(
        self, when: float, lead: float = 0
    ) -> collections.abc.AsyncIterator[None]:
        """Run a block until ``when``, or ``lead`` seconds before the end.

        Raises ``TimeoutError``, also if the stop begins meanwhile.
        """
        limit = min(when, self._ends_at - lead)
        scope = asyncio.timeout_at(None if math.isinf(limit) else limit)
        self._leads[scope] = lead
        try:
            async with scope:
                yield
        finally:
            self._leads.pop(scope)
