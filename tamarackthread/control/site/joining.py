"""Join this host to the group of control hosts, or rejoin it."""

from __future__ import annotations

import asyncio
import collections
import collections.abc
import logging

from tamarackthread.control import consensus, failures
from tamarackthread.generated.messages import ttypes as messages
from tamarackthread.shared import errors, link_pool

CHECK_SECONDS = 0.25
# Time without a leader after which a host asks to rejoin; a member loses nothing
# by asking.
LEADER_TIMEOUT_SECONDS = 0.5
REQUEST_TIMEOUT_SECONDS = 0.5
_log = logging.getLogger('tamarackthread.control')

Addresses = collections.abc.Callable[[], list[str]]


class Joiner:
    """Ask the leader to add this host whenever it is not a member.

    A host that was removed while partitioned still finds itself in its old
    list of members, so it also asks after a time without a leader.
    """

    def __init__(
        self,
        group: consensus.Consensus,
        links: link_pool.LinkPool,
        node: str,
        address: str,
        peer_addresses: Addresses,
    ) -> None:
        """Join ``group`` as ``node``, reached at ``address``."""
        self._group = group
        self._links = links
        self._node = node
        self._address = address
        self._peer_addresses = peer_addresses
        self._leader_seen_at: float = 0

    async def run(self) -> None:
        """Check periodically whether this host has to join."""
        self._leader_seen_at = asyncio.get_running_loop().time()
        while True:
            await asyncio.sleep(CHECK_SECONDS)
            if self._must_join():
                await self._request_join()

    def _must_join(self) -> bool:
        now = asyncio.get_running_loop().time()
        if self._group.leader:
            self._leader_seen_at = now
            return False
        is_member = any(
            member.node == self._node for member in self._group.members()
        )
        return (
            not is_member or now - self._leader_seen_at > LEADER_TIMEOUT_SECONDS
        )

    async def _request_join(self) -> None:
        asked = {self._address}
        waiting = collections.deque(self._peer_addresses())
        while waiting:
            address = waiting.popleft()
            if address in asked:
                continue
            asked.add(address)
            try:
                await self._request_join_from(address)
            except failures.NotLeader:
                # The seeds and this host's own list may leave out the leader.
                waiting.extendleft(await self._leaders_known_to(address))
                continue
            except (errors.CodedError, TimeoutError) as exc:
                _log.debug(
                    'control: could not join through %s, %s', address, exc
                )
                continue
            _log.info('control: %s accepted the join', address)
            return

    async def _request_join_from(self, address: str) -> None:
        await self._ask(
            address,
            messages.MemberRequest(
                group=self._group.group,
                action='join',
                node=self._node,
                address=self._address,
                replaces='',
            ),
        )

    async def _leaders_known_to(self, address: str) -> list[str]:
        """Return the leader's address as a member knows it, if it does."""
        request = messages.MemberRequest(
            group=self._group.group,
            action='members',
            node='',
            address='',
            replaces='',
        )
        try:
            reply = await self._ask(address, request)
        except (errors.CodedError, TimeoutError):
            return []
        if reply.member is None:
            return []
        return [row.address for row in reply.member.members if row.leader]

    async def _ask(
        self, address: str, request: messages.MemberRequest
    ) -> messages.Reply:
        async with asyncio.timeout(REQUEST_TIMEOUT_SECONDS):
            return await self._links.request(
                address,
                messages.Request(member=request),
                REQUEST_TIMEOUT_SECONDS,
            )
