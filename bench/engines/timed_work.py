"""Stand in for work off the loop where time is simulated."""

from __future__ import annotations

import asyncio
import collections.abc
import typing

from tamarackthread.shared import offload

_Result = typing.TypeVar('_Result')

# A plan for 63 ranks and 8 sets of 252 experts takes 41 ms, one for 12 ranks and
# 4 sets of 72 experts 4 ms, measured one after the other on one core.
PLAN_SECONDS = 0.041
SMALL_PLAN_SECONDS = 0.004


class TimedWork(offload.Offload):
    """Run work at once and let a stated time pass.

    With a real thread the simulated clock would run on by as much as the
    machine happened to take, and no two runs would be alike.
    """

    def __init__(self, seconds: float) -> None:
        """Let ``seconds`` of the loop's time pass for each piece of work."""
        self._seconds = seconds

    async def run(
        self,
        work: collections.abc.Callable[..., _Result],
        *given: typing.Any,
    ) -> _Result:
        """Return the result of what was given, after the stated time."""
        found = work(*given)
        await asyncio.sleep(self._seconds)
        return found
