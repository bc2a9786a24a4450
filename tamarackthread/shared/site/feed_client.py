"""Follow every control host of the site."""

from __future__ import annotations

import abc
import asyncio
import collections.abc
import logging

import attrs

from tamarackthread.generated import settings as generated
from tamarackthread.generated.messages import ttypes as messages
from tamarackthread.shared import errors, link_pool, log_events
from tamarackthread.shared.site import (
    announcements,
    document,
    source_selection,
    groups,
    host_addresses,
    zones,
)

WAIT_MS = 2000
PERCENT = 100
ANSWER_SECONDS = 4.0
RETRY_SECONDS = 0.15
NAME_SECONDS = 0.5
LOOK_SECONDS = 0.03
# A host that no settings and no other host name any more is let go.
FORGOTTEN_SECONDS = 10.0
_log = logging.getLogger('tamarackthread.site')


@attrs.define(eq=False)
class _Source:
    """One control host and how far this process is in its book."""

    named_at: float
    is_up: bool = False
    task: asyncio.Task[None] | None = None
    epoch: int = 0
    serial: int = 0
    groups_serial: int = 0


class Subscriber(abc.ABC):
    """Who learns what control hosts tell."""

    @property
    @abc.abstractmethod
    def version(self) -> int:
        """Return the version that is held, 0 before the first."""

    @property
    def needs_documents(self) -> bool:
        """Tell whether configurations are learned from control hosts."""
        return True

    @property
    @abc.abstractmethod
    def zone_changes(self) -> int:
        """Return how many changes of zones are held."""

    @abc.abstractmethod
    def learn_zones(self, rows: list[zones.Zone]) -> None:
        """Take the zones that a control host knows of, some of them newer."""

    @abc.abstractmethod
    def learn_target(self, said: announcements.Announcement) -> None:
        """Take an announcement, which may be older than one that is held."""

    def learn_paces(  # noqa: B027  only who places calls needs them
        self,
        source: str,
        paces: dict[str, float],
    ) -> None:
        """Take all slow targets that a control host knows of."""

    def learn_groups(  # noqa: B027  only who places calls needs them
        self,
        term: int,
        rows: list[groups.Group],
    ) -> None:
        """Take all groups that a control host knows of."""

    @abc.abstractmethod
    def learn_document(self, held: document.Document) -> None:
        """Take a configuration with a higher version than the one held."""


class FeedClient:
    """Ask every control host for what is new.

    There is no agreement among control hosts on announcements: each tells
    what it has heard, and the sequence says which word counts.  A drain so
    needs one connection to work and no leader.
    """

    def __init__(
        self,
        site: generated.Site,
        links: link_pool.LinkPool,
        pupil: Subscriber,
        own_address: str = '',
    ) -> None:
        """Follow nobody until ``run``; ``own_address`` is never followed."""
        self._site = site
        self._links = links
        self._pupil = pupil
        self._own_address = own_address
        self._fetching = source_selection.SourceSelector(links)
        self._sources: dict[str, _Source] = {}
        self._entries: tuple[str, ...] = ()

    @property
    def followed(self) -> tuple[str, ...]:
        """Return the control hosts that have answered last."""
        return tuple(
            address for address, source in self._sources.items() if source.is_up
        )

    @property
    def entries(self) -> tuple[str, ...]:
        """Return where the entries of the site accept links."""
        return self._entries

    async def run(self) -> None:
        """Follow for ever, also hosts that are named later."""
        try:
            while True:
                self._name(host_addresses.link_addresses(self._site))
                self._let_go()
                await asyncio.sleep(NAME_SECONDS)
        finally:
            for source in self._sources.values():
                if source.task is not None:
                    source.task.cancel()

    def _name(self, addresses: collections.abc.Iterable[str]) -> None:
        loop = asyncio.get_running_loop()
        for address in addresses:
            if address == self._own_address:
                continue
            source = self._sources.get(address)
            if source is None:
                source = _Source(loop.time())
                self._sources[address] = source
                source.task = loop.create_task(self._follow(address, source))
            source.named_at = loop.time()

    def _let_go(self) -> None:
        now = asyncio.get_running_loop().time()
        for address, source in tuple(self._sources.items()):
            if now - source.named_at < FORGOTTEN_SECONDS:
                continue
            self._sources.pop(address)
            self._fetching.forget(address)
            if source.task is not None:
                source.task.cancel()
            _log.info('site: nobody names control host %s any more', address)

    async def _follow(self, address: str, source: _Source) -> None:
        while True:
            try:
                reply = await self._ask(address, source)
            except (errors.CodedError, TimeoutError) as exc:
                if source.is_up:
                    _tell(address, is_up=False, why=str(exc))
                source.is_up = False
                await asyncio.sleep(RETRY_SECONDS)
                continue
            if not source.is_up:
                _tell(address, is_up=True)
            source.is_up = True
            self._take(address, source, reply)
            await self._await_document(address, reply.version)

    async def _ask(
        self,
        address: str,
        source: _Source,
    ) -> messages.SiteFeedReply:
        supply = self._fetching.state(address)
        fetches = self._fetches(address)
        held = self._pupil.version
        asked = messages.SiteFeedRequest(
            version=held if fetches else max(held, supply.told),
            without_document=not fetches,
            epoch=source.epoch,
            serial=source.serial,
            wait_ms=WAIT_MS,
            zone_changes=self._pupil.zone_changes,
            groups_serial=source.groups_serial,
        )
        async with asyncio.timeout(ANSWER_SECONDS):
            reply = await self._links.request(
                address, messages.Request(site=asked), ANSWER_SECONDS
            )
        if reply.site is None:
            raise errors.FrameInvalid('control host answered something else')
        return reply.site

    def _fetches(self, address: str) -> bool:
        """Tell whether a host is asked for configurations and not for versions.

        Before the first one, which callers wait for, each host is.
        """
        if not self._pupil.needs_documents:
            return False
        if not self._pupil.version or self._fetching.state(address).is_asked:
            return True
        return self._fetching.is_first(address, list(self.followed))

    async def _await_document(self, address: str, version: int) -> None:
        """Wait until another host has brought what one has told of."""
        supply = self._fetching.state(address)
        supply.told = max(supply.told, version)
        supply.is_asked = False
        if not self._pupil.needs_documents:
            return
        loop = asyncio.get_running_loop()
        patience = self._fetching.fetch_delay(address, list(self.followed))
        until = loop.time() + patience
        while self._pupil.version < version:
            if loop.time() >= until:
                supply.is_asked = True
                self._fetching.record_timeout(list(self.followed))
                return
            await asyncio.sleep(LOOK_SECONDS)

    def _take(
        self,
        address: str,
        source: _Source,
        reply: messages.SiteFeedReply,
    ) -> None:
        source.epoch = reply.epoch
        source.serial = reply.serial
        source.groups_serial = reply.groups_serial or 0
        for row in reply.targets:
            self._pupil.learn_target(announcements.from_message(row))
        self._pupil.learn_paces(
            address,
            {slow.id: slow.percent / PERCENT for slow in reply.paces},
        )
        if reply.groups is not None:
            self._pupil.learn_groups(
                reply.groups_term or 0, groups.from_messages(reply.groups)
            )
        # Before the first configuration, with which work begins.
        if reply.zones is not None:
            self._pupil.learn_zones(zones.from_messages(reply.zones))
        is_newer = reply.version > self._pupil.version
        # A host that was cut off may tell of an older configuration.
        if reply.document is not None and is_newer:
            held = document.Document(reply.version, reply.document)
            self._pupil.learn_document(held)
        self._name(reply.members)
        self._entries = tuple(reply.entries)


def _tell(address: str, *, is_up: bool, why: str = '') -> None:
    log_events.emit(
        _log,
        log_events.Event.DEPENDENCY,
        'site: %s control %s%s',
        'follows' if is_up else 'lost',
        address,
        f', {why}' if why else '',
        level=logging.INFO if is_up else logging.WARNING,
        address=address,
        is_up=is_up,
    )
