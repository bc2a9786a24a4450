"""Take an operator's requests to evacuate a zone and to take it back."""

from __future__ import annotations

import asyncio
import collections.abc
import logging

from tamarackthread.control import consensus
from tamarackthread.control.site import committing, machine
from tamarackthread.shared import errors, log_events
from tamarackthread.shared.site import zones

_log = logging.getLogger('tamarackthread.control')


class ZoneUnknown(errors.CodedError):
    """Site has no availability zone of this name."""

    code = 'TT7106'
    status = 422


class Evacuation:
    """Put operators' requests in order and keep them."""

    def __init__(
        self,
        group: consensus.Consensus,
        site: machine.SiteMachine,
        known: collections.abc.Collection[str],
    ) -> None:
        """Propose to ``group``, which drives ``site``; ``known`` are zones."""
        self._group = group
        self._site = site
        self._known = frozenset(known)

    async def request(
        self, zone: str, author: str, *, is_evacuated: bool
    ) -> None:
        """Evacuate a zone or take it back; return once it is committed.

        Sent again it changes nothing.  Raises ``ZoneUnknown`` at once and
        ``ChangeUnsettled`` where no quorum has answered.
        """
        if zone not in self._known:
            raise ZoneUnknown(f'zone "{zone}"')
        until = asyncio.get_running_loop().time() + committing.TIMEOUT_SECONDS
        while not await self._is_taken(zone, until, is_evacuated=is_evacuated):
            # Others have changed the zone since this host applied its last
            # command; the request stands all the same, after theirs.
            await self._catch_up(until)
        log_events.tell(
            _log,
            log_events.Event.ZONE,
            'control: zone %s is %s, asked by %s',
            zone,
            'evacuated' if is_evacuated else 'in service',
            author,
            zone=zone,
            is_evacuated=is_evacuated,
            author=author,
        )

    async def list_zones(self) -> list[zones.Zone]:
        """List all zones of the site; raise ``ChangeUnsettled`` if unsure."""
        until = asyncio.get_running_loop().time() + committing.TIMEOUT_SECONDS
        await self._catch_up(until)
        return [self._site.zones.get(name) for name in sorted(self._known)]

    async def _is_taken(
        self,
        zone: str,
        until: float,
        *,
        is_evacuated: bool,
    ) -> bool:
        held = self._site.zones.get(zone)
        command = machine.zone_command(
            zones.Zone(zone, is_evacuated, held.revision)
        )
        done = await committing.commit(self._group, command, until)
        return done == machine.APPLIED

    async def _catch_up(self, until: float) -> None:
        left = until - asyncio.get_running_loop().time()
        try:
            await self._group.read_barrier(max(0, left))
        except errors.CodedError as exc:
            raise committing.ChangeUnsettled(str(exc)) from exc
