"""Keep links to the agents of each service and what they report."""

from __future__ import annotations

import asyncio
import collections.abc
import logging
import random

from tamarackthread.entry import directory, pools
from tamarackthread.generated import documents as generated
from tamarackthread.generated.messages import ttypes as messages
from tamarackthread.policy import buckets
from tamarackthread.shared import errors, link, peers

RETRY_SECONDS = 0.2
Revision = collections.abc.Callable[[], int]
Pool = pools.Pool
Contact = pools.Contact
_log = logging.getLogger('tamarackthread.entry')


class Fleet(link.Handler):
    """Hold one pool for each service."""

    def __init__(
        self,
        zone: str,
        known: directory.Directory,
        rng: random.Random,
    ) -> None:
        """Start without pools; ``update`` follows the directory."""
        self._directory = known
        self._rng = rng
        self._portions = buckets.Portions()
        self._around = pools.Surroundings(zone, known, self._portions, rng)
        self._peers: peers.Peers | None = None
        self._pools: dict[str, pools.Pool] = {}
        self._by_target: dict[str, pools.Pool] = {}

    @property
    def portions(self) -> buckets.Portions:
        """Give the portions of organisations' caps."""
        return self._portions

    def use(self, dialler: peers.Peers) -> None:
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
            pool.report(request.report)

    def pool(self, service: str) -> pools.Pool:
        """Give the pool of a service, making it at the first use."""
        found = self._pools.get(service)
        if found is None:
            profile = self._directory.profile(service)
            found = pools.Pool(service, profile, self._around)
            self._pools[service] = found
        return found

    def contact(self, service: str, target: str) -> pools.Contact | None:
        """Give the contact for a target of a service."""
        return self.pool(service).contacts.get(target)

    def update(self) -> None:
        """Follow the directory: new targets are dialled, gone ones left."""
        wanted = self._directory.targets
        for name in tuple(self._by_target):
            if self._has_moved(name):
                self._part(name)
        for name, details in wanted.items():
            if details.service in self._directory.services:
                self._meet(name, details)
        for service, pool in self._pools.items():
            if service in self._directory.services:
                pool.follow(self._directory.profile(service))
            pool.refresh()

    def close(self) -> None:
        """Stop keeping links."""
        for name in tuple(self._by_target):
            self._part(name)

    def _has_moved(self, name: str) -> bool:
        details = self._directory.targets.get(name)
        if details is None:
            return True
        pool = self._by_target[name]
        known = pool.contacts[name].details
        if details.service != pool.service:
            return True
        return details.address != known.address

    def _meet(self, name: str, details: generated.Target) -> None:
        pool = self.pool(details.service)
        contact = pool.contacts.get(name)
        if contact is not None:
            contact.details = details
            return
        contact = pool.add(name, details)
        self._by_target[name] = pool
        loop = asyncio.get_running_loop()
        contact.keeper = loop.create_task(self._keep(pool, contact))

    def _part(self, name: str) -> None:
        self._by_target.pop(name).remove(name)

    async def _keep(self, pool: pools.Pool, contact: pools.Contact) -> None:
        assert self._peers is not None
        while True:
            try:
                contact.held = await self._peers.link(contact.details.address)
            except errors.CodedError as exc:
                _log.debug('entry: no link to %s, %s', contact.name, exc)
                await asyncio.sleep(RETRY_SECONDS * self._rng.uniform(0.5, 1))
                continue
            pool.refresh()
            await contact.held.wait_closed()
            pool.refresh()
