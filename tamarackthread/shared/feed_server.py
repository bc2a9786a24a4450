"""Serve the configuration to other nodes, from whatever source there is.

Control hosts and relays answer the same request.  A control host with enough
children of a zone names some of them instead, so that a tree of relays forms
by itself and the cost of a control host stays flat.
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
REDIRECTS = 3
# A relay serves so many without being busier than what it relays for.
RELAY_CHILDREN = 8
# A relay answers when its own lease is renewed.  Held for exactly the wait
# that it was asked for, an answer would come just before the renewal, with
# the oldest lease possible.
RELAY_WAIT_FACTOR = 1.5
FRESH_SECONDS = 1.5


@attrs.frozen
class Grant:
    """A lease to pass on, in seconds; nothing remains without one.

    A leader stood behind it at most ``age`` ago.  It holds only for nodes at
    or above ``revision``.
    """

    remaining: float = 0
    age: float = 0
    revision: int = 0


class Source(abc.ABC):
    """Where a server of the feed takes documents and leases from."""

    @property
    @abc.abstractmethod
    def documents(self) -> catalogue.Catalogue:
        """Give the documents to serve."""

    @property
    @abc.abstractmethod
    def changed(self) -> signal.Signal:
        """Give the signal of new revisions and of leases renewed or lost."""

    @property
    @abc.abstractmethod
    def renewals(self) -> int:
        """Count the renewals of the lease; 0 if it is the leader's own."""

    @abc.abstractmethod
    def grant(self) -> Grant:
        """Give the lease that a child may have now."""

    @abc.abstractmethod
    def schedule_report(self) -> None:
        """Hear that a child reported something, to report it further."""


@attrs.frozen
class Limits:
    """Bound the children of a server: in all, and for each zone."""

    children: int = RELAY_CHILDREN
    children_in_zone: int = RELAY_CHILDREN


class FeedServer:
    """Answer the requests of children and sum up what they report."""

    def __init__(
        self,
        source: Source,
        below: subtree.Subtree,
        limits: Limits,
        rng: random.Random | None = None,
    ) -> None:
        """Serve ``source``; what children report goes into ``below``."""
        self._source = source
        self._below = below
        self._limits = limits
        self._rng = rng or random.Random()
        self._links: dict[str, link.Link] = {}

    async def answer(
        self,
        peer_link: link.Link,
        request: messages.FeedRequest,
    ) -> messages.Reply:
        """Take a child's report, hold the answer while nothing is new."""
        loop = asyncio.get_running_loop()
        came_at = loop.time()
        sender = sender_of(peer_link)
        redirect = self._redirect(sender)
        if redirect:
            return messages.Reply(feed=_redirection(redirect))
        self._links[sender.node] = peer_link
        known = self._below.confirmed_of(sender.node)
        ask_whole = self._below.take(sender, request, came_at)
        if request.nodes or request.confirmed != known:
            self._source.schedule_report()
        if not ask_whole:
            await self._hold(request, came_at)
        held = loop.time() - came_at
        reply = self._reply(request, held)
        reply.ask_whole = ask_whole
        return messages.Reply(feed=reply)

    def _redirect(self, sender: messages.NodeState) -> list[str]:
        if self._below.knows(sender.node):
            return []
        siblings = self._reachable(self._below.children_in(sender.zone))
        is_full = len(self._reachable(self._links)) >= self._limits.children
        if len(siblings) < self._limits.children_in_zone and not is_full:
            return []
        known = {self._below.address_of(name) for name in siblings}
        candidates = sorted(known - {'', sender.address})
        return self._rng.sample(candidates, min(REDIRECTS, len(candidates)))

    def _reachable(
        self,
        names: collections.abc.Iterable[str],
    ) -> list[str]:
        """Leave out children that are silent or gone, and forget the latter.

        When a rack is lost, many relays go at once.  Nodes that are sent on
        to those would come back in circles until their leases ended.
        """
        reachable = []
        for name in tuple(names):
            held = self._links.get(name)
            if held is None or held.is_closed:
                self._links.pop(name, None)
                continue
            if held.is_alive(FRESH_SECONDS):
                reachable.append(name)
        return reachable

    async def _hold(
        self,
        request: messages.FeedRequest,
        came_at: float,
    ) -> None:
        wait_seconds = (request.wait_ms or 0) / MILLISECONDS
        renewals = self._source.renewals
        if renewals:
            wait_seconds *= RELAY_WAIT_FACTOR
        loop = asyncio.get_running_loop()
        woken = loop.time() < came_at + wait_seconds
        had_lease = self._source.grant().remaining > 0
        while woken:
            if self._source.documents.revision > request.after:
                return
            if self._source.renewals != renewals:
                return
            # A lease that is lost, or that the leader has got just now.
            if (self._source.grant().remaining > 0) != had_lease:
                return
            woken = await self._source.changed.wait(came_at + wait_seconds)

    def _reply(
        self,
        request: messages.FeedRequest,
        held: float,
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
            # The child counts from when it sent the request, so the time
            # that the request was held here is added to what remains now.
            reply.lease_ms = math.floor(
                (held + grant.remaining) * MILLISECONDS,
            )
            reply.age_ms = math.ceil((grant.age - held) * MILLISECONDS)
            reply.lease_revision = grant.revision
        return reply


def sender_of(peer_link: link.Link) -> messages.NodeState:
    """Describe the node at the other end of a link."""
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


def _redirection(addresses: list[str]) -> messages.FeedReply:
    return messages.FeedReply(
        revision=0,
        documents=[],
        snapshot=False,
        more=False,
        floor=0,
        lease_ms=0,
        redirect=addresses,
    )
