"""Keep all targets and services of the site, as one control host knows them."""

from __future__ import annotations

import collections
import logging

import attrs

from tamarackthread.control.site import machine
from tamarackthread.control.site.maps import ranks
from tamarackthread.shared import errors
from tamarackthread.shared.site import (
    announcements,
    configuration,
    document,
    feed_client,
    zones,
)

_ALL_CHANGES = 1 << 62
_log = logging.getLogger('tamarackthread.control')


class SiteDirectory(feed_client.Subscriber):
    """Merge the announcements to this host with those of the other hosts.

    A target announces itself to one host at a time, so only together do the
    hosts know all ranks of a group.
    """

    def __init__(
        self,
        site: machine.SiteMachine,
        reader: configuration.Reader,
    ) -> None:
        """Read configurations from this host's own replica, ``site``."""
        self._site = site
        self._reader = reader
        self._announcements: dict[str, announcements.Announcement] = {}
        self._by_address: dict[str, dict[str, None]] = collections.defaultdict(
            dict
        )
        self._configuration: configuration.Configuration | None = None
        self._services: tuple[configuration.Service, ...] = ()

    @property
    def version(self) -> int:
        """Return the version applied on this host."""
        return self._site.held.version

    @property
    def needs_documents(self) -> bool:
        """Return ``False``: the replicated log carries the configurations."""
        return False

    @property
    def zone_changes(self) -> int:
        """Return a number above any, so that no zones are sent."""
        return _ALL_CHANGES

    def learn_zones(self, rows: list[zones.Zone]) -> None:
        """Ignore zones, which the replicated log carries."""

    def learn_target(self, announcement: announcements.Announcement) -> None:
        """Record an announcement unless a later one is known."""
        current = self._announcements.get(announcement.target)
        if not announcement.supersedes(current):
            return
        merged = announcement.inherit_start(current)
        if merged.state == announcements.State.READY:
            others = self._others_at(merged)
            if any(_is_superseded(merged, other) for other in others):
                return
            # A newer target has replaced the others at its address.
            for other in others:
                self._remove(other)
        if current is not None:
            self._remove(current)
        self._announcements[merged.target] = merged
        self._by_address[merged.address][merged.target] = None

    def _others_at(
        self, announcement: announcements.Announcement
    ) -> list[announcements.Announcement]:
        """List the other targets at the same address, without a full scan."""
        return [
            self._announcements[name]
            for name in self._by_address.get(announcement.address, ())
            if name != announcement.target
        ]

    def _remove(self, announcement: announcements.Announcement) -> None:
        self._announcements.pop(announcement.target, None)
        at_address = self._by_address[announcement.address]
        at_address.pop(announcement.target, None)
        if not at_address:
            self._by_address.pop(announcement.address)

    def learn_document(self, current: document.Document) -> None:
        """Ignore documents, which the replicated log carries."""

    def known_targets(self) -> list[announcements.Announcement]:
        """List the latest announcement of each target."""
        return list(self._announcements.values())

    def members(self, service: str) -> list[ranks.Rank]:
        """List the active targets of a service, one per address.

        After a power failure targets may return under new names.  Ranks would
        refuse orders addressed to the old ones.
        """
        by_address: dict[str, announcements.Announcement] = {}
        for announcement in self._announcements.values():
            if announcement.service != service:
                continue
            if announcement.state == announcements.State.GONE:
                continue
            current = by_address.get(announcement.address)
            if current is None or _is_preferred(announcement, current):
                by_address[announcement.address] = announcement
        return [
            ranks.Rank(
                member.target,
                member.address,
                not self._site.zones.is_evacuated(member.zone),
            )
            for member in by_address.values()
        ]

    def services(self) -> tuple[configuration.Service, ...]:
        """List the services of the current configuration."""
        current = self._site.held
        if not current.version:
            return ()
        if (
            self._configuration is None
            or self._configuration.version != current.version
        ):
            try:
                self._configuration = self._reader.read(current.body)
            except errors.CodedError as exc:
                _log.error('control: cannot read the configuration, %s', exc)
                return ()
            self._services = tuple(
                attrs.evolve(
                    service, gap=self._configuration.min_gap(service.name)
                )
                for service in self._configuration.services
            )
        return self._services


def _is_superseded(
    announcement: announcements.Announcement,
    other: announcements.Announcement,
) -> bool:
    """Return whether ``other``, started later, has replaced the target."""
    # An announcement that was held up by a partition may arrive after its
    # target has crashed and another one serves at the address.
    is_later = 0 < announcement.born < other.born
    return is_later and other.state == announcements.State.READY


def _is_preferred(
    announcement: announcements.Announcement,
    current: announcements.Announcement,
) -> bool:
    """Return whether ``announcement`` is likelier than ``current`` at their address."""
    is_ready = announcement.state == announcements.State.READY
    if is_ready != (current.state == announcements.State.READY):
        return is_ready
    return announcement.born >= current.born
