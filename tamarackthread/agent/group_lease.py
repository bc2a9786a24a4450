"""Hold a group's lease and track its expiry on the local clock."""

from __future__ import annotations

import asyncio
import logging

from tamarackthread.agent import control_client, order_errors
from tamarackthread.generated.messages import ttypes as messages
from tamarackthread.shared import errors

_log = logging.getLogger('tamarackthread.owner')
_MS_PER_SECOND = 1000
# Bound on the clock drift between two hosts, as a share of the lease.
_CLOCK_MARGIN = 0.05


class GroupLease:
    """Acquire, renew and release one lease.  Its time counts from before the
    request, so a partitioned holder stops before control grants it again.
    """

    def __init__(
        self,
        name: str,
        holder: str,
        lease_ms: int,
        retry_seconds: float,
        control: control_client.ControlClient,
    ) -> None:
        """Start without the lease."""
        self._name = name
        self._holder = holder
        self._lease_ms = lease_ms
        self._retry_seconds = retry_seconds
        self._control = control
        self._fence = 0
        self._expires_at = float('-inf')

    @property
    def fence(self) -> int:
        """Return the fencing number of the latest lease."""
        return self._fence

    @property
    def seconds_left(self) -> float:
        """Return the guaranteed time left, zero or negative without a lease."""
        return self._expires_at - asyncio.get_running_loop().time()

    @property
    def is_held(self) -> bool:
        """Tell whether the lease is guaranteed to be held."""
        return self.seconds_left > 0

    async def acquire(self) -> None:
        """Wait until the lease is granted, under a new fencing number."""
        self._fence = 0
        while True:
            wait = await self._request_lease()
            if wait is None:
                return
            await asyncio.sleep(max(wait, self._retry_seconds))

    async def maintain(self) -> None:
        """Renew the lease at a third of its length until it is lost."""
        pause = self._lease_ms / _MS_PER_SECOND / 3
        while self.is_held:
            await asyncio.sleep(pause)
            if self.is_held:
                await self._request_lease()

    async def release(self) -> None:
        """Release the lease, so that another holder need not wait for expiry."""
        self._expires_at = float('-inf')
        try:
            await self._control.lease(self._message(release=True))
        except order_errors.ControlUnreachable:
            # The lease expires without the release.
            return

    def invalidate(self, fence: int) -> None:
        """Drop the lease after seeing a higher fencing number."""
        _log.warning(
            'owner: lease superseded, %d is in force, ours is %d',
            fence,
            self._fence,
        )
        self._expires_at = float('-inf')

    async def _request_lease(self) -> float | None:
        """Request once; return ``None`` when granted, else seconds to wait."""
        sent_at = asyncio.get_running_loop().time()
        try:
            reply = await self._control.lease(self._message())
        except errors.CodedError:
            return self._retry_seconds
        # Another number means that the lease expired in between, and that
        # another owner may have acted: take over from the start.
        is_superseded = bool(self._fence) and reply.fence != self._fence
        if is_superseded:
            self.invalidate(reply.fence)
        if is_superseded or not reply.granted:
            return (reply.wait_ms or 0) / _MS_PER_SECOND
        self._fence = reply.fence
        length = reply.lease_ms / _MS_PER_SECOND * (1 - _CLOCK_MARGIN)
        self._expires_at = sent_at + length
        return None

    def _message(self, release: bool = False) -> messages.LeaseRequest:
        return messages.LeaseRequest(
            name=self._name,
            holder=self._holder,
            lease_ms=self._lease_ms,
            fence=self._fence,
            release=release,
        )
