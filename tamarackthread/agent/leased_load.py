"""Run a long load as long as the store gives it room, and resume it after."""

from __future__ import annotations

import asyncio
import collections.abc

from tamarackthread.agent import store_slots

_SLICE_SECONDS = 1
_Start = collections.abc.Callable[[], collections.abc.Awaitable[str]]


async def run(
    store: store_slots.StoreLimiter,
    start: _Start,
    urgent: bool,
) -> str:
    """Run ``start`` while a slot of the store is held; return its result.

    The failure: a load goes on after its lease has ended, and the groups
    together exceed the store's rate, so that urgent loads crawl.  The slot
    is renewed in slices; without it the load is cancelled and, being
    resumable, started again once there is a slot.
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
    """Tell whether the work ended before the slot was lost."""
    while True:
        done, _ = await asyncio.wait((work,), timeout=_SLICE_SECONDS)
        if done:
            return True
        if not await store.renew():
            return False
