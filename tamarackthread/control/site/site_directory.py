"""Know all targets and services of the site, on a control host."""

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
    following,
    zones,
)

_ALL_CHANGES = 1 << 62
_log = logging.getLogger('tamarackthread.control')


class SiteDirectory(following.Pupil):
    """Join what this host heard with what the others tell.

    Targets announce themselves to one host at a time, and only all hosts
    together know each rank of a group.
    """

    def __init__(
        self,
        site: machine.SiteMachine,
        reader: configuration.Reader,
    ) -> None:
        """Take the configuration from the log, which others cannot better."""
        self._site = site
        self._reader = reader
        self._said: dict[str, announcements.Announcement] = {}
        self._by_address: dict[str, dict[str, None]] = collections.defaultdict(
            dict
        )
        self._read: configuration.Configuration | None = None
        self._services: tuple[configuration.Service, ...] = ()

    @property
    def version(self) -> int:
        """Return the version that this host has applied."""
        return self._site.held.version

    @property
    def needs_documents(self) -> bool:
        """Tell that the own log brings configurations."""
        return False

    @property
    def zone_changes(self) -> int:
        """Return the most that any host can have: the own log brings them."""
        return _ALL_CHANGES

    def learn_zones(self, rows: list[zones.Zone]) -> None:
        """Leave it: this host's own log brings it."""

    def learn_target(self, said: announcements.Announcement) -> None:
        """Take an announcement unless a later one is held."""
        held = self._said.get(said.target)
        if not said.follows(held):
            return
        taken = said.after(held)
        if taken.state == announcements.State.READY:
            others = self._others_at(taken)
            if any(_is_overtaken(taken, other) for other in others):
                return
            # The last that was heard of at an address is there.
            for other in others:
                self._forget(other)
        if held is not None:
            self._forget(held)
        self._said[taken.target] = taken
        self._by_address[taken.address][taken.target] = None

    def _others_at(
        self, said: announcements.Announcement
    ) -> list[announcements.Announcement]:
        """List the other targets that were heard of at an address.

        Kept by address: each of thousands of targets is told of each few
        seconds, and a look at all of them for each would fill a core.
        """
        return [
            self._said[name]
            for name in self._by_address.get(said.address, ())
            if name != said.target
        ]

    def _forget(self, said: announcements.Announcement) -> None:
        self._said.pop(said.target, None)
        at_address = self._by_address[said.address]
        at_address.pop(said.target, None)
        if not at_address:
            self._by_address.pop(said.address)

    def learn_document(self, held: document.Document) -> None:
        """Leave it: this host's own log brings it."""

    def known_targets(self) -> list[announcements.Announcement]:
        """List what is known of each target."""
        return list(self._said.values())

    def members(self, service: str) -> list[ranks.Rank]:
        """List the targets of a service that are up, one at an address.

        The failure: all hosts lose power, and targets come back under new
        names while their old ones are still remembered.  Whoever is at the
        address reports as a rank, so the group would seem to have the old
        names, and refuse every order that is meant for them.
        """
        by_address: dict[str, announcements.Announcement] = {}
        for said in self._said.values():
            if said.service != service:
                continue
            if said.state == announcements.State.GONE:
                continue
            held = by_address.get(said.address)
            if held is None or _is_likelier(said, held):
                by_address[said.address] = said
        return [
            ranks.Rank(
                there.target,
                there.address,
                not self._site.zones.is_evacuated(there.zone),
            )
            for there in by_address.values()
        ]

    def services(self) -> tuple[configuration.Service, ...]:
        """List the services of the configuration in force."""
        held = self._site.held
        if not held.version:
            return ()
        if self._read is None or self._read.version != held.version:
            try:
                self._read = self._reader.read(held.body)
            except errors.CodedError as exc:
                _log.error('control: cannot read the configuration, %s', exc)
                return ()
            self._services = tuple(
                attrs.evolve(service, gap=self._read.gap_of(service.name))
                for service in self._read.services
            )
        return self._services


def _is_overtaken(
    said: announcements.Announcement,
    other: announcements.Announcement,
) -> bool:
    """Tell whether another target started later at the same address.

    An announcement that was held up by a cut may come after its target has
    crashed and another one serves where it was.
    """
    is_later = 0 < said.born < other.born
    return is_later and other.state == announcements.State.READY


def _is_likelier(
    said: announcements.Announcement,
    held: announcements.Announcement,
) -> bool:
    """Tell which of two targets is at their address."""
    is_ready = said.state == announcements.State.READY
    if is_ready != (held.state == announcements.State.READY):
        return is_ready
    return said.born >= held.born
