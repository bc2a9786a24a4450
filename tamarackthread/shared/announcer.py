"""Announce this process to the control hosts until they know it as it is."""

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
    """What is announced: the target of an agent, or an entry."""

    @property
    @abc.abstractmethod
    def kind(self) -> str:
        """Give the kind of the document that control keeps of it."""

    @property
    @abc.abstractmethod
    def name(self) -> str:
        """Give the name of that document."""

    @abc.abstractmethod
    def message(self) -> messages.Announcement:
        """Build the announcement."""

    @abc.abstractmethod
    def matches(self, known: documents.Parsed) -> bool:
        """Tell whether control knows it as it is."""


class AnnouncedTarget(Announced):
    """The target that an agent guards."""

    def __init__(
        self,
        settings: generated.Agent,
        own: identity.Identity,
    ) -> None:
        """Take what is announced from the settings."""
        self._settings = settings
        self._own = own
        self._leaving = False

    @property
    def kind(self) -> str:
        """Give the kind of the document that control keeps of it."""
        return documents.TARGET

    @property
    def name(self) -> str:
        """Give the target's name."""
        return self._settings.target_id

    def leave(self) -> None:
        """Announce from now on that the target is leaving."""
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
        """Tell whether control knows this start of the agent."""
        found = (known.incarnation, known.address, known.service)
        own = self._own
        return found == (own.incarnation, own.address, self._settings.service)


class AnnouncedEntry(Announced):
    """An entry."""

    def __init__(self, own: identity.Identity) -> None:
        """Take what is announced from the identity."""
        self._own = own

    @property
    def kind(self) -> str:
        """Give the kind of the document that control keeps of it."""
        return documents.ENTRY

    @property
    def name(self) -> str:
        """Give the entry's node."""
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
        """Tell whether control knows this start of the entry."""
        found = (known.incarnation, known.address, known.zone)
        return found == (
            self._own.incarnation,
            self._own.address,
            self._own.zone,
        )


class Announcer:
    """Compare the replicated document with the truth and mend it.

    Nothing is sent while they agree, so thousands of processes at rest cost
    the control hosts nothing.
    """

    def __init__(
        self,
        announced: Announced,
        links: link_pool.LinkPool,
        known: feed.ConfigFeed,
        addresses: tuple[str, ...],
        every_seconds: float,
    ) -> None:
        """Announce nothing before ``run``."""
        self._announced = announced
        self._links = links
        self._feed = known
        self._turns = itertools.cycle(addresses)
        self._every_seconds = every_seconds

    async def run(self) -> None:
        """Look in each interval whether the control hosts know us."""
        while True:
            if self._feed.is_current() and not self._is_known():
                await self.announce()
            await asyncio.sleep(self._every_seconds)

    async def announce(self) -> None:
        """Announce once, at the next control host in turn."""
        address = next(self._turns, None)
        if address is None:
            return
        request = messages.Request(announce=self._announced.message())
        try:
            await self._links.request(address, request, TIMEOUT_SECONDS)
        except errors.CodedError as exc:
            _log.info('announcer: not taken, %s %s', exc.code, exc)

    def _is_known(self) -> bool:
        kind = self._announced.kind
        found = self._feed.documents.get(kind, self._announced.name)
        if found is None:
            return False
        try:
            known = documents.parse(kind, found.body)
        except findings.DocumentUnreadable:
            return False
        return self._announced.matches(known)
