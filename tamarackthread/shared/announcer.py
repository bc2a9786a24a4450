"""Register this process with control until its document is up to date."""

from __future__ import annotations

import abc
import asyncio
import itertools
import logging

from tamarackthread.generated import settings as generated
from tamarackthread.generated.messages import ttypes as messages
from tamarackthread.shared import (
    documents,
    errors,
    feed,
    findings,
    identity,
    link_pool,
)

TIMEOUT_SECONDS = 2.0
_log = logging.getLogger('tamarackthread.announcer')


class Announced(abc.ABC):
    """Subject of an announcement: the target of an agent, or an entry."""

    @property
    @abc.abstractmethod
    def kind(self) -> str:
        """Return the kind of its document."""

    @property
    @abc.abstractmethod
    def name(self) -> str:
        """Return the name of its document."""

    @abc.abstractmethod
    def message(self) -> messages.Announcement:
        """Build the announcement."""

    @abc.abstractmethod
    def matches(self, known: documents.Parsed) -> bool:
        """Return whether the document is up to date."""


class AnnouncedTarget(Announced):
    """The target of an agent."""

    def __init__(
        self,
        settings: generated.Agent,
        own: identity.Identity,
    ) -> None:
        """Announce the target named in the settings."""
        self._settings = settings
        self._own = own
        self._leaving = False

    @property
    def kind(self) -> str:
        """Return the kind of its document."""
        return documents.TARGET

    @property
    def name(self) -> str:
        """Return the name of the target."""
        return self._settings.target_id

    def leave(self) -> None:
        """Set later announcements to say that the target is leaving."""
        self._leaving = True

    def message(self) -> messages.Announcement:
        """Build the announcement."""
        return messages.Announcement(
            target=self._settings.target_id,
            service_name=self._settings.service,
            zone=self._own.zone,
            region=self._own.region,
            address=self._own.address,
            incarnation=self._own.incarnation,
            leaving=self._leaving,
            group=self._settings.group,
            rank=self._settings.rank,
            ranks=self._settings.ranks,
            checks_fencing=self._settings.checks_fencing,
        )

    def matches(self, known: documents.Parsed) -> bool:
        """Return whether the document describes this start of the agent."""
        registered = (known.incarnation, known.address, known.service)
        own = self._own
        return registered == (
            own.incarnation,
            own.address,
            self._settings.service,
        )


class AnnouncedEntry(Announced):
    """The entry of this process."""

    def __init__(self, own: identity.Identity) -> None:
        """Announce the entry with this identity."""
        self._own = own

    @property
    def kind(self) -> str:
        """Return the kind of its document."""
        return documents.ENTRY

    @property
    def name(self) -> str:
        """Return the node name of the entry."""
        return self._own.node

    def message(self) -> messages.Announcement:
        """Build the announcement."""
        return messages.Announcement(
            entry=self._own.node,
            zone=self._own.zone,
            region=self._own.region,
            address=self._own.address,
            incarnation=self._own.incarnation,
        )

    def matches(self, known: documents.Parsed) -> bool:
        """Return whether the document describes this start of the entry."""
        registered = (known.incarnation, known.address, known.zone)
        return registered == (
            self._own.incarnation,
            self._own.address,
            self._own.zone,
        )


class Announcer:
    """Announce whenever the replicated document differs from this process, so
    that idle processes cause no load on control.
    """

    def __init__(
        self,
        announced: Announced,
        links: link_pool.LinkPool,
        config_feed: feed.ConfigFeed,
        addresses: tuple[str, ...],
        interval_seconds: float,
    ) -> None:
        """Compare with ``config_feed`` every ``interval_seconds``."""
        self._announced = announced
        self._links = links
        self._feed = config_feed
        self._addresses = itertools.cycle(addresses)
        self._interval_seconds = interval_seconds

    async def run(self) -> None:
        """Check at each interval and announce if needed."""
        while True:
            if self._feed.is_ready() and not self._is_registered():
                await self.announce()
            await asyncio.sleep(self._interval_seconds)

    async def announce(self) -> None:
        """Announce once, to the next control host in rotation."""
        address = next(self._addresses, None)
        if address is None:
            return
        request = messages.Request(announce=self._announced.message())
        try:
            await self._links.request(address, request, TIMEOUT_SECONDS)
        except errors.CodedError as exc:
            _log.info('announcer: announcement failed, %s %s', exc.code, exc)

    def _is_registered(self) -> bool:
        kind = self._announced.kind
        document = self._feed.documents.get(kind, self._announced.name)
        if document is None:
            return False
        try:
            known = documents.parse(kind, document.body)
        except findings.DocumentUnreadable:
            return False
        return self._announced.matches(known)
