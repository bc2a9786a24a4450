"""Know all targets and services of the site, on a control host."""

from __future__ import annotations

import logging

from tamarackthread.control.site import machine
from tamarackthread.control.site.maps import ranks
from tamarackthread.shared import errors
from tamarackthread.shared.site import (
    announcements,
    configuration,
    document,
    following,
)

_log = logging.getLogger('tamarackthread.control')


class Roster(following.Pupil):
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
        self._read: configuration.Configuration | None = None

    @property
    def version(self) -> int:
        """Return the version that this host has applied."""
        return self._site.held.version

    def learn_target(self, said: announcements.Announcement) -> None:
        """Take an announcement unless a later one is held."""
        if not said.follows(self._said.get(said.target)):
            return
        self._said[said.target] = said
        # Of two starts at one address the one that was heard of last is there.
        for target, other in tuple(self._said.items()):
            is_former = other.address == said.address and target != said.target
            if is_former and said.state == announcements.State.READY:
                self._said.pop(target)

    def learn_document(self, held: document.Document) -> None:
        """Leave it: this host's own log brings it."""

    def said(self) -> list[announcements.Announcement]:
        """List what is known of each target."""
        return list(self._said.values())

    def members(self, service: str) -> list[ranks.Rank]:
        """List the targets of a service that are up."""
        return [
            ranks.Rank(said.target, said.address)
            for said in self._said.values()
            if said.service == service
            and said.state != announcements.State.GONE
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
        return self._read.services
