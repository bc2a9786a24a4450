"""Handle requests that only the leader of the configuration group serves."""

from __future__ import annotations

import logging

import attrs

from tamarackthread.control import (
    config_proposer,
    configuration,
    entry_registry,
    feed_source,
    leadership,
    portion_allocator,
    rollout_status,
    target_documents,
)
from tamarackthread.generated.messages import ttypes as messages
from tamarackthread.shared import errors, link_pool, subtree

DRAIN_NOTICE_SECONDS = 1.0
_log = logging.getLogger('tamarackthread.control')


@attrs.frozen
class Dependencies:
    """Components that the leader's operations use."""

    machine: configuration.Configuration
    leading: leadership.Leadership
    origin: feed_source.ControlSource
    below: subtree.Subtree
    proposer: config_proposer.ConfigProposer
    targets: target_documents.TargetDocuments
    entries: entry_registry.EntryRegistry
    links: link_pool.LinkPool
    own_node: str


class Operations:
    """Handle each kind of request that needs the leader."""

    def __init__(self, dependencies: Dependencies) -> None:
        """Reset unreplicated state at the start of each term as leader."""
        self._dependencies = dependencies
        self._lease_manager = dependencies.proposer.lease_manager(
            dependencies.machine
        )
        self._portion_allocator = portion_allocator.PortionAllocator(
            dependencies.machine
        )
        dependencies.leading.on_lead(self._lease_manager.begin_term)
        dependencies.leading.on_lead(self._portion_allocator.restart)

    async def answer(
        self,
        request: messages.Request,
        node: str,
    ) -> messages.Reply:
        """Handle a request sent by ``node``.

        Raises ``RequestUnsupported`` for any other kind.
        """
        if request.change is not None:
            change = await self._change(request.change, node)
            return messages.Reply(change=change)
        if request.lease is not None:
            return messages.Reply(lease=await self._lease(request.lease))
        if request.decision is not None:
            return await self._decide(request.decision)
        if request.status is not None:
            return messages.Reply(status=self._status(request.status))
        if request.portions is not None:
            portions_reply = self._portion_allocator.answer(request.portions)
            return messages.Reply(portions=portions_reply)
        return await self._handle_target_request(request, node)

    async def _handle_target_request(
        self,
        request: messages.Request,
        node: str,
    ) -> messages.Reply:
        if request.announce is not None:
            revision = await self._announce(request.announce, node)
            return messages.Reply(done=messages.Done(value=revision))
        if request.drain is not None:
            revision = await self._dependencies.targets.drain(
                request.drain, node
            )
            await self._notify_agent(request.drain)
            return messages.Reply(done=messages.Done(value=revision))
        raise errors.RequestUnsupported

    async def _announce(
        self,
        announcement: messages.Announcement,
        node: str,
    ) -> int:
        if announcement.entry:
            return await self._dependencies.entries.announce(announcement, node)
        return await self._dependencies.targets.announce(announcement, node)

    async def _change(
        self,
        change: messages.ChangeRequest,
        node: str,
    ) -> messages.ChangeReply:
        change.change_id = change.change_id or ''
        change.actor = change.actor or node
        change.origin = change.origin or node
        change.kind = change.kind or ''
        change.name = change.name or ''
        change.based_on = change.based_on or 0
        change.body = change.body or ''
        return await self._dependencies.proposer.change(change)

    async def _lease(
        self,
        request: messages.LeaseRequest,
    ) -> messages.LeaseReply:
        request.fence = request.fence or 0
        return await self._lease_manager.request(request)

    async def _decide(
        self,
        request: messages.DecisionRequest,
    ) -> messages.Reply:
        recorded = self._dependencies.machine.decisions.lookup(request)
        if recorded.decision or not request.decision:
            return messages.Reply(decision=recorded)
        committed = await self._dependencies.proposer.decide(request)
        return messages.Reply(decision=committed)

    def _status(
        self,
        request: messages.StatusRequest,
    ) -> messages.StatusReply:
        latest_revision = self._dependencies.machine.documents.revision
        reply = rollout_status.build(
            request.revision or latest_revision,
            latest_revision,
            self._dependencies.below,
            self._dependencies.origin,
            self._dependencies.leading.since,
        )
        reply.leader = self._dependencies.own_node
        reply.term = self._dependencies.leading.term
        return reply

    async def _notify_agent(self, request: messages.DrainRequest) -> None:
        """Notify the agent early; it also reads the mark in its documents."""
        address = self._dependencies.targets.address_of(request.target)
        if not address:
            return
        try:
            await self._dependencies.links.request(
                address,
                messages.Request(drain=request),
                DRAIN_NOTICE_SECONDS,
            )
        except errors.CodedError as exc:
            _log.info(
                'control: drain notice to agent at %s failed, %s', address, exc
            )
