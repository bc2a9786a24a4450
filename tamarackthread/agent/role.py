"""Run the agent beside one target."""

from __future__ import annotations

import asyncio
import logging
import random

from tamarackthread.agent import (
    claims,
    control_client,
    gate,
    group_membership,
    reports,
    target,
)
from tamarackthread.generated import settings as generated
from tamarackthread.generated.messages import ttypes as messages
from tamarackthread.shared import (
    announcer,
    catalogue,
    documents,
    errors,
    feed,
    feed_server,
    link,
    link_pool,
    listener,
    parents,
    process,
    stream,
)

# Longer than the latency of a call from any region.
DRAIN_LINKS_SECONDS = 0.5
_log = logging.getLogger('tamarackthread.agent')


class AgentHandler(link.Handler):
    """Serve calls of entries and requests of control hosts and other nodes."""

    def __init__(
        self,
        guard: gate.Gate,
        reporter: reports.Reporter,
        known: feed.ConfigFeed,
        group: group_membership.GroupMembership,
    ) -> None:
        """Serve calls through ``guard``; relay ``known`` to other nodes."""
        self._gate = guard
        self._reporter = reporter
        self._group = group
        self._relay = feed_server.FeedServer(
            known, known.descendants, feed_server.Limits()
        )

    async def on_request(
        self,
        link: link.Link,
        request: messages.Request,
    ) -> messages.Reply:
        """Dispatch a request by its kind."""
        if request.feed is not None:
            return await self._relay.answer(link, request.feed)
        if request.drain is not None:
            self._gate.set_leaving(leaving=not request.drain.cancel)
            return messages.Reply(
                done=messages.Done(value=self._gate.open_calls),
            )
        if request.claim_probe is not None:
            proof = self._gate.probe(request.claim_probe)
            return messages.Reply(claim_proof=proof)
        if request.order is not None:
            done = await self._group.handle_order(request.order)
            return messages.Reply(order=done)
        raise errors.RequestUnsupported

    async def on_stream(
        self,
        link: link.Link,
        call: stream.Stream,
        opening: messages.OpenCall,
    ) -> None:
        """Serve one call."""
        await self._gate.serve(call, opening)

    def on_connected(self, link: link.Link) -> None:
        """Start reporting the load if an entry connected."""
        if link.peer.role == messages.Role.ENTRY:
            self._reporter.add(link)

    def on_lost(self, link: link.Link) -> None:
        """Stop reporting to the link."""
        self._reporter.remove(link)


class Agent:
    """Own the components of an agent process."""

    def __init__(self, settings: generated.Settings) -> None:
        """Build the components; ``run`` starts them."""
        assert settings.agent is not None
        self._settings = settings
        self._own = settings.agent
        self._link_binding = process.bind_links(settings)
        self._stopping = False
        self._peers = link_pool.LinkPool(self._link_binding.options)
        self._feed = feed.ConfigFeed(
            self._peers,
            self._link_binding.options.identity,
            parents.RandomParentSelector(
                settings.control_addresses, random.Random()
            ),
            settings.feed.wait_seconds,
        )
        self._client = target.TargetClient(self._own)
        self._reporter = reports.Reporter(
            self._own.target_id,
            self._client,
            self._own.report_seconds,
        )
        self._group = group_membership.GroupMembership(
            self._own,
            self._link_binding.options.identity,
            self._peers,
            control_client.LinkControlClient(
                self._peers,
                settings.control_addresses,
            ),
        )
        self._gate = gate.Gate(
            gate.GateOptions(
                target_id=self._own.target_id,
                is_model=self._own.kind == 'model',
                call_limit=self._own.connection_limit,
            ),
            self._client,
            self._reporter,
            claims.ClaimGate(
                self._own.target_id,
                self._link_binding.options.identity.incarnation,
            ),
            self._group.urgent,
        )
        self._announced = announcer.AnnouncedTarget(
            self._own,
            self._link_binding.options.identity,
        )
        self._announcer = announcer.Announcer(
            self._announced,
            self._peers,
            self._feed,
            tuple(settings.control_addresses),
            self._own.heartbeat_seconds,
        )
        self._listener = listener.Listener(
            self._link_binding.options,
            AgentHandler(
                self._gate,
                self._reporter,
                self._feed,
                self._group,
            ),
        )

    async def run(self, announce: process.Announce | None) -> None:
        """Run until asked to stop, then drain."""
        stopping = process.catch_stop_signals()
        await self._client.start()
        await self._group.start()
        address = await self._listener.start_on_socket(self._link_binding.bound)
        self._feed.subscribe(self._apply_documents)
        self._feed.start()
        loop = asyncio.get_running_loop()
        working = [
            loop.create_task(self._reporter.run()),
            loop.create_task(self._announcer.run()),
        ]
        if announce is not None:
            announce({'link': address})
        _log.info('agent: started for target %s', self._own.target_id)
        await stopping.wait()
        await self._drain()
        for work in working:
            work.cancel()

    def _apply_documents(self, held: catalogue.Catalogue) -> None:
        """Apply the documents, among them whether this target drains."""
        self._apply_profile(held)
        self._group.update_addresses(held)
        found = held.get(documents.TARGET, self._own.target_id)
        if found is None or self._stopping:
            return
        details = documents.parse(documents.TARGET, found.body)
        own = self._link_binding.options.identity
        if details.incarnation == own.incarnation:
            self._gate.set_leaving(leaving=details.leaving)

    def _apply_profile(self, held: catalogue.Catalogue) -> None:
        service = held.get(documents.SERVICE, self._own.service)
        if service is None:
            return
        details = documents.parse(documents.SERVICE, service.body)
        found = held.get(documents.PROFILE, details.profile)
        if found is None:
            return
        profile = documents.parse(documents.PROFILE, found.body)
        self._gate.idle_seconds = profile.timeouts.idle_seconds
        self._group.apply_balance(profile.balance)
        # Only models report progress in tokens; a plain service may run one
        # call for long.
        if details.kind == 'model':
            self._reporter.stuck_seconds = profile.ejection.stuck_seconds

    async def _drain(self) -> None:
        self._stopping = True
        _log.info('agent: stopping, %d calls open', self._gate.open_calls)
        self._gate.set_leaving()
        self._announced.leave()
        await self._announcer.announce()
        await process.wait_until_idle(
            self._gate.wait_idle(),
            self._own.drain_seconds,
            _log,
            'agent: calls are still open, stop them or wait?',
        )
        await self._group.stop()
        await self._feed.stop()
        await self._listener.drain(DRAIN_LINKS_SECONDS)
        self._peers.close()
        await self._client.stop()


async def run(
    settings: generated.Settings,
    announce: process.Announce | None = None,
) -> None:
    """Run an agent until SIGTERM; ``announce`` receives its addresses."""
    await Agent(settings).run(announce)
