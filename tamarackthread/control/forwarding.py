"""Forward requests to the leader of the configuration group.

Forwarded requests are idempotent and are retried during an election.
"""

from __future__ import annotations

import asyncio
import collections.abc

from tamarackthread.control import failures, group
from tamarackthread.generated.messages import ttypes as messages
from tamarackthread.shared import errors, link_pool

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
    """Locate the leader and send it requests."""

    def __init__(
        self,
        config: group.Group,
        address_of: collections.abc.Callable[[str], str],
        links: link_pool.LinkPool,
        own_node: str,
    ) -> None:
        """Resolve the leader's node to an address by ``address_of``."""
        self._config = config
        self._address_of = address_of
        self._links = links
        self._own_node = own_node

    def leader_address(self) -> str:
        """Return the leader's address, empty if unknown or this host."""
        leader = self._config.leader
        if not leader or leader == self._own_node:
            return ''
        return self._address_of(leader)

    async def forward(
        self,
        request: messages.Request,
        leads: collections.abc.Callable[[], bool],
    ) -> messages.Reply | None:
        """Forward a request; return ``None`` once this host leads itself."""
        loop = asyncio.get_running_loop()
        deadline = loop.time() + RETRY_TIMEOUT_SECONDS
        failure: errors.CodedError = failures.NotLeader('no leader is known')
        while loop.time() < deadline:
            if leads():
                return None
            try:
                return await self._forward_once(request)
            except _RETRYABLE as exc:
                failure = exc
            await asyncio.sleep(RETRY_INTERVAL_SECONDS)
        raise failure

    async def _forward_once(self, request: messages.Request) -> messages.Reply:
        address = self.leader_address()
        if not address:
            raise failures.NotLeader('no leader is known')
        pending = asyncio.ensure_future(
            self._links.request(address, request, ATTEMPT_TIMEOUT_SECONDS),
        )
        try:
            # An isolated leader doesn't answer; stop waiting as soon as another
            # leader is known.
            while not pending.done():
                await asyncio.wait((pending,), timeout=RETRY_INTERVAL_SECONDS)
                if not pending.done() and self.leader_address() != address:
                    raise failures.NotLeader('leader changed')
            return pending.result()
        finally:
            pending.cancel()
