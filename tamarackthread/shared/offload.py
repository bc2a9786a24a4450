"""Run long work, such as planning, off the event loop.  Simulations replace
this by a fake that takes simulated time.
"""

from __future__ import annotations

import abc
import asyncio
import collections.abc
import typing

_Result = typing.TypeVar('_Result')


class Offload(abc.ABC):
    """Run blocking work without blocking the event loop."""

    @abc.abstractmethod
    async def run(
        self,
        work: collections.abc.Callable[..., _Result],
        *args: typing.Any,
    ) -> _Result:
        """Return the result of ``work(*args)`` or raise its exception."""


class ThreadOffload(Offload):
    """Run work in the loop's default thread pool."""

    async def run(
        self,
        work: collections.abc.Callable[..., _Result],
        *args: typing.Any,
    ) -> _Result:
        """Run the work in a thread."""
        return await asyncio.to_thread(work, *args)
