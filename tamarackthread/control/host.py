"""Run a control host: replicated groups, the feed's root and operations."""

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
    folder,
    forwarding,
    leadership,
    operations,
    requests,
    shards,
    source,
    targets,
    timing,
    transport,
)
from tamarackthread.generated import settings as generated
from tamarackthread.shared import (
    documents,
    errors,
    feed,
    listener,
    peers,
    process,
    relay,
)

# A control host serves few children of each zone; these serve the others.
CHILDREN_IN_ZONE = 2
CHILDREN = 64
TEND_SECONDS = 1.0
# Elections spread over this much more than the shortest silence; more would
# outlast the nodes' leases, less would let candidates split the votes.
ELECTION_SPREAD = 1.6
_log = logging.getLogger('tamarackthread.control')


class Host:
    """Hold the parts of a control host's process."""

    def __init__(self, settings: generated.Settings) -> None:
        """Build the parts; ``run`` starts them."""
        assert settings.control is not None
        self._settings = settings
        self._own = settings.control
        self._node = settings.node.id
        self._folder = folder.DataFolder(self._own.data_folder)
        self._place = process.take_place(settings)
        self._rng = random.Random()
        self._links = peers.Peers(self._place.options)
        self._groups: dict[str, consensus.Consensus] = {}
        self._machine = configuration.Configuration(self._own.audit_records)
        self._config = self._group(requests.CONFIG, self._machine)
        self._leading = leadership.Leadership(self._config)
        self._feed = self._build_feed()
        self._leading.on_other_leader(self._feed.retry_now)
        self._source = source.ControlSource(
            self._leading,
            self._machine,
            self._feed,
            self._own.timing.node_lease_seconds,
        )
        self._propose = config_proposer.ConfigProposer(self._config, time.time)
        self._written = {
            kind: targets.DocumentWriter(kind, self._propose)
            for kind in (documents.TARGET, documents.ENTRY)
        }
        self._sweeps = self._build_sweeps()
        self._handler = self._build_handler()
        self._listener = listener.Listener(self._place.options, self._handler)

    async def run(self, announce: process.Announce | None) -> None:
        """Run until asked to stop, then hand over and end."""
        address = await self._listener.start_on(self._place.bound)
        for group in self._groups.values():
            await group.start()
        self._feed.start()
        loop = asyncio.get_running_loop()
        working = [
            loop.create_task(self._leading.run()),
            loop.create_task(self._tend()),
        ]
        if announce is not None:
            announce({'link': address})
        _log.info('control: listens on %s', address)
        stopping = loop.create_task(process.stop_asked())
        failing = loop.create_task(self._failure())
        await asyncio.wait(
            (stopping, failing),
            return_when=asyncio.FIRST_COMPLETED,
        )
        await self._leave()
        for work in (*working, stopping):
            work.cancel()
        if failing.done():
            raise failing.result()
        failing.cancel()

    def _group(
        self,
        name: str,
        machine: configuration.Configuration | claims.ClaimsMachine,
    ) -> consensus.Consensus:
        members = {held.node: held.address for held in self._own.members}
        group = consensus.Consensus(
            group=name,
            node=self._node,
            machine=machine,
            disk=disk.FolderDisk(self._folder.group_path(name)),
            transport=transport.LinkTransport(self._links),
            members=members,
            timing=times_of(self._own),
            rng=self._rng,
        )
        self._groups[name] = group
        return group

    def _build_feed(self) -> feed.ConfigFeed:
        return feed.ConfigFeed(
            self._links,
            self._place.options.identity,
            source.LeaderParent(self._config, self._address_of, self._node),
            self._settings.feed.wait_seconds,
            self._rng,
        )

    def _build_sweeps(self) -> list[targets.LivenessSweep]:
        sweeps = []
        for kind, written in self._written.items():
            sweep = targets.LivenessSweep(
                self._machine,
                self._feed.below,
                written,
                kind,
                self._own.timing.target_lease_seconds,
            )
            self._leading.on_lead(sweep.restart)
            sweeps.append(sweep)
        return sweeps

    def _build_handler(self) -> requests.RequestHandler:
        handler = requests.RequestHandler(
            self._groups,
            self._build_claims(),
            relay.FeedServer(
                self._source,
                self._feed.below,
                relay.Limits(CHILDREN, CHILDREN_IN_ZONE),
                self._rng,
            ),
        )
        handler.use(
            self._machine,
            self._leading,
            operations.Operations(
                operations.Parts(
                    machine=self._machine,
                    leading=self._leading,
                    origin=self._source,
                    below=self._feed.below,
                    propose=self._propose,
                    targets=targets.Targets(
                        self._machine,
                        self._written[documents.TARGET],
                    ),
                    entry_list=entry_registry.EntryRegistry(
                        self._machine,
                        self._written[documents.ENTRY],
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
        incarnation = self._place.options.identity.incarnation
        services = {}
        for name in shards.names(self._own.claim_shards):
            machine = claims.ClaimsMachine()
            services[name] = claim_service.ClaimService(
                machine,
                self._group(name, machine),
                f'{self._node}/{incarnation}',
            )
        return services

    def _address_of(self, node: str) -> str:
        for member in self._config.members():
            if member.node == node:
                return member.address
        return ''

    async def _failure(self) -> Exception:
        """Wait until a group can't go on, and give the reason.

        A group that a fault has halted votes and answers no more, while its
        process would look alive for ever.  Ending the process shows the
        fault, and a start reads the disk anew.
        """
        while True:
            await asyncio.sleep(TEND_SECONDS)
            for group in self._groups.values():
                if group.failure is not None:
                    return group.failure

    async def _tend(self) -> None:
        """Do the leader's regular work."""
        while True:
            await asyncio.sleep(TEND_SECONDS)
            if not self._leading.leads():
                continue
            with contextlib.suppress(errors.CodedError):
                await shards.ensure(
                    self._machine,
                    self._propose,
                    self._own.claim_shards,
                )
                for sweep in self._sweeps:
                    await sweep.sweep()

    async def _leave(self) -> None:
        _log.info('control: leaves')
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(self._own.drain_seconds):
                await self._hand_over()
        self._listener.close()
        self._links.close()
        self._folder.close()

    async def _hand_over(self) -> None:
        # Requests in flight end with the groups' answers; who asks anew is
        # told to go elsewhere, because this host leads no more.
        self._listener.stop_accepting()
        await self._feed.stop()
        stopping = [group.stop() for group in self._groups.values()]
        await asyncio.gather(*stopping)


def times_of(own: generated.Control) -> timing.Timing:
    """Turn settings into the times of the replicated groups."""
    given = own.timing
    return timing.Timing(
        heartbeat=given.heartbeat_seconds,
        election_min=given.election_seconds,
        election_max=given.election_seconds * ELECTION_SPREAD,
        drift=1 - given.leader_lease_seconds / given.election_seconds,
        snapshot_entries=own.snapshot_entries,
    )


async def run(
    settings: generated.Settings,
    announce: process.Announce | None = None,
) -> None:
    """Run a control host until SIGTERM; ``announce`` gets its address."""
    await Host(settings).run(announce)
