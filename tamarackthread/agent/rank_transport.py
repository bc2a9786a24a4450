"""Send orders to the agents of a group's ranks."""

from __future__ import annotations

import abc
import collections.abc
import json

from tamarackthread.agent import map_cache, order_errors, order_state
from tamarackthread.generated.messages import ttypes as messages
from tamarackthread.policy import expert_map
from tamarackthread.shared import errors, link_pool


class RankTransport(abc.ABC):
    """Send orders to the agents of one group, by rank."""

    @property
    @abc.abstractmethod
    def ranks(self) -> collections.abc.Sequence[int]:
        """List all ranks in lock-step, reachable or not.  Leaving out a rank
        whose engine still runs would commit a switch that it has not made.
        """

    @abc.abstractmethod
    async def send(
        self,
        rank: int,
        order: messages.GroupOrder,
        timeout_seconds: float,
    ) -> messages.GroupOrderReply:
        """Send an order to a rank's agent; raise a coded error on failure."""


class LinkTransport(RankTransport):
    """Send orders over links; a member without an address is unreachable but
    still a member.
    """

    def __init__(
        self,
        connections: link_pool.LinkPool,
        members: collections.abc.Callable[[], collections.abc.Sequence[int]],
        addresses: collections.abc.Callable[[], dict[int, str]],
    ) -> None:
        """Read members and addresses at each use, because they change."""
        self._peers = connections
        self._members = members
        self._addresses = addresses

    @property
    def ranks(self) -> collections.abc.Sequence[int]:
        """List the ranks in lock-step."""
        return self._members()

    async def send(
        self,
        rank: int,
        order: messages.GroupOrder,
        timeout_seconds: float,
    ) -> messages.GroupOrderReply:
        """Send the order over the link to the rank's agent."""
        address = self._addresses().get(rank)
        if address is None:
            raise errors.AddressUnreachable(
                f'rank {rank} has no announced address'
            )
        request = messages.Request(order=order)
        reply = await self._peers.request(address, request, timeout_seconds)
        return reply.order


class PeerMapSource(map_cache.MapSource):
    """Fetch maps from the other ranks' agents."""

    def __init__(
        self,
        group: str,
        transport: RankTransport,
        timeout_seconds: float = 1,
    ) -> None:
        """Fetch by ``map_get`` orders over the group's transport."""
        self._group = group
        self._transport = transport
        self._timeout_seconds = timeout_seconds

    async def fetch(self, digest: str) -> expert_map.ExpertMap:
        """Try one rank after the other; raise ``MapUnknown``."""
        order = messages.GroupOrder(
            group=self._group,
            fence=0,
            order_id=f'map-{digest}',
            action=order_state.MAP_GET,
            body=json.dumps({'digest': digest}),
            deadline_ms=int(self._timeout_seconds * 1000),
        )
        for rank in self._transport.ranks:
            try:
                reply = await self._transport.send(
                    rank,
                    order,
                    self._timeout_seconds,
                )
            except errors.CodedError:
                continue
            state = order_state.from_json(reply.body)
            if state.state == order_state.DONE:
                return expert_map.from_json(state.result)
        raise order_errors.MapUnknown(digest)
