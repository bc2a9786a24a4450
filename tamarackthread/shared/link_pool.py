"""Pool one link for each dialled address."""

from __future__ import annotations

import asyncio
import random

import attrs

from tamarackthread.generated.messages import ttypes as messages
from tamarackthread.shared import connecting, errors, identity, link

FIRST_BACKOFF_SECONDS = 0.05
MAX_BACKOFF_SECONDS = 2.0
STALE_HEARTBEATS = 2.5


class RejectingHandler(link.Handler):
    """Reject requests of the peer on a link that is used for own requests."""

    async def on_request(
        self,
        link: link.Link,
        request: messages.Request,
    ) -> messages.Reply:
        """Raise ``RequestUnsupported``."""
        raise errors.RequestUnsupported


@attrs.define
class _Backoff:
    until: float = 0
    seconds: float = FIRST_BACKOFF_SECONDS
    error: str = ''


class LinkPool:
    """Dial addresses and share one link to each among all users."""

    def __init__(
        self,
        options: identity.LinkOptions,
        handler: link.Handler | None = None,
        rng: random.Random | None = None,
        max_backoff_seconds: float = MAX_BACKOFF_SECONDS,
        dial_timeout_seconds: float | None = None,
    ) -> None:
        """Create an empty pool; ``rng`` gives the jitter of reconnects and
        ``dial_timeout_seconds`` defaults to the timeout of the options.
        """
        self._dial_timeout_seconds = dial_timeout_seconds
        self._max_backoff_seconds = max_backoff_seconds
        self._options = options
        self._handler = handler or RejectingHandler()
        self._rng = rng or random.Random()
        self._links: dict[str, link.Link] = {}
        self._dials: dict[str, asyncio.Task[link.Link]] = {}
        self._backoffs: dict[str, _Backoff] = {}

    @property
    def own_identity(self) -> identity.Identity:
        """Return the identity of this process."""
        return self._options.identity

    @property
    def links(self) -> dict[str, link.Link]:
        """Return the open links by address."""
        return {
            address: pooled
            for address, pooled in self._links.items()
            if not pooled.is_closed
        }

    def current(self, address: str) -> link.Link | None:
        """Return the open link to an address without dialling."""
        pooled = self._links.get(address)
        if pooled is None or pooled.is_closed:
            return None
        return pooled

    async def link(self, address: str) -> link.Link:
        """Return a link to the address, dialling if none echoes heartbeats; a link
        without recent echoes is returned only if dialling fails.
        """
        pooled = self.current(address)
        if pooled is not None and self._accepts_streams(pooled):
            return pooled
        try:
            return await self._join_dial(address)
        except errors.CodedError:
            if pooled is not None and not pooled.is_closed:
                return pooled
            raise

    async def request(
        self,
        address: str,
        request: messages.Request,
        timeout_seconds: float,
    ) -> messages.Reply:
        """Send a request to the process at an address."""
        pooled = await self.link(address)
        return await pooled.request(request, timeout_seconds)

    def close(self) -> None:
        """Cancel pending dials and close every link."""
        for dial in tuple(self._dials.values()):
            dial.cancel()
        for pooled in tuple(self._links.values()):
            pooled.close('process is stopping')

    def _accepts_streams(self, pooled: link.Link) -> bool:
        if pooled.peer_closing:
            return False
        return pooled.is_alive(
            self._options.heartbeat_seconds * STALE_HEARTBEATS
        )

    async def _join_dial(self, address: str) -> link.Link:
        backoff = self._backoffs.get(address)
        now = asyncio.get_running_loop().time()
        if backoff is not None and now < backoff.until:
            raise errors.AddressUnreachable(backoff.error)
        dial = self._dials.get(address)
        if dial is None:
            dial = asyncio.get_running_loop().create_task(self._dial(address))
            self._dials[address] = dial
            dial.add_done_callback(lambda done: self._on_dialled(address, done))
        return await asyncio.shield(dial)

    def _on_dialled(self, address: str, done: asyncio.Task[link.Link]) -> None:
        self._dials.pop(address, None)
        # Marks the exception as retrieved, so that asyncio doesn't log it if
        # every waiter was cancelled; the backoff keeps its text.
        if not done.cancelled():
            done.exception()

    async def _dial(self, address: str) -> link.Link:
        try:
            dialled = await connecting.connect(
                address,
                self._options,
                self._handler,
                self._dial_timeout_seconds,
            )
        except errors.CodedError as exc:
            self._back_off(address, str(exc))
            raise
        self._backoffs.pop(address, None)
        self._links[address] = dialled
        return dialled

    def _back_off(self, address: str, error: str) -> None:
        backoff = self._backoffs.setdefault(address, _Backoff())
        now = asyncio.get_running_loop().time()
        # Jitter keeps many peers from reconnecting at once after a host
        # restarts.
        backoff.until = now + backoff.seconds * self._rng.uniform(0.5, 1)
        backoff.seconds = min(backoff.seconds * 2, self._max_backoff_seconds)
        backoff.error = error
