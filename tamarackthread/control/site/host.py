"""Run a control host of a site."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import random

import attrs

from tamarackthread.control import (
    consensus,
    disk,
    failures,
    folder,
    timing,
    transport,
)
from tamarackthread.control.site import (
    announcing,
    api,
    evacuation,
    feed,
    handler,
    http_server,
    joining,
    loads,
    machine,
    site_directory,
    target_file,
    target_registry,
)
from tamarackthread.control.site.maps import owner, owner_loop, ranks
from tamarackthread.generated import settings as generated
from tamarackthread.shared import (
    link_pool,
    listener,
    log_events,
    offload,
    process,
    process_bounds,
)
from tamarackthread.shared.site import (
    announcements,
    configuration,
    site_metrics,
    feed_client,
    host_addresses,
    metrics_server,
)

GROUP = 'site'
TARGETS_FOLDER = 'targets'
CHECK_SECONDS = 0.5
# Heartbeats allow for a slow host and for the distance between availability zones.
# An election with one split vote ends within an operator's timeout of 4 s.
TIMES = timing.Timing(
    heartbeat=0.12,
    election_min=0.7,
    election_max=1.2,
    drift=0.15,
    append_timeout=1.5,
    stall_timeout=0.6,
    segment_bytes=1 << 20,
    # A host that starts alone can only use its snapshot.  With every change in
    # it, entries get a configuration before a leader is elected.
    snapshot_entries=1,
    snapshot_bytes=2 << 20,
    trailing_entries=50,
    reserve_bytes=4 << 20,
    handover_timeout=1.5,
    is_lease_trusted=False,
)
# Spread of election timeouts where elections are hurried; candidates that start
# within 10 ms of each other split the vote.
SHORT_ELECTION_SECONDS = 0.12
_log = logging.getLogger('tamarackthread.control')


class SiteHost:
    """A control host's process, with all its parts."""

    def __init__(
        self,
        settings: generated.Settings,
        reader: configuration.Reader,
        server: http_server.HttpServer,
        rank_client: ranks.Ranks,
    ) -> None:
        """Create all parts; ``run`` starts them."""
        assert settings.control is not None
        assert settings.site is not None
        self._site = settings.site
        self._bounds = process_bounds.of(settings.site)
        self._node = settings.node.id
        self._drain_seconds = settings.control.drain_seconds
        self._folder = folder.DataFolder(settings.control.data_folder)
        self._link_binding = process.bind_links(settings)
        self._address = self._link_binding.options.identity.address
        self._links = link_pool.LinkPool(
            self._link_binding.options,
            max_backoff_seconds=host_addresses.MAX_BACKOFF_SECONDS,
            dial_timeout_seconds=host_addresses.DIAL_TIMEOUT_SECONDS,
        )
        self._machine = machine.SiteMachine()
        self._group = self._build_group()
        self._registry = target_registry.TargetRegistry(
            self._site.announce_seconds
        )
        self._announcing = announcing.Announcing(
            self._group, self._machine, self._registry
        )
        # Serial up to which the directory has learned the registry's targets.
        self._learned_serial = 0
        self._api = api.SiteApi(self._group, self._machine, reader)
        self._evacuation = evacuation.Evacuation(
            self._group, self._machine, self._site.zones
        )
        self._joiner = joining.Joiner(
            self._group,
            self._links,
            self._node,
            self._address,
            self._peer_addresses,
        )
        self._http_server = server
        self._metrics_server = metrics_server.MetricsServer()
        self._ranks = rank_client
        directory = site_directory.SiteDirectory(self._machine, reader)
        self._directory = directory
        self._targets = target_file.TargetFile(
            disk.FolderDisk(self._folder.group_path(TARGETS_FOLDER))
        )
        self._feed_client = feed_client.FeedClient(
            self._site, self._links, directory, self._address
        )
        self._owner_loop = owner_loop.OwnerLoop(
            self._group,
            self._registry,
            directory,
            owner.Owner(
                rank_client,
                directory.members,
                self._registry.record_pace,
                offload.ThreadOffload(),
            ),
            outlives_lease=self._site.engines_check_fences,
        )
        self._listener = listener.Listener(
            self._link_binding.options,
            handler.SiteHandler(
                self._group,
                feed.Feed(
                    self._machine,
                    self._registry,
                    self._member_addresses,
                    self._link_binding.options.identity.incarnation,
                ),
                loads.Loads(self._link_binding.options.identity.incarnation),
                self._evacuation,
            ),
            self._bounds.handshakes,
        )

    async def run(self, announce: process.Announce | None) -> None:
        """Run until asked to stop, then hand over leadership and stop."""
        signalled = process.catch_stop_signals()
        address = await self._listener.start_on_socket(self._link_binding.bound)
        await self._group.start()
        for announcement in await self._targets.load():
            self._registry.restore(announcement)
            self._directory.learn_target(announcement)
        http = await self._http_server.open(
            self._site.http_address,
            self._api,
            self._announcing,
            self._evacuation,
            self._bounds.clients,
        )
        await self._metrics_server.start(self._site.metrics_address)
        loop = asyncio.get_running_loop()
        working = [
            loop.create_task(self._joiner.run()),
            loop.create_task(self._registry.run()),
            loop.create_task(self._feed_client.run()),
            loop.create_task(self._owner_loop.run()),
            loop.create_task(self._targets.run(self._all_targets)),
        ]
        if announce is not None:
            announce({'link': address, 'http': http})
        log_events.emit(
            _log,
            log_events.Event.STARTED,
            'control: listens on %s, operators at %s',
            address,
            http,
            address=address,
        )
        stopping = loop.create_task(signalled.wait())
        failing = loop.create_task(self._wait_for_fault(working))
        await asyncio.wait(
            (stopping, failing), return_when=asyncio.FIRST_COMPLETED
        )
        await self._stop()
        for work in (*working, stopping):
            work.cancel()
        if failing.done():
            raise failing.result()
        failing.cancel()

    def _build_group(self) -> consensus.Consensus:
        return consensus.Consensus(
            group=GROUP,
            node=self._node,
            machine=self._machine,
            disk=disk.FolderDisk(self._folder.group_path(GROUP)),
            transport=transport.LinkTransport(self._links),
            members=self._founders(),
            timing=group_timing(self._site),
            rng=random.Random(),
        )

    def _founders(self) -> dict[str, str]:
        """Return the founding members, empty unless on the first start.

        A host that lost its disk must not found a second group.
        """
        if not self._site.first_start:
            return {}
        return {
            host_addresses.host_of(address): address
            for address in host_addresses.link_addresses(self._site)
        }

    def _member_addresses(self) -> list[str]:
        return [member.address for member in self._group.members()]

    def _all_targets(self) -> list[announcements.Announcement]:
        for announcement in self._registry.changed_since(self._learned_serial):
            self._directory.learn_target(announcement)
        self._learned_serial = self._registry.serial
        return self._directory.known_targets()

    def _peer_addresses(self) -> list[str]:
        directory = dict.fromkeys(host_addresses.link_addresses(self._site))
        directory.update(dict.fromkeys(self._member_addresses()))
        return [address for address in directory if address]

    async def _wait_for_fault(
        self,
        working: list[asyncio.Task[None]],
    ) -> BaseException:
        """Wait for a fatal fault and return it.

        A halted consensus group would otherwise leave a process that looks
        alive.
        """
        while True:
            await asyncio.sleep(CHECK_SECONDS)
            self._update_metrics()
            if self._group.failure is not None:
                return self._group.failure
            fault = process.first_failure(working)
            if fault is not None:
                return fault

    def _update_metrics(self) -> None:
        site_metrics.TERM.set(self._group.term)
        site_metrics.LEADS.set(self._group.has_lease())
        site_metrics.VERSION.set(self._machine.held.version)
        voters = [row for row in self._group.members() if row.voter]
        site_metrics.VOTERS.set(len(voters))

    async def _stop(self) -> None:
        log_events.emit(_log, log_events.Event.STOPPING, 'control: leaves')
        with contextlib.suppress(TimeoutError, failures.ConsensusStopped):
            async with asyncio.timeout(self._drain_seconds):
                self._listener.stop_accepting()
                await self._group.stop()
        await self._http_server.close()
        await self._metrics_server.stop()
        await self._ranks.close()
        await self._targets.close()
        self._listener.close()
        self._links.close()
        self._folder.close()


def group_timing(site: generated.Site) -> timing.Timing:
    """Return the group's timing; with fencing, elections may be hurried."""
    # Where engines refuse an outdated fence, nothing depends on the lease.
    return attrs.evolve(
        TIMES,
        min_voters=2 * site.lost_hosts + 1,
        short_election_max=SHORT_ELECTION_SECONDS
        if site.engines_check_fences
        else 0,
    )


async def run(
    settings: generated.Settings,
    reader: configuration.Reader,
    server: http_server.HttpServer,
    rank_client: ranks.Ranks,
    announce: process.Announce | None = None,
) -> None:
    """Run a control host until SIGTERM; ``announce`` gets its addresses."""
    await SiteHost(settings, reader, server, rank_client).run(announce)
