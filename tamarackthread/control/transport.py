"""Carry requests between the members of a group."""

from __future__ import annotations

import abc
import asyncio

from tamarackthread.generated.messages import ttypes as messages
from tamarackthread.shared import errors, peers


class Transport(abc.ABC):
    """Reach the other control hosts by the names of their nodes.

    Requests may be lost, late and reordered.  All but forwarded proposals may
    also be doubled; a second copy of a proposal could be made after the first
    was refused, and the caller was told that it had not been run.
    """

    @abc.abstractmethod
    async def call(
        self, node: str, request: messages.Request, timeout_seconds: float
    ) -> messages.Reply:
        """Send one request; raise a coded error unless it was answered."""

    def set_address(self, node: str, address: str) -> None:  # noqa: B027
        """Note where a node listens, as the group's members have agreed."""


class LinkTransport(Transport):
    """Reach members over the process's shared links."""

    def __init__(self, links: peers.Peers) -> None:
        """Start without addresses; groups teach them through ``set_address``."""
        self._links = links
        self._addresses: dict[str, str] = {}

    async def call(
        self, node: str, request: messages.Request, timeout_seconds: float
    ) -> messages.Reply:
        """Send one request over the link to the node's address.

        The time to dial counts: a host behind a network that swallows packets
        must not hold up an election for as long as a connection may take.
        """
        address = self._addresses.get(node)
        if not address:
            raise errors.AddressUnreachable(f'no address known for {node}')
        try:
            async with asyncio.timeout(timeout_seconds):
                return await self._links.request(
                    address, request, timeout_seconds
                )
        except TimeoutError as exc:
            raise errors.RequestTimeout(node) from exc
        except (OSError, EOFError) as exc:
            raise errors.LinkLost(f'{node}: {exc}') from exc

    def set_address(self, node: str, address: str) -> None:
        """Use this address for the node from now on."""
        self._addresses[node] = address
