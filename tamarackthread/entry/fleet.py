"""Keep links to the agents of this entry's subset of targets."""

from __future__ import annotations

import asyncio
import collections.abc
import logging
import random

from tamarackthread.entry import directory, pools
from tamarackthread.generated import documents as generated
from tamarackthread.generated.messages import ttypes as messages
from tamarackthread.policy import buckets, subset_ranking, subsets
from tamarackthread.shared import errors, link, link_pool

RETRY_SECONDS = 0.2
DRAIN_POLL_SECONDS = 1.0
RevisionSource = collections.abc.Callable[[], int]
Pool = pools.Pool
TargetConnection = pools.TargetConnection
_log = logging.getLogger('tamarackthread.entry')


class Fleet(link.Handler):
    """Connect to targets and hold a pool for each service."""

    def __init__(
        self,
        node: str,
        zone: str,
        config: directory.Directory,
        rng: random.Random,
    ) -> None:
        """Start without pools; ``update`` creates them."""
        self._directory = config
        self._rng = rng
        self._portions = buckets.Portions()
        self._own_place = subsets.Endpoint(node, zone)
        self._ranks: dict[str, subset_ranking.RankedTargets] = {}
        self._context = pools.PoolContext(zone, config, self._portions, rng)
        self._peers: link_pool.LinkPool | None = None
        self._pools: dict[str, pools.Pool] = {}
        self._pools_by_target: dict[str, pools.Pool] = {}
        self._drain_tasks: set[asyncio.Task[None]] = set()

    @property
    def portions(self) -> buckets.Portions:
        """Return the leased portions of organisations' rate limits."""
        return self._portions

    def set_peers(self, links: link_pool.LinkPool) -> None:
        """Set the pool of links that dials agents."""
        self._peers = links

    async def on_request(
        self,
        link: link.Link,
        request: messages.Request,
    ) -> messages.Reply:
        """Refuse all requests; agents only send reports."""
        raise errors.RequestUnsupported

    def on_notification(
        self, link: link.Link, request: messages.Request
    ) -> None:
        """Apply a load report."""
        if request.report is None:
            return
        pool = self._pools_by_target.get(request.report.target)
        if pool is not None:
            pool.apply_report(request.report)

    def pool(self, service: str) -> pools.Pool:
        """Return the pool of a service, created at the first use."""
        pool = self._pools.get(service)
        if pool is None:
            profile = self._directory.profile(service)
            pool = pools.Pool(service, profile, self._context)
            self._pools[service] = pool
        return pool

    def connection(
        self, service: str, target: str
    ) -> pools.TargetConnection | None:
        """Return the connection to a target of a service."""
        return self.pool(service).connections.get(target)

    def update(self) -> None:
        """Apply the directory's targets, entries and profiles."""
        for name in tuple(self._pools_by_target):
            if self._has_moved(name):
                self._disconnect(name)
        self._update_ranks()
        for service in self._directory.services:
            pool = self.pool(service)
            pool.set_profile(self._directory.profile(service))
            self._update_subset(pool)

    def close(self) -> None:
        """Disconnect from all targets."""
        for name in tuple(self._pools_by_target):
            self._disconnect(name)

    def _has_moved(self, name: str) -> bool:
        details = self._directory.targets.get(name)
        if details is None:
            return True
        pool = self._pools_by_target[name]
        current = pool.connections[name].details
        if details.service != pool.service:
            return True
        return details.address != current.address

    def _update_ranks(self) -> None:
        entries = {
            name: subsets.Endpoint(name, details.zone)
            for name, details in self._directory.entries.items()
        }
        targets: dict[str, dict[str, subsets.Endpoint]] = {
            service: {} for service in self._directory.services
        }
        for name, details in self._directory.targets.items():
            places = targets.get(details.service)
            if places is not None:
                places[name] = subsets.Endpoint(name, details.zone)
        for service, places in targets.items():
            ranked = self._ranks.get(service)
            if ranked is None:
                ranked = subset_ranking.RankedTargets(self._own_place)
                self._ranks[service] = ranked
            ranked.set_entries(entries)
            ranked.set_targets(places)

    def _update_subset(self, pool: pools.Pool) -> None:
        """Connect to the targets of the subset and disconnect from others."""
        ranked = self._ranks.get(pool.service)
        if ranked is None:
            return
        chosen = ranked.choose(
            pool.profile.routing.subset_size,
            pool.is_usable,
        )
        for name in tuple(pool.connections):
            if name not in chosen:
                self._disconnect(name)
        for name in chosen:
            self._connect(name, self._directory.targets[name])
        pool.refresh()

    def _connect(self, name: str, details: generated.Target) -> None:
        pool = self.pool(details.service)
        connection = pool.connections.get(name)
        if connection is not None:
            connection.details = details
            return
        connection = pool.add(name, details)
        self._pools_by_target[name] = pool
        loop = asyncio.get_running_loop()
        connection.connect_task = loop.create_task(
            self._keep_connected(pool, connection)
        )

    def _disconnect(self, name: str) -> None:
        pool = self._pools_by_target.pop(name)
        current = pool.connections[name].current_link
        pool.remove(name)
        if current is not None and not current.is_closed:
            draining = asyncio.get_running_loop().create_task(_drain(current))
            self._drain_tasks.add(draining)
            draining.add_done_callback(self._drain_tasks.discard)

    async def _keep_connected(
        self, pool: pools.Pool, connection: pools.TargetConnection
    ) -> None:
        assert self._peers is not None
        while True:
            try:
                connection.current_link = await self._peers.link(
                    connection.details.address
                )
            except errors.CodedError as exc:
                _log.debug(
                    'entry: dialling %s failed, %s', connection.name, exc
                )
                if not connection.connect_failed:
                    connection.connect_failed = True
                    self._update_subset(pool)
                await asyncio.sleep(RETRY_SECONDS * self._rng.uniform(0.5, 1))
                continue
            connection.connect_failed = False
            self._update_subset(pool)
            await connection.current_link.wait_closed()
            pool.refresh()


async def _drain(unused: link.Link) -> None:
    """Close a link once its open calls have ended."""
    while unused.open_streams and not unused.is_closed:
        await asyncio.sleep(DRAIN_POLL_SECONDS)
    unused.close('not in the subset any more')
