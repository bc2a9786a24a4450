"""Run work that takes long off the event loop.

A plan takes tens of milliseconds; on the loop it would hold up heartbeats and
callers.  What runs elsewhere takes real time, which a simulated clock knows
nothing of: a simulated run takes a stand-in that says how long the work takes.
"""

from __future__ import annotations

import abc
import asyncio
import collections.abc
import typing

_Result = typing.TypeVar('_Result')


class Offload(abc.ABC):
    """Run work while the event loop goes on."""

    @abc.abstractmethod
    async def run(
        self,
        work: collections.abc.Callable[..., _Result],
        *given: typing.Any,
    ) -> _Result:
        """Return what ``work(*given)`` returns, or raise what it raises."""


class ThreadOffload(Offload):
    """Run work in the loop's default threads."""

    async def run(
        self,
        work: collections.abc.Callable[..., _Result],
        *given: typing.Any,
    ) -> _Result:
        """Run the work in a thread."""
        return await asyncio.to_thread(work, *given)
