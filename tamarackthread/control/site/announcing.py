"""Take the announcements of targets and acknowledge them."""

from __future__ import annotations

import asyncio
import datetime
import logging

from tamarackthread.control import consensus
from tamarackthread.control.site import (
    committing,
    departures,
    machine,
    target_registry,
)
from tamarackthread.shared import fields, log_events
from tamarackthread.shared.site import announcements

MILLISECONDS = 1000
_log = logging.getLogger('tamarackthread.control')


class Announcing:
    """Record announcements at this host, and departures at a quorum.

    Most announcements are soft state: the next one repeats them.  A departure
    is not repeated once it is acknowledged, so that it must outlive the host
    that acknowledged it.
    """

    def __init__(
        self,
        group: consensus.Consensus,
        site: machine.SiteMachine,
        targets: target_registry.TargetRegistry,
    ) -> None:
        """Propose departures to ``group``, whose state machine is ``site``."""
        self._group = group
        self._site = site
        self._targets = targets
        site.on_departure(self._record_departure)

    @property
    def registry(self) -> target_registry.TargetRegistry:
        """Return the registry that holds the announcements."""
        return self._targets

    async def announce(self, announcement: announcements.Announcement) -> None:
        """Record an announcement; return once it may be acknowledged.

        Raises the errors of ``TargetRegistry.record``, and
        ``ChangeUnsettled`` if a target drains and no quorum has that in time.
        """
        self._targets.record(announcement)
        if announcement.is_leaving:
            await self._commit(announcement)

    async def deregister(self, target: str, born: int = 0) -> None:
        """Record that a start of a target takes no more calls.

        Raises like ``announce``.
        """
        await self._commit(self._targets.mark_gone(target, born))

    def _record_departure(self, departed: announcements.Announcement) -> None:
        """Tell entries of a target that has left by any host."""
        # An exception would halt the log on every member.
        try:
            self._targets.record_departure(departed)
        except (fields.FieldInvalid, target_registry.StartMissing) as exc:
            _log.warning('control: a departure was ignored, %s', exc)

    async def _commit(self, announcement: announcements.Announcement) -> None:
        if self._site.departures.covers(announcement):
            return
        now = datetime.datetime.now(tz=datetime.UTC)
        departure = departures.Departure(
            announcement, int(now.timestamp() * MILLISECONDS)
        )
        until = asyncio.get_running_loop().time() + committing.TIMEOUT_SECONDS
        await committing.commit(
            self._group, machine.departure_command(departure), until
        )
        log_events.emit(
            _log,
            log_events.Event.TARGET,
            'control: target %s of %s is %s, kept by a quorum',
            announcement.target,
            announcement.service,
            announcement.state.name.lower(),
            target=announcement.target,
            service=announcement.service,
            state=announcement.state.name.lower(),
        )
