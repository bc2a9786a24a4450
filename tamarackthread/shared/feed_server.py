"""Serve the configuration to children, on control hosts and relays alike; a
server with enough children redirects others to them, which forms a tree.
"""

from __future__ import annotations

import abc
import asyncio
import collections.abc
import math
import random

import attrs

from tamarackthread.generated.messages import ttypes as messages
from tamarackthread.shared import catalogue, link, signal, subtree

MILLISECONDS = 1000
MAX_REDIRECTS = 3
# Bounds the load that relaying adds to an entry or agent.
RELAY_CHILDREN = 8
# A relay holds a poll longer than requested, until its own lease is renewed;
# otherwise it would reply just before that, with its shortest lease.
RELAY_WAIT_FACTOR = 1.5
ECHO_AGE_LIMIT_SECONDS = 1.5


@attrs.frozen
class Grant:
    """A lease to pass on, valid for nodes at or above ``revision``; a leader
    confirmed it at most ``age`` seconds ago.
    """

    remaining: float = 0
    age: float = 0
    revision: int = 0


class Source(abc.ABC):
    """Provide the documents and leases that a server grants."""

    @property
    @abc.abstractmethod
    def documents(self) -> catalogue.Catalogue:
        """Return the documents to serve."""

    @property
    @abc.abstractmethod
    def changed(self) -> signal.Signal:
        """Return the signal of new revisions and lease changes."""

    @property
    @abc.abstractmethod
    def renewals(self) -> int:
        """Return the number of lease renewals, 0 on the leader."""

    @abc.abstractmethod
    def grant(self) -> Grant:
        """Return the lease to grant to a child."""

    @abc.abstractmethod
    def schedule_report(self) -> None:
        """Request a report to the parent after one of a child."""


@attrs.frozen
class Limits:
    """Limits on the children of a server, in all and for each zone."""

    children: int = RELAY_CHILDREN
    children_in_zone: int = RELAY_CHILDREN


class FeedServer:
    """Answer polls of children and record their reports."""

    def __init__(
        self,
        source: Source,
        descendants: subtree.Subtree,
        limits: Limits,
        rng: random.Random | None = None,
    ) -> None:
        """Serve ``source``; record reports of children in ``descendants``."""
        self._source = source
        self._descendants = descendants
        self._limits = limits
        self._rng = rng or random.Random()
        self._links: dict[str, link.Link] = {}

    async def answer(
        self,
        peer_link: link.Link,
        request: messages.FeedRequest,
    ) -> messages.Reply:
        """Record a child's report; hold the reply until there is news."""
        loop = asyncio.get_running_loop()
        received_at = loop.time()
        sender = node_state_of(peer_link)
        redirect = self._redirects(sender)
        if redirect:
            return messages.Reply(feed=_redirect_reply(redirect))
        self._links[sender.node] = peer_link
        confirmed_before = self._descendants.confirmed_of(sender.node)
        ask_whole = self._descendants.apply_report(sender, request, received_at)
        if request.nodes or request.confirmed != confirmed_before:
            self._source.schedule_report()
        if not ask_whole:
            await self._hold(request, received_at)
        held_seconds = loop.time() - received_at
        reply = self._reply(request, held_seconds)
        reply.ask_whole = ask_whole
        return messages.Reply(feed=reply)

    def _redirects(self, sender: messages.NodeState) -> list[str]:
        if self._descendants.is_child(sender.node):
            return []
        siblings = self._reachable(self._descendants.children_in(sender.zone))
        has_max_children = (
            len(self._reachable(self._links)) >= self._limits.children
        )
        if (
            len(siblings) < self._limits.children_in_zone
            and not has_max_children
        ):
            return []
        relays = {self._descendants.address_of(name) for name in siblings}
        candidates = sorted(relays - {'', sender.address})
        return self._rng.sample(candidates, min(MAX_REDIRECTS, len(candidates)))

    def _reachable(
        self,
        names: collections.abc.Iterable[str],
    ) -> list[str]:
        """Return the children with an alive link and drop closed links; a
        redirect to a lost relay would cost the node some of its lease.
        """
        reachable = []
        for name in tuple(names):
            child_link = self._links.get(name)
            if child_link is None or child_link.is_closed:
                self._links.pop(name, None)
                continue
            if child_link.is_alive(ECHO_AGE_LIMIT_SECONDS):
                reachable.append(name)
        return reachable

    async def _hold(
        self,
        request: messages.FeedRequest,
        received_at: float,
    ) -> None:
        wait_seconds = (request.wait_ms or 0) / MILLISECONDS
        renewals = self._source.renewals
        if renewals:
            wait_seconds *= RELAY_WAIT_FACTOR
        loop = asyncio.get_running_loop()
        woken = loop.time() < received_at + wait_seconds
        had_lease = self._source.grant().remaining > 0
        while woken:
            if self._source.documents.revision > request.after:
                return
            if self._source.renewals != renewals:
                return
            # The source has lost its lease or become the leader.
            if (self._source.grant().remaining > 0) != had_lease:
                return
            woken = await self._source.changed.wait(received_at + wait_seconds)

    def _reply(
        self,
        request: messages.FeedRequest,
        held_seconds: float,
    ) -> messages.FeedReply:
        page = self._source.documents.after(request.after, request.floor)
        reply = messages.FeedReply(
            revision=page.revision,
            documents=page.documents,
            snapshot=page.snapshot,
            more=page.more,
            floor=page.floor,
            lease_ms=0,
        )
        grant = self._source.grant()
        if grant.remaining > 0:
            # The child's lease starts when it sent the request, so the time
            # that the request was held is added.
            reply.lease_ms = math.floor(
                (held_seconds + grant.remaining) * MILLISECONDS,
            )
            reply.age_ms = math.ceil((grant.age - held_seconds) * MILLISECONDS)
            reply.lease_revision = grant.revision
        return reply


def node_state_of(peer_link: link.Link) -> messages.NodeState:
    """Return the state of the node at the other end of a link."""
    peer = peer_link.peer
    return messages.NodeState(
        node=peer.node,
        role=peer.role,
        zone=peer.zone,
        revision=0,
        gone=False,
        incarnation=peer.incarnation,
        address=peer.address,
        lags=False,
    )


def _redirect_reply(addresses: list[str]) -> messages.FeedReply:
    return messages.FeedReply(
        revision=0,
        documents=[],
        snapshot=False,
        more=False,
        floor=0,
        lease_ms=0,
        redirect=addresses,
    )
