"""Own the groups' maps for as long as this host leads the site."""

from __future__ import annotations

import asyncio
import collections.abc
import logging

from tamarackthread.control import consensus
from tamarackthread.control.site import site_directory, target_registry
from tamarackthread.control.site.maps import owner
from tamarackthread.shared import errors

# A new leader looks at once: the former one may have left a group held.
LEAD_LOOK_SECONDS = 0.1
# Where nobody leads, the last leader goes on for so long at most.  Halves of the
# control hosts lose each other for some seconds; one that has been alone for
# longer knows too little of who the targets are.
ALONE_SECONDS = 10.0
# Names the look among what is under way; no group has an empty name.
_LOOK = ''
_log = logging.getLogger('tamarackthread.control')


class OwnerLoop:
    """Look after the groups while this host leads.

    The term of the log is the fence of this owner's orders: it is higher with
    each leader and survives every restart, so ranks refuse what a former
    leader still has on its way.

    Where they do, the lease guards nothing that the fence does not, and with
    ``goes_on`` the last leader owns the maps until another leads.  Else a split
    of the control hosts leaves every group with the map of a demand that is
    over within seconds, and all its callers wait.

    Each group has a task of its own, beside the one that looks at all.  The
    failure: a rank of one group is silent, and while its owner waits for the
    answer all other groups keep the map of a demand that is over.
    """

    def __init__(
        self,
        group: consensus.Consensus,
        targets: target_registry.TargetRegistry,
        known: site_directory.SiteDirectory,
        maps: owner.Owner,
        *,
        outlives_lease: bool,
    ) -> None:
        """Look at the services of ``known`` with ``maps``."""
        self._group = group
        self._targets = targets
        self._known = known
        self._maps = maps
        self._outlives_lease = outlives_lease
        self._term = 0
        self._led_at = -ALONE_SECONDS
        self._looked_at = -ALONE_SECONDS
        self._under_way: dict[str, asyncio.Task[None]] = {}

    async def run(self) -> None:
        """Begin what is due for ever, as owner."""
        try:
            while True:
                if not self._owns():
                    await asyncio.sleep(LEAD_LOOK_SECONDS)
                    continue
                self._begin_due()
                await asyncio.sleep(
                    min(self._maps.read_interval, self._maps.discovery_interval)
                )
        finally:
            self._cancel()

    def _owns(self) -> bool:
        now = asyncio.get_running_loop().time()
        if self._group.has_lease():
            if self._term != self._group.term:
                self._term = self._group.term
                self._cancel()
                self._maps.reset()
                self._looked_at = -ALONE_SECONDS
            self._led_at = now
            return True
        # A later term was voted for: its leader has the higher fence.
        is_last = self._outlives_lease and self._group.term == self._term
        is_recent = now - self._led_at < ALONE_SECONDS
        return is_last and is_recent and not self._maps.is_outdated

    def _begin_due(self) -> None:
        """Begin a look if it is due, and work at each group that has none."""
        for name, task in tuple(self._under_way.items()):
            if task.done():
                self._under_way.pop(name)
                _tell_failure(name, task)
        now = asyncio.get_running_loop().time()
        is_due = now - self._looked_at >= self._maps.discovery_interval
        if is_due and _LOOK not in self._under_way:
            self._looked_at = now
            self._begin(_LOOK, self._look())
        for name in self._maps.idle:
            if name not in self._under_way:
                self._begin(name, self._work(name, self._term))

    def _begin(
        self,
        name: str,
        work: collections.abc.Coroutine[None, None, None],
    ) -> None:
        self._under_way[name] = asyncio.get_running_loop().create_task(work)

    async def _work(self, name: str, term: int) -> None:
        """Work at a group, and leave it alone until its next reading.

        Read right after a switch, counts hold choices from before it, for which
        another switch would follow.
        """
        await self._maps.reconcile(name, term)
        await asyncio.sleep(self._maps.read_interval)

    def _cancel(self) -> None:
        for task in self._under_way.values():
            task.cancel()
        self._under_way = {}

    async def _look(self) -> None:
        for said in self._targets.changed_since(0):
            self._known.learn_target(said)
        await self._maps.discover(self._known.services())
        if self._maps.groups:
            self._targets.record_groups(self._term, self._maps.groups)


def _tell_failure(name: str, task: asyncio.Task[None]) -> None:
    """Log what has ended a task; raise a fault of the program."""
    if task.cancelled():
        return
    failure = task.exception()
    if failure is None:
        return
    if not isinstance(failure, errors.CodedError):
        raise failure
    _log.error(
        'control: %s failed, %s',
        f'work at group {name}' if name else 'look at maps',
        failure,
    )
