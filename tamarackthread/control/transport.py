"""Send requests between the members of a group."""

from __future__ import annotations

import abc
import asyncio

from tamarackthread.generated.messages import ttypes as messages
from tamarackthread.shared import errors, link_pool


class Transport(abc.ABC):
    """Send requests to other control hosts by node name.

    Requests may be lost, delayed, reordered or duplicated; forwarded
    proposals never duplicated, as a copy could run after a refusal.
    """

    @abc.abstractmethod
    async def call(
        self, node: str, request: messages.Request, timeout_seconds: float
    ) -> messages.Reply:
        """Send one request; raises a coded error if it isn't answered."""

    def set_address(self, node: str, address: str) -> None:  # noqa: B027
        """Set a node's address, as agreed by the group."""


class LinkTransport(Transport):
    """Send requests over the process's shared links."""

    def __init__(self, links: link_pool.LinkPool) -> None:
        """Start without addresses; groups add them by ``set_address``."""
        self._links = links
        self._addresses: dict[str, str] = {}

    async def call(
        self, node: str, request: messages.Request, timeout_seconds: float
    ) -> messages.Reply:
        """Send one request over the link to the node's address."""
        # The timeout includes connecting: a black-holed host must not delay an
        # election.
        address = self._addresses.get(node)
        if not address:
            raise errors.AddressUnreachable(f'address of {node} is unknown')
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
