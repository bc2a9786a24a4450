"""Run a long load only while a slot of the weight store is leased."""

from __future__ import annotations

import asyncio
import collections.abc

from tamarackthread.agent import store_slots

_RENEW_SECONDS = 1
_Start = collections.abc.Callable[[], collections.abc.Awaitable[str]]


async def run(
    store: store_slots.StoreLimiter,
    start: _Start,
    urgent: bool,
) -> str:
    """Run the resumable load ``start`` and return its result.  It is cancelled
    when the slot is lost, to keep the rate limit, and resumed with the next.
    """
    while True:
        await store.acquire(urgent=urgent)
        work = asyncio.ensure_future(start())
        try:
            if await _while_held(store, work):
                return work.result()
        finally:
            work.cancel()


async def _while_held(
    store: store_slots.StoreLimiter,
    work: asyncio.Future[str],
) -> bool:
    """Return whether the work ended before the slot was lost."""
    while True:
        done, _ = await asyncio.wait((work,), timeout=_RENEW_SECONDS)
        if done:
            return True
        if not await store.renew():
            return False
