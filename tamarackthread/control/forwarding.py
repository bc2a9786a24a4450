"""Pass a request on to the leader of the configuration group.

An operator or an agent may ask any control host.  What it asks is safe to be
asked twice, so the request is tried again while an election is on.
"""

from __future__ import annotations

import asyncio
import collections.abc

from tamarackthread.control import failures, group
from tamarackthread.generated.messages import ttypes as messages
from tamarackthread.shared import errors, peers

RETRY_TIMEOUT_SECONDS = 4.0
ATTEMPT_TIMEOUT_SECONDS = 2.0
RETRY_INTERVAL_SECONDS = 0.05
_RETRYABLE = (
    failures.NotLeader,
    failures.OutcomeUnknown,
    errors.AddressUnreachable,
    errors.LinkLost,
    errors.RequestTimeout,
)


class Forwarder:
    """Know where the leader is and ask it."""

    def __init__(
        self,
        config: group.Group,
        address_of: collections.abc.Callable[[str], str],
        links: peers.Peers,
        own_node: str,
    ) -> None:
        """Find the leader's address by its node with ``address_of``."""
        self._config = config
        self._address_of = address_of
        self._links = links
        self._own_node = own_node

    def leader_address(self) -> str:
        """Give the leader's address, empty if it is unknown or this host."""
        leader = self._config.leader
        if not leader or leader == self._own_node:
            return ''
        return self._address_of(leader)

    async def ask(
        self,
        request: messages.Request,
        leads: collections.abc.Callable[[], bool],
    ) -> messages.Reply | None:
        """Ask the leader; ``None`` once this host leads itself."""
        loop = asyncio.get_running_loop()
        until = loop.time() + RETRY_TIMEOUT_SECONDS
        failure: errors.CodedError = failures.NotLeader('no leader is known')
        while loop.time() < until:
            if leads():
                return None
            try:
                return await self._ask_leader(request)
            except _RETRYABLE as exc:
                failure = exc
            await asyncio.sleep(RETRY_INTERVAL_SECONDS)
        raise failure

    async def _ask_leader(self, request: messages.Request) -> messages.Reply:
        address = self.leader_address()
        if not address:
            raise failures.NotLeader('no leader is known')
        asking = asyncio.ensure_future(
            self._links.request(address, request, ATTEMPT_TIMEOUT_SECONDS),
        )
        try:
            # An isolated leader answers nothing; the wait for it ends as
            # soon as another one is known.
            while not asking.done():
                await asyncio.wait((asking,), timeout=RETRY_INTERVAL_SECONDS)
                if not asking.done() and self.leader_address() != address:
                    raise failures.NotLeader('leader changed')
            return asking.result()
        finally:
            asking.cancel()
