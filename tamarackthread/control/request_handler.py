"""Direct what peers ask of a control host to the part that answers it."""

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
    """Answer consensus, the feed, reads and claims here, the rest as leader.

    A request that needs the leader is passed on once: a control host passes
    nothing on for another, so that two hosts with old views of who leads
    cannot send a request in circles.
    """

    def __init__(
        self,
        groups: collections.abc.Mapping[str, consensus.Consensus],
        claims: collections.abc.Mapping[str, claim_service.ClaimService],
        feeds: feed_server.FeedServer,
    ) -> None:
        """Serve the groups by name and the claims by shard."""
        self._groups = groups
        self._claims = claims
        self._feeds = feeds

    def attach(
        self,
        machine: configuration.Configuration,
        leading: leadership.Leadership,
        leader: operations.Operations,
        forwarder: forwarding.Forwarder,
    ) -> None:
        """Take the parts that need links, which in turn need this handler."""
        self._machine = machine
        self._leading = leading
        self._leader = leader
        self._forwarder = forwarder

    async def on_request(
        self,
        link: link.Link,
        request: messages.Request,
    ) -> messages.Reply:
        """Answer a request by what it asks."""
        if request.feed is not None:
            return await self._feeds.answer(link, request.feed)
        group = group_of(request)
        if group is not None:
            _check_sender(link, request)
            return await self._of_group(group).handle(request)
        if request.documents is not None:
            await self._of_group(CONFIG).read_barrier()
            read = reads.read(self._machine, request.documents)
            return messages.Reply(documents=read)
        if request.audit is not None:
            await self._of_group(CONFIG).read_barrier()
            found = reads.audit(self._machine, request.audit)
            return messages.Reply(audit=found)
        claim = await self._answer_claim(request)
        if claim is not None:
            return claim
        return await self._answer_as_leader(link, request)

    async def _answer_claim(
        self,
        request: messages.Request,
    ) -> messages.Reply | None:
        if request.claim is not None:
            return await self._shard(request.claim.shard).claim(request.claim)
        if request.claim_finish is not None:
            finish = request.claim_finish
            return await self._shard(finish.shard).finish(finish)
        if request.claim_lookup is not None:
            lookup = request.claim_lookup
            return await self._shard(lookup.shard).lookup(lookup)
        return None

    async def _answer_as_leader(
        self,
        peer_link: link.Link,
        request: messages.Request,
    ) -> messages.Reply:
        if not is_for_leader(request):
            raise errors.RequestUnsupported
        node = peer_link.peer.node
        if peer_link.peer.role == messages.Role.CONTROL:
            if not self._leading.leads():
                raise failures.NotLeader
            return await self._leader.answer(request, node)
        name_sender(request, node)
        if self._leading.leads():
            try:
                return await self._leader.answer(request, node)
            except (failures.NotLeader, failures.OutcomeUnknown):
                _log.info('control: lost the lead, asks the next leader')
        reply = await self._forwarder.forward(request, self._leading.leads)
        if reply is None:
            return await self._leader.answer(request, node)
        return reply

    def _of_group(self, name: str) -> consensus.Consensus:
        found = self._groups.get(name)
        if found is None:
            raise failures.GroupUnknown(name)
        return found

    def _shard(self, name: str) -> claim_service.ClaimService:
        found = self._claims.get(name)
        if found is None:
            raise failures.GroupUnknown(name)
        return found


def _check_sender(
    peer_link: link.Link,
    request: messages.Request,
) -> None:
    """Let only control hosts take part in a group.

    Any process that holds the shared secret can dial a control host.  One
    that is confused or taken over could else vote, or put commands into the
    log that no check has seen.
    """
    role = peer_link.peer.role
    is_operator = role == messages.Role.OPERATOR
    if request.member is not None and is_operator:
        return
    if role != messages.Role.CONTROL:
        raise errors.RequestUnsupported(f'not for role {role}')


def group_of(request: messages.Request) -> str | None:
    """Give the group that a request of consensus is for, else ``None``."""
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


def is_for_leader(request: messages.Request) -> bool:
    """Tell whether only the leader can answer a request."""
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


def name_sender(request: messages.Request, node: str) -> None:
    """Note who asked, which the leader cannot see on a forwarded request.

    A change without an id gets one here, because it may be sent on twice,
    and the second time must find the answer to the first.
    """
    change = request.change
    if change is not None:
        change.change_id = change.change_id or secrets.token_hex(ID_BYTES)
        change.actor = change.actor or node
        change.origin = change.origin or node
    if request.drain is not None:
        request.drain.actor = request.drain.actor or node
