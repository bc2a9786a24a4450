"""Request leases from control and record decisions on map switches there."""

from __future__ import annotations

import abc
import asyncio
import collections.abc

from tamarackthread.agent import order_errors, switch_record
from tamarackthread.generated.messages import ttypes as messages
from tamarackthread.shared import errors, link_pool

_TIMEOUT_SECONDS = 0.5
_ATTEMPTS_PER_HOST = 2
_RETRY_SECONDS = 0.05


class ControlClient(abc.ABC):
    """Call control; every method raises ``ControlUnreachable``."""

    @abc.abstractmethod
    async def lease(
        self,
        request: messages.LeaseRequest,
    ) -> messages.LeaseReply:
        """Acquire, renew or release a lease."""

    @abc.abstractmethod
    async def decide(
        self,
        request: messages.DecisionRequest,
    ) -> messages.DecisionReply:
        """Record a map switch's stage unless its id is taken; return the recorded
        one.  An empty ``decision`` only reads; ``switch_id`` 0 means the latest.
        """

    async def highest_fence(self, name: str) -> int:
        """Return the highest fencing number issued for a lease."""
        # Releasing with an empty holder reads it without changing the lease.
        request = messages.LeaseRequest(
            name=name,
            holder='',
            lease_ms=0,
            fence=0,
            release=True,
        )
        return (await self.lease(request)).fence or 0

    async def latest(self, group: str) -> switch_record.SwitchRecord | None:
        """Return the group's latest switch record, open or decided."""
        request = messages.DecisionRequest(
            group=group,
            fence=0,
            switch_id=switch_record.LATEST,
            decision='',
            body='',
        )
        return switch_record.from_reply(await self.decide(request))


class LinkControlClient(ControlClient):
    """Reach control over links, one control host after the other.  A host that
    does not lead passes the request on to the one that does.
    """

    def __init__(
        self,
        connections: link_pool.LinkPool,
        addresses: collections.abc.Sequence[str],
    ) -> None:
        """Set the control hosts' addresses."""
        self._peers = connections
        self._addresses = list(addresses)

    async def lease(
        self,
        request: messages.LeaseRequest,
    ) -> messages.LeaseReply:
        """Take, renew or release a lease."""
        reply = await self._ask(messages.Request(lease=request))
        return reply.lease

    async def decide(
        self,
        request: messages.DecisionRequest,
    ) -> messages.DecisionReply:
        """Record or read a decision."""
        reply = await self._ask(messages.Request(decision=request))
        return reply.decision

    async def _ask(self, request: messages.Request) -> messages.Reply:
        # Both requests are idempotent, so retrying at another host is safe
        # even if the first has executed them.
        last_error = ''
        for attempt in range(_ATTEMPTS_PER_HOST * len(self._addresses)):
            address = self._addresses[0]
            try:
                return await self._peers.request(
                    address,
                    request,
                    _TIMEOUT_SECONDS,
                )
            except errors.CodedError as exc:
                last_error = f'{address}: {exc.code} {exc}'
            self._addresses.append(self._addresses.pop(0))
            # One pause in each round of all hosts.
            if attempt % len(self._addresses) == 0:
                await asyncio.sleep(_RETRY_SECONDS)
        raise order_errors.ControlUnreachable(last_error)
