"""Evacuate and restore zones at an operator's request."""

from __future__ import annotations

import asyncio
import collections.abc
import logging

from tamarackthread.control import consensus
from tamarackthread.control.site import callers, committing, machine
from tamarackthread.shared import errors, log_events
from tamarackthread.shared.site import zones

MILLISECONDS = 1000
# Time for the end of a connection to arrive after the last order on it.
CLOSE_SECONDS = 0.05
_log = logging.getLogger('tamarackthread.control')


class ZoneUnknown(errors.CodedError):
    """Site has no availability zone of this name."""

    code = 'TT7106'
    status = 422


class CallerGone(errors.CodedError):
    """Caller closed its connection before its order was proposed."""

    code = 'TT7107'
    status = 503


class Evacuation:
    """Commit operators' requests to evacuate and restore zones."""

    def __init__(
        self,
        group: consensus.Consensus,
        site: machine.SiteMachine,
        zone_names: collections.abc.Collection[str],
    ) -> None:
        """Propose to the consensus group, whose state machine is ``site``."""
        self._group = group
        self._site = site
        self._zone_names = frozenset(zone_names)

    async def request(
        self, zone: str, caller: callers.Caller, *, is_evacuated: bool
    ) -> None:
        """Evacuate or restore a zone; return once that is committed.

        The request is idempotent.  Raises ``ZoneUnknown`` at once,
        ``CallerGone`` if nobody waits for the answer, and ``ChangeUnsettled``
        without a quorum.
        """
        if zone not in self._zone_names:
            raise ZoneUnknown(f'zone "{zone}"')
        asked_at = asyncio.get_running_loop().time()
        until = asked_at + committing.TIMEOUT_SECONDS
        await self._require_waiting(caller)
        while not await self._propose(zone, until, is_evacuated=is_evacuated):
            # The zone's revision has changed since this host last applied a
            # command; propose again with the new one.
            await self._read_barrier(until)
            await self._require_waiting(caller)
        took = asyncio.get_running_loop().time() - asked_at
        log_events.emit(
            _log,
            log_events.Event.ZONE,
            'control: zone %s is %s, asked by %s',
            zone,
            'evacuated' if is_evacuated else 'in service',
            caller.name,
            zone=zone,
            is_evacuated=is_evacuated,
            author=caller.name,
            revision=self._site.zones.get(zone).revision,
            took_ms=round(took * MILLISECONDS),
            is_waiting=caller.is_waiting,
        )

    async def list_zones(self) -> list[zones.Zone]:
        """List all zones of the site, as of now; raise ``ChangeUnsettled`` if a
        quorum does not confirm the read in time.
        """
        until = asyncio.get_running_loop().time() + committing.TIMEOUT_SECONDS
        await self._read_barrier(until)
        return [self._site.zones.get(name) for name in sorted(self._zone_names)]

    async def _propose(
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
        result = await committing.commit(self._group, command, until)
        return result == machine.APPLIED

    async def _require_waiting(self, caller: callers.Caller) -> None:
        # A frozen host reads an order long after its caller has given up, been
        # acknowledged elsewhere and asked for the opposite.
        await asyncio.sleep(CLOSE_SECONDS)
        if not caller.is_waiting:
            raise CallerGone(caller.name)

    async def _read_barrier(self, until: float) -> None:
        remaining = until - asyncio.get_running_loop().time()
        try:
            await self._group.read_barrier(max(0, remaining))
        except errors.CodedError as exc:
            raise committing.ChangeUnsettled(str(exc)) from exc
