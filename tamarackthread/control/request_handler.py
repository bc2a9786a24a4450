"""Dispatch peers' requests to the components of a control host."""

from __future__ import annotations

import collections.abc
import logging
import secrets

from tamarackthread.control import (
    claim_service,
    configuration,
    consensus,
    failures,
    forwarding,
    leadership,
    operations,
    reads,
)
from tamarackthread.generated.messages import ttypes as messages
from tamarackthread.shared import errors, feed_server, link

CONFIG = 'config'
_log = logging.getLogger('tamarackthread.control')
ID_BYTES = 16


class RequestHandler(link.Handler):
    """Serve consensus, feed, reads and claims locally, the rest as leader.

    A request is forwarded at most once, so stale views cause no loops.
    """

    def __init__(
        self,
        groups: collections.abc.Mapping[str, consensus.Consensus],
        claims: collections.abc.Mapping[str, claim_service.ClaimService],
        feeds: feed_server.FeedServer,
    ) -> None:
        """Serve groups by name and claims by shard."""
        self._groups = groups
        self._claims = claims
        self._feed_server = feeds

    def attach(
        self,
        machine: configuration.Configuration,
        leading: leadership.Leadership,
        leader: operations.Operations,
        forwarder: forwarding.Forwarder,
    ) -> None:
        """Attach the components that need links, which need this handler."""
        self._machine = machine
        self._leadership = leading
        self._operations = leader
        self._forwarder = forwarder

    async def on_request(
        self,
        link: link.Link,
        request: messages.Request,
    ) -> messages.Reply:
        """Dispatch a request by its kind."""
        if request.feed is not None:
            return await self._feed_server.answer(link, request.feed)
        group = group_of(request)
        if group is not None:
            _authorise(link, request)
            return await self._find_group(group).handle(request)
        if request.documents is not None:
            await self._find_group(CONFIG).read_barrier()
            read = reads.read(self._machine, request.documents)
            return messages.Reply(documents=read)
        if request.audit is not None:
            await self._find_group(CONFIG).read_barrier()
            found = reads.audit(self._machine, request.audit)
            return messages.Reply(audit=found)
        claim = await self._handle_claim(request)
        if claim is not None:
            return claim
        return await self._handle_as_leader(link, request)

    async def _handle_claim(
        self,
        request: messages.Request,
    ) -> messages.Reply | None:
        if request.claim is not None:
            return await self._find_shard(request.claim.shard).claim(
                request.claim
            )
        if request.claim_finish is not None:
            finish = request.claim_finish
            return await self._find_shard(finish.shard).finish(finish)
        if request.claim_lookup is not None:
            lookup = request.claim_lookup
            return await self._find_shard(lookup.shard).lookup(lookup)
        return None

    async def _handle_as_leader(
        self,
        peer_link: link.Link,
        request: messages.Request,
    ) -> messages.Reply:
        if not needs_leader(request):
            raise errors.RequestUnsupported
        node = peer_link.peer.node
        if peer_link.peer.role == messages.Role.CONTROL:
            if not self._leadership.leads():
                raise failures.NotLeader
            return await self._operations.answer(request, node)
        add_sender(request, node)
        if self._leadership.leads():
            try:
                return await self._operations.answer(request, node)
            except (failures.NotLeader, failures.OutcomeUnknown):
                _log.info(
                    'control: lost leadership, forwarding to the next leader'
                )
        reply = await self._forwarder.forward(request, self._leadership.leads)
        if reply is None:
            return await self._operations.answer(request, node)
        return reply

    def _find_group(self, name: str) -> consensus.Consensus:
        found = self._groups.get(name)
        if found is None:
            raise failures.GroupUnknown(name)
        return found

    def _find_shard(self, name: str) -> claim_service.ClaimService:
        found = self._claims.get(name)
        if found is None:
            raise failures.GroupUnknown(name)
        return found


def _authorise(
    peer_link: link.Link,
    request: messages.Request,
) -> None:
    """Authorise control hosts, and operators for membership changes only.

    Other holders of the shared key must not vote or append unchecked commands.
    """
    role = peer_link.peer.role
    is_operator = role == messages.Role.OPERATOR
    if request.member is not None and is_operator:
        return
    if role != messages.Role.CONTROL:
        raise errors.RequestUnsupported(f'not allowed for role {role}')


def group_of(request: messages.Request) -> str | None:
    """Return the group of a consensus request, ``None`` for any other."""
    for asked in (
        request.append,
        request.vote,
        request.snapshot,
        request.propose,
        request.member,
    ):
        if asked is not None:
            return asked.group
    return None


def needs_leader(request: messages.Request) -> bool:
    """Return whether only the leader can handle a request."""
    return any(
        asked is not None
        for asked in (
            request.change,
            request.status,
            request.announce,
            request.drain,
            request.lease,
            request.portions,
            request.decision,
        )
    )


def add_sender(request: messages.Request, node: str) -> None:
    """Record the sender, which the leader cannot see once forwarded.

    A change without an id gets one, since forwarding may be retried.
    """
    change = request.change
    if change is not None:
        change.change_id = change.change_id or secrets.token_hex(ID_BYTES)
        change.actor = change.actor or node
        change.origin = change.origin or node
    if request.drain is not None:
        request.drain.actor = request.drain.actor or node
