"""Keep one link to each address that this process dials."""

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
    """Refuse whatever a peer asks on a link that we dialled only to ask."""

    async def on_request(
        self,
        link: link.Link,
        request: messages.Request,
    ) -> messages.Reply:
        """Refuse the request by its code."""
        raise errors.RequestUnsupported


@attrs.define
class _Backoff:
    until: float = 0
    seconds: float = FIRST_BACKOFF_SECONDS
    error: str = ''


class LinkPool:
    """Dial addresses and share one link to each among all callers."""

    def __init__(
        self,
        options: identity.LinkOptions,
        handler: link.Handler | None = None,
        rng: random.Random | None = None,
        max_backoff_seconds: float = MAX_BACKOFF_SECONDS,
        dial_timeout_seconds: float | None = None,
    ) -> None:
        """Dial nothing yet; ``rng`` spreads reconnects after a failure.

        A connection must come about in ``dial_seconds``, by default the link's
        timeout.
        """
        self._dial_seconds = dial_timeout_seconds
        self._most_backoff = max_backoff_seconds
        self._options = options
        self._handler = handler or RejectingHandler()
        self._rng = rng or random.Random()
        self._links: dict[str, link.Link] = {}
        self._dials: dict[str, asyncio.Task[link.Link]] = {}
        self._backoffs: dict[str, _Backoff] = {}

    @property
    def own_identity(self) -> identity.Identity:
        """Return who this process is."""
        return self._options.identity

    @property
    def links(self) -> dict[str, link.Link]:
        """Give the open links by address."""
        return {
            address: held
            for address, held in self._links.items()
            if not held.is_closed
        }

    def current(self, address: str) -> link.Link | None:
        """Give the open link to an address without dialling."""
        held = self._links.get(address)
        if held is None or held.is_closed:
            return None
        return held

    async def link(self, address: str) -> link.Link:
        """Give a link to the address, dialling if there is none that echoes.

        A link that has stopped echoing keeps its streams until its timeout,
        but new work gets a new connection: what lost track of the old one
        does not stop the new one.
        """
        held = self.current(address)
        if held is not None and self._is_usable(held):
            return held
        try:
            return await self._dial_once(address)
        except errors.CodedError:
            if held is not None and not held.is_closed:
                return held
            raise

    async def request(
        self,
        address: str,
        request: messages.Request,
        timeout_seconds: float,
    ) -> messages.Reply:
        """Ask the process at an address."""
        held = await self.link(address)
        return await held.request(request, timeout_seconds)

    def close(self) -> None:
        """Close every link and stop dialling."""
        for dial in tuple(self._dials.values()):
            dial.cancel()
        for held in tuple(self._links.values()):
            held.close('this process stops')

    def _is_usable(self, held: link.Link) -> bool:
        if held.peer_closing:
            return False
        return held.is_alive(self._options.heartbeat_seconds * STALE_HEARTBEATS)

    async def _dial_once(self, address: str) -> link.Link:
        backoff = self._backoffs.get(address)
        now = asyncio.get_running_loop().time()
        if backoff is not None and now < backoff.until:
            raise errors.AddressUnreachable(backoff.error)
        dial = self._dials.get(address)
        if dial is None:
            dial = asyncio.get_running_loop().create_task(self._dial(address))
            self._dials[address] = dial
            dial.add_done_callback(lambda done: self._dialled(address, done))
        return await asyncio.shield(dial)

    def _dialled(self, address: str, done: asyncio.Task[link.Link]) -> None:
        self._dials.pop(address, None)
        # Whoever waited may have given up; its failure is in the backoff and
        # must not be logged as a fault that nobody looked at.
        if not done.cancelled():
            done.exception()

    async def _dial(self, address: str) -> link.Link:
        try:
            dialled = await connecting.connect(
                address,
                self._options,
                self._handler,
                self._dial_seconds,
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
        # Jitter spreads the reconnects of many peers after a host returns;
        # without it they would all come back in the same instant.
        backoff.until = now + backoff.seconds * self._rng.uniform(0.5, 1)
        backoff.seconds = min(backoff.seconds * 2, self._most_backoff)
        backoff.error = error
