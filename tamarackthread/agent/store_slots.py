"""Share the rate-limited weight store among all groups.

The store's rate is cut into equal slots, each a lease at control.  A holder
loads at one slot's rate, so however many groups there are, together they
stay under the limit, also when control is out of reach: a lease that ends
unrenewed ends the loading.  Slot 0 is kept for urgent loads.
"""

from __future__ import annotations

import abc
import asyncio
import random

import attrs

from tamarackthread.agent import control_client, order_errors
from tamarackthread.generated.messages import ttypes as messages


class StoreLimiter(abc.ABC):
    """Give permission to load from the store."""

    @abc.abstractmethod
    async def acquire(self, urgent: bool) -> None:
        """Wait until a piece may be loaded; urgent ones wait less."""

    @abc.abstractmethod
    async def renew(self) -> bool:
        """Keep the permission for a long load; tell whether it is kept."""


class UnlimitedStore(StoreLimiter):
    """Let every piece through, where the store has no limit."""

    async def acquire(self, urgent: bool) -> None:
        """Return at once."""

    async def renew(self) -> bool:
        """Keep the permission."""
        return True


@attrs.frozen
class SlotSettings:
    """Hold the constants of the slots; ``slots`` counts with the urgent one.

    ``spare_ms`` of a lease must be left when a piece starts, more than a
    piece takes.
    """

    slots: int = 16
    lease_ms: int = 3000
    margin_ms: int = 500
    retry_seconds: float = 0.5


class LeasedStoreLimiter(StoreLimiter):
    """Hold one of the store's slots while pieces are loaded."""

    def __init__(
        self,
        control: control_client.ControlClient,
        holder: str,
        settings: SlotSettings,
        rng: random.Random,
    ) -> None:
        """Name the holder, one for each rank's loader."""
        self._control = control
        self._holder = holder
        self._settings = settings
        self._random = rng
        self._slot: int | None = None
        self._fence = 0
        self._until = float('-inf')

    async def acquire(self, urgent: bool) -> None:
        """Wait until this holder has a slot with enough time left."""
        loop = asyncio.get_running_loop()
        while loop.time() + self._settings.margin_ms / 1000 >= self._until:
            if await self._take(self._choose(urgent)):
                continue
            self._slot = None
            spread = self._random.uniform(0.5, 1.5)
            await asyncio.sleep(self._settings.retry_seconds * spread)

    async def renew(self) -> bool:
        """Renew the slot's lease; tell whether enough of it is left."""
        if self._slot is not None:
            await self._take(self._slot)
        now = asyncio.get_running_loop().time()
        return now + self._settings.margin_ms / 1000 < self._until

    async def release(self) -> None:
        """Give the slot back when nothing is left to load."""
        slot = self._slot
        self._slot = None
        self._until = float('-inf')
        if slot is None:
            return
        try:
            await self._control.lease(self._request(slot, release=True))
        except order_errors.ControlUnreachable:
            # The lease ends by itself.
            return

    def _choose(self, urgent: bool) -> int:
        if self._slot is not None:
            return self._slot
        common = self._random.randrange(1, self._settings.slots)
        return self._random.choice((0, common)) if urgent else common

    async def _take(self, slot: int) -> bool:
        if slot != self._slot:
            self._fence = 0
        asked = asyncio.get_running_loop().time()
        try:
            reply = await self._control.lease(self._request(slot))
        except order_errors.ControlUnreachable:
            return False
        if not reply.granted:
            return False
        self._slot = slot
        self._fence = reply.fence
        # Counted from before the request left: control's count began later.
        self._until = asked + reply.lease_ms / 1000
        return True

    def _request(
        self,
        slot: int,
        release: bool = False,
    ) -> messages.LeaseRequest:
        return messages.LeaseRequest(
            name=f'store-slot-{slot}',
            holder=self._holder,
            lease_ms=self._settings.lease_ms,
            fence=self._fence,
            release=release,
        )
