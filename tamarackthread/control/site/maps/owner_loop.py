"""Run the owner of the expert maps while this host leads the site."""

from __future__ import annotations

import asyncio
import collections.abc
import logging

from tamarackthread.control import consensus
from tamarackthread.control.site import site_directory, target_registry
from tamarackthread.control.site.maps import owner
from tamarackthread.shared import errors

# Interval at which a follower checks for the lease; short, as the former leader
# may have left a group held.
LEASE_CHECK_SECONDS = 0.1
# Maximum time without a leader for which the last one keeps the maps; after that
# its list of targets is too old.
MAX_LEADERLESS_SECONDS = 10.0
# Key of the discovery task; no group has an empty name.
_DISCOVERY = ''
_log = logging.getLogger('tamarackthread.control')


class OwnerLoop:
    """Discover groups and reconcile each one in a task of its own.

    The log's term is the fence of all orders: it rises with each leader and
    survives restarts, so ranks refuse the late orders of former leaders.

    With ``outlives_lease`` the last leader keeps the maps until a new one is
    elected.  Fencing makes that safe, and a control host that is partitioned
    does not leave groups with outdated maps.
    """

    def __init__(
        self,
        group: consensus.Consensus,
        targets: target_registry.TargetRegistry,
        directory: site_directory.SiteDirectory,
        maps: owner.Owner,
        *,
        outlives_lease: bool,
    ) -> None:
        """Run ``maps`` for the services of ``directory``."""
        self._group = group
        self._targets = targets
        self._directory = directory
        self._owner = maps
        self._outlives_lease = outlives_lease
        self._term = 0
        self._leased_at = -MAX_LEADERLESS_SECONDS
        self._discovered_at = -MAX_LEADERLESS_SECONDS
        self._tasks: dict[str, asyncio.Task[None]] = {}

    async def run(self) -> None:
        """Run until cancelled, starting due tasks while this host is owner."""
        try:
            while True:
                if not self._owns():
                    await asyncio.sleep(LEASE_CHECK_SECONDS)
                    continue
                self._start_due()
                await asyncio.sleep(
                    min(
                        self._owner.read_interval,
                        self._owner.discovery_interval,
                    )
                )
        finally:
            self._cancel()

    def _owns(self) -> bool:
        now = asyncio.get_running_loop().time()
        if self._group.has_lease():
            if self._term != self._group.term:
                self._term = self._group.term
                self._cancel()
                self._owner.reset()
                self._discovered_at = -MAX_LEADERLESS_SECONDS
            self._leased_at = now
            return True
        # In a later term another leader may own the maps, with a higher fence.
        is_last = self._outlives_lease and self._group.term == self._term
        is_recent = now - self._leased_at < MAX_LEADERLESS_SECONDS
        return is_last and is_recent and not self._owner.is_outdated

    def _start_due(self) -> None:
        """Start discovery if due, and a task for each idle group."""
        for name, task in tuple(self._tasks.items()):
            if task.done():
                self._tasks.pop(name)
                _log_failure(name, task)
        now = asyncio.get_running_loop().time()
        is_due = now - self._discovered_at >= self._owner.discovery_interval
        if is_due and _DISCOVERY not in self._tasks:
            self._discovered_at = now
            self._start(_DISCOVERY, self._discover())
        for name in self._owner.idle:
            if name not in self._tasks:
                self._start(name, self._reconcile(name, self._term))

    def _start(
        self,
        name: str,
        work: collections.abc.Coroutine[None, None, None],
    ) -> None:
        self._tasks[name] = asyncio.get_running_loop().create_task(work)

    async def _reconcile(self, name: str, term: int) -> None:
        """Reconcile a group, then wait until its next reading.

        Counts read right after a switch would include choices from before it
        and cause another switch.
        """
        await self._owner.reconcile(name, term)
        await asyncio.sleep(self._owner.read_interval)

    def _cancel(self) -> None:
        for task in self._tasks.values():
            task.cancel()
        self._tasks = {}

    async def _discover(self) -> None:
        for announcement in self._targets.changed_since(0):
            self._directory.learn_target(announcement)
        await self._owner.discover(self._directory.services())
        if self._owner.groups:
            self._targets.record_groups(self._term, self._owner.groups)


def _log_failure(name: str, task: asyncio.Task[None]) -> None:
    """Log the failure of a task; raise any other than a ``CodedError``."""
    if task.cancelled():
        return
    failure = task.exception()
    if failure is None:
        return
    if not isinstance(failure, errors.CodedError):
        raise failure
    _log.error(
        'control: %s failed, %s',
        f'reconciling group {name}' if name else 'group discovery',
        failure,
    )
