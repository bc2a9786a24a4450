"""Limit loads from the weight store to its rate, by slots of equal rate that
are leased at control.  Slot 0 is reserved for urgent loads.
"""

from __future__ import annotations

import abc
import asyncio
import random

import attrs

from tamarackthread.agent import control_client, order_errors
from tamarackthread.generated.messages import ttypes as messages


class StoreLimiter(abc.ABC):
    """Limit the rate of loads from the weight store."""

    @abc.abstractmethod
    async def acquire(self, urgent: bool) -> None:
        """Wait until a piece may be loaded; urgent ones have priority."""

    @abc.abstractmethod
    async def renew(self) -> bool:
        """Renew the permission of a long load; return whether it still holds."""


class UnlimitedStore(StoreLimiter):
    """Allow every load, for a store without a rate limit."""

    async def acquire(self, urgent: bool) -> None:
        """Return at once."""

    async def renew(self) -> bool:
        """Return ``True``."""
        return True


@attrs.frozen
class SlotSettings:
    """Slots, urgent one included; ``margin_ms``, longer than a piece takes,
    must be left of a lease when a piece starts.
    """

    slots: int = 16
    lease_ms: int = 3000
    margin_ms: int = 500
    retry_seconds: float = 0.5


class LeasedStoreLimiter(StoreLimiter):
    """Lease one of the store's slots while loading pieces."""

    def __init__(
        self,
        control: control_client.ControlClient,
        holder: str,
        settings: SlotSettings,
        rng: random.Random,
    ) -> None:
        """Start without a slot; each rank needs a ``holder`` of its own."""
        self._control = control
        self._holder = holder
        self._settings = settings
        self._random = rng
        self._slot: int | None = None
        self._fence = 0
        self._expires_at = float('-inf')

    async def acquire(self, urgent: bool) -> None:
        """Wait until a slot is held with enough of its lease left."""
        loop = asyncio.get_running_loop()
        while loop.time() + self._settings.margin_ms / 1000 >= self._expires_at:
            if await self._lease(self._choose_slot(urgent)):
                continue
            self._slot = None
            jitter = self._random.uniform(0.5, 1.5)
            await asyncio.sleep(self._settings.retry_seconds * jitter)

    async def renew(self) -> bool:
        """Renew the slot's lease; return whether enough of it is left."""
        if self._slot is not None:
            await self._lease(self._slot)
        now = asyncio.get_running_loop().time()
        return now + self._settings.margin_ms / 1000 < self._expires_at

    async def release(self) -> None:
        """Release the slot."""
        slot = self._slot
        self._slot = None
        self._expires_at = float('-inf')
        if slot is None:
            return
        try:
            await self._control.lease(self._request(slot, release=True))
        except order_errors.ControlUnreachable:
            # The lease expires without the release.
            return

    def _choose_slot(self, urgent: bool) -> int:
        if self._slot is not None:
            return self._slot
        background_slot = self._random.randrange(1, self._settings.slots)
        return (
            self._random.choice((0, background_slot))
            if urgent
            else background_slot
        )

    async def _lease(self, slot: int) -> bool:
        if slot != self._slot:
            self._fence = 0
        sent_at = asyncio.get_running_loop().time()
        try:
            reply = await self._control.lease(self._request(slot))
        except order_errors.ControlUnreachable:
            return False
        if not reply.granted:
            return False
        self._slot = slot
        self._fence = reply.fence
        # Counted from before the request, so that it expires here first.
        self._expires_at = sent_at + reply.lease_ms / 1000
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
