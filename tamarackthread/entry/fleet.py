"""Keep links to the agents of each service and what they report."""

from __future__ import annotations

import asyncio
import collections.abc
import logging
import random

from tamarackthread.entry import directory, pools
from tamarackthread.generated import documents as generated
from tamarackthread.generated.messages import ttypes as messages
from tamarackthread.policy import buckets, subset_ranking, subsets
from tamarackthread.shared import errors, link, peers

RETRY_SECONDS = 0.2
CLOSE_SECONDS = 1.0
RevisionSource = collections.abc.Callable[[], int]
Pool = pools.Pool
TargetConnection = pools.TargetConnection
_log = logging.getLogger('tamarackthread.entry')


class Fleet(link.Handler):
    """Hold one pool for each service."""

    def __init__(
        self,
        node: str,
        zone: str,
        known: directory.Directory,
        rng: random.Random,
    ) -> None:
        """Start without pools; ``update`` follows the directory."""
        self._directory = known
        self._rng = rng
        self._portions = buckets.Portions()
        self._own = subsets.Endpoint(node, zone)
        self._ranks: dict[str, subset_ranking.RankedTargets] = {}
        self._around = pools.PoolContext(zone, known, self._portions, rng)
        self._peers: peers.Peers | None = None
        self._pools: dict[str, pools.Pool] = {}
        self._by_target: dict[str, pools.Pool] = {}
        self._closing: set[asyncio.Task[None]] = set()

    @property
    def portions(self) -> buckets.Portions:
        """Give the portions of organisations' caps."""
        return self._portions

    def set_peers(self, dialler: peers.Peers) -> None:
        """Dial agents with these peers from now on."""
        self._peers = dialler

    async def on_request(
        self,
        link: link.Link,
        request: messages.Request,
    ) -> messages.Reply:
        """Refuse: agents only report to an entry."""
        raise errors.RequestUnsupported

    def on_notice(self, link: link.Link, request: messages.Request) -> None:
        """Take in a load report."""
        if request.report is None:
            return
        pool = self._by_target.get(request.report.target)
        if pool is not None:
            pool.apply_report(request.report)

    def pool(self, service: str) -> pools.Pool:
        """Give the pool of a service, making it at the first use."""
        found = self._pools.get(service)
        if found is None:
            profile = self._directory.profile(service)
            found = pools.Pool(service, profile, self._around)
            self._pools[service] = found
        return found

    def connection(
        self, service: str, target: str
    ) -> pools.TargetConnection | None:
        """Give the contact for a target of a service."""
        return self.pool(service).connections.get(target)

    def update(self) -> None:
        """Follow the directory and the profiles that it holds."""
        for name in tuple(self._by_target):
            if self._has_moved(name):
                self._part(name)
        self._rank()
        for service in self._directory.services:
            pool = self.pool(service)
            pool.set_profile(self._directory.profile(service))
            self._settle(pool)

    def close(self) -> None:
        """Stop keeping links."""
        for name in tuple(self._by_target):
            self._part(name)

    def _has_moved(self, name: str) -> bool:
        details = self._directory.targets.get(name)
        if details is None:
            return True
        pool = self._by_target[name]
        known = pool.connections[name].details
        if details.service != pool.service:
            return True
        return details.address != known.address

    def _rank(self) -> None:
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
                ranked = subset_ranking.RankedTargets(self._own)
                self._ranks[service] = ranked
            ranked.set_entries(entries)
            ranked.set_targets(places)

    def _settle(self, pool: pools.Pool) -> None:
        """Keep links to the subset of a service's targets, and only to it.

        A target that is dialled counts as usable until a dial has failed, so
        that a subset is not widened just because it is new.
        """
        ranked = self._ranks.get(pool.service)
        if ranked is None:
            return
        chosen = ranked.choose(
            pool.profile.routing.subset_size,
            pool.is_usable,
        )
        for name in tuple(pool.connections):
            if name not in chosen:
                self._part(name)
        for name in chosen:
            self._meet(name, self._directory.targets[name])
        pool.refresh()

    def _meet(self, name: str, details: generated.Target) -> None:
        pool = self.pool(details.service)
        connection = pool.connections.get(name)
        if connection is not None:
            connection.details = details
            return
        connection = pool.add(name, details)
        self._by_target[name] = pool
        loop = asyncio.get_running_loop()
        connection.connect_task = loop.create_task(self._keep(pool, connection))

    def _part(self, name: str) -> None:
        pool = self._by_target.pop(name)
        held = pool.connections[name].current_link
        pool.remove(name)
        if held is not None and not held.is_closed:
            closing = asyncio.get_running_loop().create_task(_close(held))
            self._closing.add(closing)
            closing.add_done_callback(self._closing.discard)

    async def _keep(
        self, pool: pools.Pool, connection: pools.TargetConnection
    ) -> None:
        assert self._peers is not None
        while True:
            try:
                connection.current_link = await self._peers.link(
                    connection.details.address
                )
            except errors.CodedError as exc:
                _log.debug('entry: no link to %s, %s', connection.name, exc)
                if not connection.connect_failed:
                    connection.connect_failed = True
                    self._settle(pool)
                await asyncio.sleep(RETRY_SECONDS * self._rng.uniform(0.5, 1))
                continue
            connection.connect_failed = False
            self._settle(pool)
            await connection.current_link.wait_closed()
            pool.refresh()


async def _close(held: link.Link) -> None:
    """Close a link that isn't needed once its calls have ended."""
    while held.open_streams and not held.is_closed:
        await asyncio.sleep(CLOSE_SECONDS)
    held.close('not in the subset any more')
