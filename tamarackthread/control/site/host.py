"""Run a control host of a site."""

from __future__ import annotations

import abc
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
    api,
    evacuation,
    feed,
    handler,
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
    listener,
    log_events,
    offload,
    peers,
    process,
)
from tamarackthread.shared.site import (
    announcements,
    configuration,
    figures,
    following,
    places,
)

GROUP = 'site'
TARGETS = 'targets'
CHECK_SECONDS = 0.5
# A heartbeat takes two ways between availability zones of a region, some
# milliseconds; a host that is busy or slowed answers within a tenth of a
# second.  An election must end well within the four seconds that an operator
# waits for an acknowledgement, with one vote that is split.
TIMES = timing.Timing(
    heartbeat=0.12,
    election_min=0.7,
    election_max=1.2,
    drift=0.15,
    append_timeout=1.5,
    stall_timeout=0.6,
    segment_bytes=1 << 20,
    # A host that starts knows only of its snapshot that it was committed; the
    # rest of its log waits for a leader.  With each change in a snapshot the
    # entries that start with it have a configuration a second earlier.
    snapshot_entries=1,
    snapshot_bytes=2 << 20,
    trailing_entries=50,
    reserve_bytes=4 << 20,
    handover_timeout=1.5,
    is_lease_trusted=False,
)
# Two candidates that stand within 10 ms of each other share the votes and try
# again; with this spread one pair in six does.
SHORT_ELECTION_SECONDS = 0.12
_log = logging.getLogger('tamarackthread.control')


class HttpServer(abc.ABC):
    """The HTTP through which operators and targets reach this host."""

    @abc.abstractmethod
    async def open(
        self,
        address: str,
        site: api.SiteApi,
        targets: target_registry.TargetRegistry,
        zones: evacuation.Evacuation,
    ) -> str:
        """Serve at HOST:PORT and return the address in use."""

    @abc.abstractmethod
    async def close(self) -> None:
        """Stop serving."""


class SiteHost:
    """Hold the parts of a control host's process."""

    def __init__(
        self,
        settings: generated.Settings,
        reader: configuration.Reader,
        door: HttpServer,
        asked: ranks.Ranks,
    ) -> None:
        """Build the parts; ``run`` starts them."""
        assert settings.control is not None
        assert settings.site is not None
        self._site = settings.site
        self._node = settings.node.id
        self._drain_seconds = settings.control.drain_seconds
        self._folder = folder.DataFolder(settings.control.data_folder)
        self._place = process.take_place(settings)
        self._address = self._place.options.identity.address
        self._links = peers.Peers(
            self._place.options,
            most_backoff=places.MOST_BACKOFF_SECONDS,
            dial_seconds=places.DIAL_SECONDS,
        )
        self._machine = machine.SiteMachine()
        self._group = self._build_group()
        self._book = target_registry.TargetRegistry(self._site.announce_seconds)
        # How much of the book the roster has learned.
        self._learned = 0
        self._api = api.SiteApi(self._group, self._machine, reader)
        self._evacuation = evacuation.Evacuation(
            self._group, self._machine, self._site.zones
        )
        self._joining = joining.Joiner(
            self._group, self._links, self._node, self._address, self._others
        )
        self._door = door
        self._page = figures.Page()
        self._ranks = asked
        known = site_directory.SiteDirectory(self._machine, reader)
        self._known = known
        self._targets = target_file.TargetFile(
            disk.FolderDisk(self._folder.group_path(TARGETS))
        )
        self._follower = following.Follower(
            self._site, self._links, known, self._address
        )
        self._duty = owner_loop.OwnerLoop(
            self._group,
            self._book,
            known,
            owner.Owner(
                asked,
                known.members,
                self._book.record_pace,
                offload.ThreadOffload(),
            ),
            outlives_lease=self._site.engines_check_fences,
        )
        self._listener = listener.Listener(
            self._place.options,
            handler.SiteHandler(
                self._group,
                feed.Feed(
                    self._machine,
                    self._book,
                    self._member_addresses,
                    self._place.options.identity.incarnation,
                ),
                loads.Loads(self._place.options.identity.incarnation),
                self._evacuation,
            ),
        )

    async def run(self, announce: process.Announce | None) -> None:
        """Run until asked to stop, then hand over and end."""
        address = await self._listener.start_on(self._place.bound)
        await self._group.start()
        for said in await self._targets.load():
            self._book.restore(said)
            self._known.learn_target(said)
        http = await self._door.open(
            self._site.http_address, self._api, self._book, self._evacuation
        )
        await self._page.start(self._site.metrics_address)
        loop = asyncio.get_running_loop()
        working = [
            loop.create_task(self._joining.run()),
            loop.create_task(self._book.run()),
            loop.create_task(self._follower.run()),
            loop.create_task(self._duty.run()),
            loop.create_task(self._targets.run(self._all_targets)),
        ]
        if announce is not None:
            announce({'link': address, 'http': http})
        log_events.tell(
            _log,
            log_events.Event.STARTED,
            'control: listens on %s, operators at %s',
            address,
            http,
            address=address,
        )
        stopping = loop.create_task(process.stop_asked())
        failing = loop.create_task(self._failure(working))
        await asyncio.wait(
            (stopping, failing), return_when=asyncio.FIRST_COMPLETED
        )
        await self._leave()
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
        """Name the hosts that form the group, if this is the first start.

        Only the first start may form a group: a host that lost its disk has
        a blank one too, and must be taken in by those that still know.
        """
        if not self._site.first_start:
            return {}
        return {
            places.host_of(address): address
            for address in places.link_addresses(self._site)
        }

    def _member_addresses(self) -> list[str]:
        return [member.address for member in self._group.members()]

    def _all_targets(self) -> list[announcements.Announcement]:
        for said in self._book.changed_since(self._learned):
            self._known.learn_target(said)
        self._learned = self._book.serial
        return self._known.known_targets()

    def _others(self) -> list[str]:
        known = dict.fromkeys(places.link_addresses(self._site))
        known.update(dict.fromkeys(self._member_addresses()))
        return [address for address in known if address]

    async def _failure(
        self,
        working: list[asyncio.Task[None]],
    ) -> BaseException:
        """Wait until this host can't go on, and give the reason.

        A group that a fault has halted votes and answers no more, while the
        process would look alive for ever.
        """
        while True:
            await asyncio.sleep(CHECK_SECONDS)
            self._measure()
            if self._group.failure is not None:
                return self._group.failure
            fault = process.first_fault(working)
            if fault is not None:
                return fault

    def _measure(self) -> None:
        figures.TERM.set(self._group.term)
        figures.LEADS.set(self._group.has_lease())
        figures.VERSION.set(self._machine.held.version)
        voters = [row for row in self._group.members() if row.voter]
        figures.VOTERS.set(len(voters))

    async def _leave(self) -> None:
        log_events.tell(_log, log_events.Event.STOPPING, 'control: leaves')
        with contextlib.suppress(TimeoutError, failures.ConsensusStopped):
            async with asyncio.timeout(self._drain_seconds):
                self._listener.stop_accepting()
                await self._group.stop()
        await self._door.close()
        await self._page.stop()
        await self._ranks.close()
        await self._targets.close()
        self._listener.close()
        self._links.close()
        self._folder.close()


def group_timing(site: generated.Site) -> timing.Timing:
    """Give the group's times for what may be lost and what is fenced.

    Where engines refuse an outdated fence, nothing rests on the lease.
    """
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
    door: HttpServer,
    asked: ranks.Ranks,
    announce: process.Announce | None = None,
) -> None:
    """Run a control host until SIGTERM; ``announce`` gets its addresses."""
    await SiteHost(settings, reader, door, asked).run(announce)
