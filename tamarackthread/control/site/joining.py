"""Bring this host into the group of control hosts, and back into it."""

from __future__ import annotations

import asyncio
import collections.abc
import logging

from tamarackthread.control import consensus
from tamarackthread.generated.messages import ttypes as messages
from tamarackthread.shared import errors, peers

LOOK_SECONDS = 0.25
# Without a leader for so long a host asks whether it still belongs to the
# group; an election takes less.
ALONE_SECONDS = 2.0
ASK_SECONDS = 0.5
_log = logging.getLogger('tamarackthread.control')

Addresses = collections.abc.Callable[[], list[str]]


class Joiner:
    """Ask the leader to take this host in whenever it is not a member.

    A host with an empty disk knows only some addresses.  One that was let go
    while it was cut off holds an old list in which it still is a member: it
    hears no leader, because nobody sends it anything, and asks as well.
    """

    def __init__(
        self,
        group: consensus.Consensus,
        links: peers.Peers,
        node: str,
        address: str,
        others: Addresses,
    ) -> None:
        """Join ``group`` as ``node``, reached at ``address``."""
        self._group = group
        self._links = links
        self._node = node
        self._address = address
        self._others = others
        self._led_at: float = 0

    async def run(self) -> None:
        """Look for ever whether this host has to join."""
        self._led_at = asyncio.get_running_loop().time()
        while True:
            await asyncio.sleep(LOOK_SECONDS)
            if self._is_outside():
                await self._ask()

    def _is_outside(self) -> bool:
        now = asyncio.get_running_loop().time()
        if self._group.leader:
            self._led_at = now
            return False
        is_member = any(
            member.node == self._node for member in self._group.members()
        )
        return not is_member or now - self._led_at > ALONE_SECONDS

    async def _ask(self) -> None:
        for address in self._others():
            if address == self._address:
                continue
            try:
                await self._ask_one(address)
            except (errors.CodedError, TimeoutError) as exc:
                _log.debug('control: %s did not take us in, %s', address, exc)
                continue
            _log.info('control: %s takes this host in', address)
            return

    async def _ask_one(self, address: str) -> None:
        asked = messages.MemberRequest(
            group=self._group.group,
            action='join',
            node=self._node,
            address=self._address,
            replaces='',
        )
        async with asyncio.timeout(ASK_SECONDS):
            await self._links.request(
                address, messages.Request(member=asked), ASK_SECONDS
            )
