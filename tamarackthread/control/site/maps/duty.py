"""Own the groups' maps for as long as this host leads the site."""

from __future__ import annotations

import asyncio
import logging

from tamarackthread.control import consensus
from tamarackthread.control.site import book, roster
from tamarackthread.control.site.maps import owner
from tamarackthread.shared import errors

# A new leader looks at once: the former one may have left a group held.
LEAD_LOOK_SECONDS = 0.1
# Where nobody leads, the last leader goes on for so long at most.  Halves of the
# control hosts lose each other for some seconds; one that has been alone for
# longer knows too little of who the targets are.
ALONE_SECONDS = 10.0
_log = logging.getLogger('tamarackthread.control')


class Duty:
    """Look after the groups while this host leads.

    The term of the log is the fence of this owner's orders: it is higher with
    each leader and survives every restart, so ranks refuse what a former
    leader still has on its way.

    Where they do, the lease guards nothing that the fence does not, and with
    ``goes_on`` the last leader owns the maps until another leads.  Else a split
    of the control hosts leaves every group with the map of a demand that is
    over within seconds, and all its callers wait.
    """

    def __init__(
        self,
        group: consensus.Consensus,
        targets: book.Book,
        known: roster.Roster,
        maps: owner.Owner,
        *,
        goes_on: bool,
    ) -> None:
        """Look at the services of ``known`` with ``maps``."""
        self._group = group
        self._targets = targets
        self._known = known
        self._maps = maps
        self._goes_on = goes_on
        self._term = 0
        self._led_at = -ALONE_SECONDS

    async def run(self) -> None:
        """Look for ever, as owner."""
        while True:
            if not self._owns():
                await asyncio.sleep(LEAD_LOOK_SECONDS)
                continue
            await self._look()
            await self._read()

    def _owns(self) -> bool:
        now = asyncio.get_running_loop().time()
        if self._group.has_lease():
            if self._term != self._group.term:
                self._term = self._group.term
                self._maps.begin()
            self._led_at = now
            return True
        # A later term was voted for: its leader has the higher fence.
        is_last = self._goes_on and self._group.term == self._term
        is_recent = now - self._led_at < ALONE_SECONDS
        return is_last and is_recent and not self._maps.is_outdated

    async def _look(self) -> None:
        for said in self._targets.after(0):
            self._known.learn_target(said)
        try:
            await self._maps.look(self._known.services(), self._term)
        except errors.CodedError as exc:
            _log.error('control: look at maps failed, %s', exc)

    async def _read(self) -> None:
        """Read counts until the next look is due."""
        loop = asyncio.get_running_loop()
        until = loop.time() + self._maps.look_seconds
        while loop.time() < until and self._owns():
            await asyncio.sleep(self._maps.read_seconds)
            try:
                await self._maps.read(self._term)
            except errors.CodedError as exc:
                _log.error('control: reading of counts failed, %s', exc)
