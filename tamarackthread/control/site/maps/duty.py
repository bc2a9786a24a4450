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
_log = logging.getLogger('tamarackthread.control')


class Duty:
    """Look after the groups while this host leads, and only then.

    The term of the log is the fence of this owner's orders: it is higher with
    each leader and survives every restart, so ranks refuse what a former
    leader still has on its way.
    """

    def __init__(
        self,
        group: consensus.Consensus,
        targets: book.Book,
        known: roster.Roster,
        maps: owner.Owner,
    ) -> None:
        """Look at the services of ``known`` with ``maps``."""
        self._group = group
        self._targets = targets
        self._known = known
        self._maps = maps
        self._term = 0

    async def run(self) -> None:
        """Look for ever, as leader."""
        while True:
            while not self._group.has_lease():
                self._term = 0
                await asyncio.sleep(LEAD_LOOK_SECONDS)
            if self._term != self._group.term:
                self._term = self._group.term
                self._maps.begin()
            await self._look()
            await asyncio.sleep(owner.LOOK_SECONDS)

    async def _look(self) -> None:
        for said in self._targets.after(0):
            self._known.learn_target(said)
        try:
            await self._maps.look(self._known.services(), self._term)
        except errors.CodedError as exc:
            _log.error('control: look at maps failed, %s', exc)
