"""Hold a group's lease, and know by the own clock when it ends."""

from __future__ import annotations

import asyncio
import logging

from tamarackthread.agent import control_client, order_errors
from tamarackthread.generated.messages import ttypes as messages
from tamarackthread.shared import errors

_log = logging.getLogger('tamarackthread.owner')
_MS = 1000
# Part of a lease that clocks of two hosts may differ by, with room.
_CLOCK_MARGIN = 0.05


class GroupLease:
    """Take, renew and give back one lease.

    Time is counted from before a request left, so a holder that is cut off
    stops by its own clock before control lets another one in.
    """

    def __init__(
        self,
        name: str,
        holder: str,
        lease_ms: int,
        retry_seconds: float,
        control: control_client.ControlClient,
    ) -> None:
        """Hold nothing yet."""
        self._name = name
        self._holder = holder
        self._lease_ms = lease_ms
        self._retry_seconds = retry_seconds
        self._control = control
        self._fence = 0
        self._until = float('-inf')

    @property
    def fence(self) -> int:
        """Return the fencing number of the lease last held."""
        return self._fence

    @property
    def seconds_left(self) -> float:
        """Return how long the lease surely lasts; not above 0 without it."""
        return self._until - asyncio.get_running_loop().time()

    @property
    def is_held(self) -> bool:
        """Tell whether nobody else can have the lease now."""
        return self.seconds_left > 0

    async def acquire(self) -> None:
        """Wait until the lease is ours, under a new fencing number."""
        self._fence = 0
        while True:
            wait = await self._ask()
            if wait is None:
                return
            await asyncio.sleep(max(wait, self._retry_seconds))

    async def maintain(self) -> None:
        """Renew the lease at a third of it, until it is lost."""
        pause = self._lease_ms / _MS / 3
        while self.is_held:
            await asyncio.sleep(pause)
            if self.is_held:
                await self._ask()

    async def release(self) -> None:
        """Give the lease back, so that another holder need not wait."""
        self._until = float('-inf')
        try:
            await self._control.lease(self._request(release=True))
        except order_errors.ControlUnreachable:
            # The lease ends by itself.
            return

    def invalidate(self, fence: int) -> None:
        """Stop at once, because a higher number than ours has been seen."""
        _log.warning('owner: %d is in force, ours is %d', fence, self._fence)
        self._until = float('-inf')

    async def _ask(self) -> float | None:
        """Ask once; return ``None`` when granted, else seconds to wait."""
        asked = asyncio.get_running_loop().time()
        try:
            reply = await self._control.lease(self._request())
        except errors.CodedError:
            return self._retry_seconds
        # A lease that had ended in between is ours under a new number: all
        # that was known under the old one has to be learnt again.
        is_other = bool(self._fence) and reply.fence != self._fence
        if is_other:
            self.invalidate(reply.fence)
        if is_other or not reply.granted:
            return (reply.wait_ms or 0) / _MS
        self._fence = reply.fence
        length = reply.lease_ms / _MS * (1 - _CLOCK_MARGIN)
        self._until = asked + length
        return None

    def _request(self, release: bool = False) -> messages.LeaseRequest:
        return messages.LeaseRequest(
            name=self._name,
            holder=self._holder,
            lease_ms=self._lease_ms,
            fence=self._fence,
            release=release,
        )
