"""Poll the feeds of all control hosts of the site."""

from __future__ import annotations

import abc
import asyncio
import collections.abc
import functools
import logging
import typing

import attrs

from tamarackthread.generated import settings as generated
from tamarackthread.generated.messages import ttypes as messages
from tamarackthread.shared import errors, faults, link_pool, log_events
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
REPLY_SECONDS = 4.0
RETRY_SECONDS = 0.15
DISCOVERY_SECONDS = 0.5
POLL_SECONDS = 0.03
# A host is dropped once no settings and no other host list it.
UNLISTED_SECONDS = 10.0
_log = logging.getLogger('tamarackthread.site')
_Part = typing.TypeVar('_Part')


@attrs.define(eq=False)
class _Source:
    """Polling state of one control host."""

    listed_at: float
    is_up: bool = False
    task: asyncio.Task[None] | None = None
    epoch: int = 0
    serial: int = 0
    groups_serial: int = 0


class Subscriber(abc.ABC):
    """Receiver of the updates from control hosts."""

    @property
    @abc.abstractmethod
    def version(self) -> int:
        """Return the current configuration version, 0 before the first."""

    @property
    def needs_documents(self) -> bool:
        """Return whether configurations are fetched from control hosts."""
        return True

    @property
    @abc.abstractmethod
    def zone_changes(self) -> int:
        """Return the number of zone changes that were applied."""

    @abc.abstractmethod
    def learn_zones(self, rows: list[zones.Zone]) -> None:
        """Apply a control host's zones, of which some may be newer."""

    @abc.abstractmethod
    def learn_target(self, announcement: announcements.Announcement) -> None:
        """Apply an announcement unless a newer one was applied."""

    def learn_paces(  # noqa: B027  only needed to route calls
        self,
        source: str,
        paces: dict[str, float],
    ) -> None:
        """Replace the slow targets reported by a control host."""

    def learn_groups(  # noqa: B027  only needed to route calls
        self,
        term: int,
        rows: list[groups.Group],
    ) -> None:
        """Replace the groups unless ``term`` is old."""

    @abc.abstractmethod
    def learn_document(self, stored: document.Document) -> None:
        """Apply a configuration whose version is higher than ``version``."""


class FeedClient:
    """Long-poll each control host for updates.  Announcements need no leader:
    a drain reaches the subscriber over any one working connection.
    """

    def __init__(
        self,
        site: generated.Site,
        links: link_pool.LinkPool,
        subscriber: Subscriber,
        own_address: str = '',
    ) -> None:
        """Poll from ``run`` on; ``own_address`` is never polled."""
        self._site = site
        self._links = links
        self._subscriber = subscriber
        self._own_address = own_address
        self._selector = source_selection.SourceSelector(links)
        self._sources: dict[str, _Source] = {}
        self._entries: tuple[str, ...] = ()

    @property
    def followed(self) -> tuple[str, ...]:
        """Return the control hosts whose last poll succeeded."""
        return tuple(
            address for address, source in self._sources.items() if source.is_up
        )

    @property
    def entries(self) -> tuple[str, ...]:
        """Return the link addresses of the site's entries."""
        return self._entries

    async def run(self) -> None:
        """Poll until cancelled, including hosts that join later."""
        try:
            while True:
                self._add_sources(host_addresses.link_addresses(self._site))
                self._drop_unlisted()
                await asyncio.sleep(DISCOVERY_SECONDS)
        finally:
            for source in self._sources.values():
                if source.task is not None:
                    source.task.cancel()

    def _add_sources(self, addresses: collections.abc.Iterable[str]) -> None:
        loop = asyncio.get_running_loop()
        for address in addresses:
            if address == self._own_address:
                continue
            source = self._sources.get(address)
            if source is None:
                source = _Source(loop.time())
                self._sources[address] = source
                source.task = loop.create_task(self._poll(address, source))
            source.listed_at = loop.time()

    def _drop_unlisted(self) -> None:
        now = asyncio.get_running_loop().time()
        for address, source in tuple(self._sources.items()):
            if now - source.listed_at < UNLISTED_SECONDS:
                continue
            self._sources.pop(address)
            self._selector.forget(address)
            if source.task is not None:
                source.task.cancel()
            _log.info(
                'site: control host %s is no longer listed, stopped polling it',
                address,
            )

    async def _poll(self, address: str, source: _Source) -> None:
        while True:
            try:
                reply = await self._request(address, source)
            except (errors.CodedError, TimeoutError) as exc:
                if source.is_up:
                    _log_connection(address, is_up=False, reason=str(exc))
                source.is_up = False
                await asyncio.sleep(RETRY_SECONDS)
                continue
            if not source.is_up:
                _log_connection(address, is_up=True)
            source.is_up = True
            if not self._apply(address, source, reply):
                # The same part may come again at once.
                await asyncio.sleep(RETRY_SECONDS)
            await self._await_document(address, reply.version)

    async def _request(
        self,
        address: str,
        source: _Source,
    ) -> messages.SiteFeedReply:
        state = self._selector.state(address)
        needs_document = self._needs_document(address)
        version = self._subscriber.version
        request = messages.SiteFeedRequest(
            version=version
            if needs_document
            else max(version, state.advertised),
            without_document=not needs_document,
            epoch=source.epoch,
            serial=source.serial,
            wait_ms=WAIT_MS,
            zone_changes=self._subscriber.zone_changes,
            groups_serial=source.groups_serial,
        )
        async with asyncio.timeout(REPLY_SECONDS):
            reply = await self._links.request(
                address, messages.Request(site=request), REPLY_SECONDS
            )
        if reply.site is None:
            raise errors.FrameInvalid('control host sent no site feed reply')
        return reply.site

    def _needs_document(self, address: str) -> bool:
        """Return whether to request documents from a host, not only versions.
        Calls wait for the first configuration, so every host is asked for it.
        """
        if not self._subscriber.needs_documents:
            return False
        if (
            not self._subscriber.version
            or self._selector.state(address).is_fetch_due
        ):
            return True
        return self._selector.is_first(address, list(self.followed))

    async def _await_document(self, address: str, version: int) -> None:
        """Wait for another host to deliver a version, else request it here."""
        state = self._selector.state(address)
        state.advertised = max(state.advertised, version)
        state.is_fetch_due = False
        if not self._subscriber.needs_documents:
            return
        loop = asyncio.get_running_loop()
        delay = self._selector.fetch_delay(address, list(self.followed))
        deadline = loop.time() + delay
        while self._subscriber.version < version:
            if loop.time() >= deadline:
                state.is_fetch_due = True
                self._selector.record_timeout(list(self.followed))
                return
            await asyncio.sleep(POLL_SECONDS)

    def _apply(
        self,
        address: str,
        source: _Source,
        reply: messages.SiteFeedReply,
    ) -> bool:
        """Apply a reply; return whether all of its parts could be applied."""
        source.epoch = reply.epoch
        source.serial = reply.serial
        source.groups_serial = reply.groups_serial or 0
        applied = [
            self._apply_part(address, self._apply_target, row)
            for row in reply.targets
        ]
        # Zones are applied before the first configuration, which admits calls.
        for apply in (
            functools.partial(self._apply_paces, address),
            self._apply_groups,
            self._apply_zones,
            self._apply_document,
        ):
            applied.append(self._apply_part(address, apply, reply))
        self._add_sources(reply.members)
        self._entries = tuple(reply.entries)
        return all(applied)

    def _apply_part(
        self,
        address: str,
        apply: collections.abc.Callable[[_Part], None],
        part: _Part,
    ) -> bool:
        """Apply one part of a reply; a fault leaves out this part only."""
        try:
            apply(part)
            return True
        except Exception as exc:
            # Otherwise the task would end, and the host never be asked again.
            faults.report(
                faults.Part.FEED, f'can not apply news of {address}', exc
            )
            return False

    def _apply_target(self, row: messages.SiteTarget) -> None:
        self._subscriber.learn_target(announcements.from_message(row))

    def _apply_paces(self, address: str, reply: messages.SiteFeedReply) -> None:
        self._subscriber.learn_paces(
            address,
            {slow.id: slow.percent / PERCENT for slow in reply.paces},
        )

    def _apply_groups(self, reply: messages.SiteFeedReply) -> None:
        if reply.groups is not None:
            self._subscriber.learn_groups(
                reply.groups_term or 0, groups.from_messages(reply.groups)
            )

    def _apply_zones(self, reply: messages.SiteFeedReply) -> None:
        if reply.zones is not None:
            self._subscriber.learn_zones(zones.from_messages(reply.zones))

    def _apply_document(self, reply: messages.SiteFeedReply) -> None:
        is_newer = reply.version > self._subscriber.version
        # A host that was partitioned may send an older configuration.
        if reply.document is not None and is_newer:
            stored = document.Document(reply.version, reply.document)
            self._subscriber.learn_document(stored)


def _log_connection(address: str, *, is_up: bool, reason: str = '') -> None:
    log_events.emit(
        _log,
        log_events.Event.DEPENDENCY,
        'site: %s control %s%s',
        'follows' if is_up else 'lost',
        address,
        f', {reason}' if reason else '',
        level=logging.INFO if is_up else logging.WARNING,
        address=address,
        is_up=is_up,
    )
