"""Do what only the leader of the configuration group may do."""

from __future__ import annotations

import logging

import attrs

from tamarackthread.control import (
    config_proposer,
    configuration,
    entry_registry,
    leadership,
    portioning,
    source,
    status,
)
from tamarackthread.control import targets as announcing
from tamarackthread.generated.messages import ttypes as messages
from tamarackthread.shared import errors, subtree
from tamarackthread.shared import peers as dialling

DRAIN_SECONDS = 1.0
_log = logging.getLogger('tamarackthread.control')


@attrs.frozen
class Parts:
    """What the leader's operations work on."""

    machine: configuration.Configuration
    leading: leadership.Leadership
    origin: source.ControlSource
    below: subtree.Subtree
    propose: config_proposer.ConfigProposer
    targets: announcing.Targets
    entry_list: entry_registry.EntryRegistry
    links: dialling.Peers
    own_node: str


class Operations:
    """Answer each request that needs the leader."""

    def __init__(self, parts: Parts) -> None:
        """Hold soft state anew for each term that this host leads."""
        self._parts = parts
        self._keeper = parts.propose.lease_keeper(parts.machine)
        self._portioning = portioning.Portioning(parts.machine)
        parts.leading.on_lead(self._keeper.lead)
        parts.leading.on_lead(self._portioning.restart)

    async def answer(
        self,
        request: messages.Request,
        node: str,
    ) -> messages.Reply:
        """Answer a request that came from ``node``."""
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
            leased = self._portioning.answer(request.portions)
            return messages.Reply(portions=leased)
        return await self._answer_about_target(request, node)

    async def _answer_about_target(
        self,
        request: messages.Request,
        node: str,
    ) -> messages.Reply:
        if request.announce is not None:
            revision = await self._announce(request.announce, node)
            return messages.Reply(done=messages.Done(value=revision))
        if request.drain is not None:
            revision = await self._parts.targets.drain(request.drain, node)
            await self._tell_agent(request.drain)
            return messages.Reply(done=messages.Done(value=revision))
        raise errors.RequestUnsupported

    async def _announce(
        self,
        announced: messages.Announcement,
        node: str,
    ) -> int:
        if announced.entry:
            return await self._parts.entry_list.announce(announced, node)
        return await self._parts.targets.announce(announced, node)

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
        return await self._parts.propose.change(change)

    async def _lease(
        self,
        request: messages.LeaseRequest,
    ) -> messages.LeaseReply:
        request.fence = request.fence or 0
        return await self._keeper.request(request)

    async def _decide(
        self,
        request: messages.DecisionRequest,
    ) -> messages.Reply:
        known = self._parts.machine.decisions.known(request)
        if known.decision or not request.decision:
            return messages.Reply(decision=known)
        decided = await self._parts.propose.decide(request)
        return messages.Reply(decision=decided)

    def _status(
        self,
        request: messages.StatusRequest,
    ) -> messages.StatusReply:
        newest = self._parts.machine.documents.revision
        reply = status.build(
            request.revision or newest,
            newest,
            self._parts.below,
            self._parts.origin,
            self._parts.leading.since,
        )
        reply.leader = self._parts.own_node
        reply.term = self._parts.leading.term
        return reply

    async def _tell_agent(self, request: messages.DrainRequest) -> None:
        """Tell the agent at once; it also learns it from its documents."""
        address = self._parts.targets.address_of(request.target)
        if not address:
            return
        try:
            await self._parts.links.request(
                address,
                messages.Request(drain=request),
                DRAIN_SECONDS,
            )
        except errors.CodedError as exc:
            _log.info('control: agent at %s not told, %s', address, exc)
