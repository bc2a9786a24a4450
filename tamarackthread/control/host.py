"""Run a control host: replicated groups, the feed's root and requests."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import random
import time

from tamarackthread.control import (
    claim_service,
    claims,
    config_proposer,
    configuration,
    consensus,
    disk,
    entry_registry,
    feed_source,
    folder,
    forwarding,
    leadership,
    operations,
    request_handler,
    shards,
    target_documents,
    timing,
    transport,
)
from tamarackthread.generated import settings as generated
from tamarackthread.shared import (
    documents,
    errors,
    feed,
    feed_server,
    link_pool,
    listener,
    process,
)

# Feed children in total and per zone; these relay to the rest of their zone.
MAX_CHILDREN_PER_ZONE = 2
MAX_CHILDREN = 64
POLL_SECONDS = 1.0
# Ratio of the longest election timeout to the shortest: a larger one outlasts
# the nodes' leases, a smaller one splits votes.
ELECTION_TIMEOUT_RATIO = 1.6
_log = logging.getLogger('tamarackthread.control')


class Host:
    """Build, run and stop the components of a control host."""

    def __init__(self, settings: generated.Settings) -> None:
        """Build the components; ``run`` starts them."""
        assert settings.control is not None
        self._settings = settings
        self._control = settings.control
        self._node = settings.node.id
        self._folder = folder.DataFolder(self._control.data_folder)
        self._link_binding = process.bind_links(settings)
        self._rng = random.Random()
        self._links = link_pool.LinkPool(self._link_binding.options)
        self._groups: dict[str, consensus.Consensus] = {}
        self._machine = configuration.Configuration(self._control.audit_records)
        self._config = self._build_group(request_handler.CONFIG, self._machine)
        self._leadership = leadership.Leadership(self._config)
        self._feed = self._build_feed()
        self._leadership.on_other_leader(self._feed.reselect_parent)
        self._source = feed_source.ControlSource(
            self._leadership,
            self._machine,
            self._feed,
            self._control.timing.node_lease_seconds,
        )
        self._proposer = config_proposer.ConfigProposer(self._config, time.time)
        self._writers = {
            kind: target_documents.DocumentWriter(kind, self._proposer)
            for kind in (documents.TARGET, documents.ENTRY)
        }
        self._sweeps = self._build_sweeps()
        self._handler = self._build_handler()
        self._listener = listener.Listener(
            self._link_binding.options, self._handler
        )

    async def run(self, announce: process.Announce | None) -> None:
        """Run until SIGTERM or a group's failure, which is raised after a drain."""
        stopping = process.catch_stop_signals()
        address = await self._listener.start_on_socket(self._link_binding.bound)
        for group in self._groups.values():
            await group.start()
        self._feed.start()
        loop = asyncio.get_running_loop()
        tasks = [
            loop.create_task(self._leadership.run()),
            loop.create_task(self._run_leader_tasks()),
        ]
        if announce is not None:
            announce({'link': address})
        _log.info('control: listening on %s', address)
        stop_requested = loop.create_task(stopping.wait())
        group_failed = loop.create_task(self._wait_for_failure())
        await asyncio.wait(
            (stop_requested, group_failed),
            return_when=asyncio.FIRST_COMPLETED,
        )
        await self._shut_down()
        for task in (*tasks, stop_requested):
            task.cancel()
        if group_failed.done():
            raise group_failed.result()
        group_failed.cancel()

    def _build_group(
        self,
        name: str,
        machine: configuration.Configuration | claims.ClaimsMachine,
    ) -> consensus.Consensus:
        members = {row.node: row.address for row in self._control.members}
        group = consensus.Consensus(
            group=name,
            node=self._node,
            machine=machine,
            disk=disk.FolderDisk(self._folder.group_path(name)),
            transport=transport.LinkTransport(self._links),
            members=members,
            timing=timing_of(self._control),
            rng=self._rng,
        )
        self._groups[name] = group
        return group

    def _build_feed(self) -> feed.ConfigFeed:
        return feed.ConfigFeed(
            self._links,
            self._link_binding.options.identity,
            feed_source.LeaderParent(
                self._config, self._address_of, self._node
            ),
            self._settings.feed.wait_seconds,
            self._rng,
        )

    def _build_sweeps(self) -> list[target_documents.LivenessSweep]:
        sweeps = []
        for kind, writer in self._writers.items():
            sweep = target_documents.LivenessSweep(
                self._machine,
                self._feed.descendants,
                writer,
                kind,
                self._control.timing.target_lease_seconds,
            )
            self._leadership.on_lead(sweep.restart)
            sweeps.append(sweep)
        return sweeps

    def _build_handler(self) -> request_handler.RequestHandler:
        handler = request_handler.RequestHandler(
            self._groups,
            self._build_claims(),
            feed_server.FeedServer(
                self._source,
                self._feed.descendants,
                feed_server.Limits(MAX_CHILDREN, MAX_CHILDREN_PER_ZONE),
                self._rng,
            ),
        )
        handler.attach(
            self._machine,
            self._leadership,
            operations.Operations(
                operations.Dependencies(
                    machine=self._machine,
                    leading=self._leadership,
                    origin=self._source,
                    below=self._feed.descendants,
                    proposer=self._proposer,
                    targets=target_documents.TargetDocuments(
                        self._machine,
                        self._writers[documents.TARGET],
                    ),
                    entries=entry_registry.EntryRegistry(
                        self._machine,
                        self._writers[documents.ENTRY],
                    ),
                    links=self._links,
                    own_node=self._node,
                ),
            ),
            forwarding.Forwarder(
                self._config,
                self._address_of,
                self._links,
                self._node,
            ),
        )
        return handler

    def _build_claims(self) -> dict[str, claim_service.ClaimService]:
        incarnation = self._link_binding.options.identity.incarnation
        services = {}
        for name in shards.group_names(self._control.claim_shards):
            machine = claims.ClaimsMachine()
            services[name] = claim_service.ClaimService(
                machine,
                self._build_group(name, machine),
                f'{self._node}/{incarnation}',
            )
        return services

    def _address_of(self, node: str) -> str:
        for member in self._config.members():
            if member.node == node:
                return member.address
        return ''

    async def _wait_for_failure(self) -> Exception:
        """Wait until a group halts and return its failure.

        The process must exit, or it looks alive without serving the group.
        """
        while True:
            await asyncio.sleep(POLL_SECONDS)
            for group in self._groups.values():
                if group.failure is not None:
                    return group.failure

    async def _run_leader_tasks(self) -> None:
        """Run the leader's periodic tasks."""
        while True:
            await asyncio.sleep(POLL_SECONDS)
            if not self._leadership.leads():
                continue
            with contextlib.suppress(errors.CodedError):
                await shards.create_documents(
                    self._machine,
                    self._proposer,
                    self._control.claim_shards,
                )
                for sweep in self._sweeps:
                    await sweep.sweep()

    async def _shut_down(self) -> None:
        _log.info('control: shutting down')
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(self._control.drain_seconds):
                await self._drain()
        self._listener.close()
        self._links.close()
        self._folder.close()

    async def _drain(self) -> None:
        # Requests in flight complete with their groups; new ones are refused
        # with "not leader", so that clients try another host.
        self._listener.stop_accepting()
        await self._feed.stop()
        stops = [group.stop() for group in self._groups.values()]
        await asyncio.gather(*stops)


def timing_of(own: generated.Control) -> timing.Timing:
    """Convert settings to the timing of the replicated groups."""
    times = own.timing
    return timing.Timing(
        heartbeat=times.heartbeat_seconds,
        election_min=times.election_seconds,
        election_max=times.election_seconds * ELECTION_TIMEOUT_RATIO,
        drift=1 - times.leader_lease_seconds / times.election_seconds,
        snapshot_entries=own.snapshot_entries,
    )


async def run(
    settings: generated.Settings,
    announce: process.Announce | None = None,
) -> None:
    """Run a control host until SIGTERM; report its address to ``announce``."""
    await Host(settings).run(announce)
