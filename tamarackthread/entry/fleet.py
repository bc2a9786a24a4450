"""Keep links to the agents of each service and what they report."""

from __future__ import annotations

import asyncio
import collections.abc
import logging
import random

import attrs

from tamarackthread.entry import directory
from tamarackthread.generated import documents as generated
from tamarackthread.generated.messages import ttypes as messages
from tamarackthread.policy import (
    admission,
    affinity,
    fairness,
    load,
    room,
    routing,
)
from tamarackthread.shared import errors, link, peers

RETRY_SECONDS = 0.2
Revision = collections.abc.Callable[[], int]
_log = logging.getLogger('tamarackthread.entry')


@attrs.define(eq=False)
class Contact:
    """Be one target that this entry keeps a link to."""

    name: str
    details: generated.Target
    view: routing.TargetView
    held: link.Link | None = None
    keeper: asyncio.Task[None] | None = None

    @property
    def is_linked(self) -> bool:
        """Tell whether there is an open link to the target's agent."""
        return self.held is not None and not self.held.is_closed


@attrs.define(eq=False)
class Pool:
    """Be the targets of one service and the queue in front of them."""

    service: str
    place: room.TargetRoom
    admission: admission.Admission
    contacts: dict[str, Contact] = attrs.field(factory=dict)

    def refresh(self) -> None:
        """Offer the linked targets to new calls and serve the queue."""
        self.place.set_targets(
            [
                contact.view
                for contact in self.contacts.values()
                if contact.is_linked and not contact.details.leaving
            ],
        )
        self.admission.wake()


class Fleet(link.Handler):
    """Hold one pool for each service."""

    def __init__(
        self,
        zone: str,
        known: directory.Directory,
        rng: random.Random,
    ) -> None:
        """Start without pools; ``update`` follows the directory."""
        self._zone = zone
        self._directory = known
        self._rng = rng
        self._peers: peers.Peers | None = None
        self._pools: dict[str, Pool] = {}
        self._by_target: dict[str, Pool] = {}

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
        report = request.report
        if report is None:
            return
        pool = self._by_target.get(report.target)
        if pool is None:
            return
        view = pool.contacts[report.target].view
        now = asyncio.get_running_loop().time()
        if view.load.report(report, now):
            view.prefixes.observe(
                report.prefixes or (),
                report.prefix_sequence or 0,
            )
            pool.admission.wake()

    def pool(self, service: str) -> Pool:
        """Give the pool of a service, making it at the first use."""
        found = self._pools.get(service)
        if found is None:
            found = self._make_pool(service)
            self._pools[service] = found
        return found

    def contact(self, service: str, target: str) -> Contact | None:
        """Give the contact for a target of a service."""
        return self.pool(service).contacts.get(target)

    def update(self) -> None:
        """Follow the directory: new targets are dialled, gone ones left."""
        wanted = self._directory.targets
        for name, details in wanted.items():
            if details.service in self._directory.services:
                self._meet(name, details)
        for name in tuple(self._by_target):
            if name not in wanted:
                self._part(name)
        for pool in self._pools.values():
            pool.refresh()

    def close(self) -> None:
        """Stop keeping links."""
        for name in tuple(self._by_target):
            self._part(name)

    def _make_pool(self, service: str) -> Pool:
        policy = self._policy(service)
        place = room.TargetRoom(policy)
        queue = admission.Admission(place, fairness.EqualShares(), self._rng)
        return Pool(service=service, place=place, admission=queue)

    def _policy(self, service: str) -> routing.RoutingPolicy:
        name = self._directory.profile(service).routing.policy
        if name == 'round_robin':
            return routing.RoundRobin()
        if name == 'least_load':
            return routing.LeastReportedLoad(self._rng)
        return routing.ExpectedFirstToken(self._zone, self._rng)

    def _meet(self, name: str, details: generated.Target) -> None:
        pool = self.pool(details.service)
        contact = pool.contacts.get(name)
        if contact is not None and contact.details.address != details.address:
            self._part(name)
            contact = None
        if contact is not None:
            contact.details = details
            return
        view = routing.TargetView(
            name=name,
            zone=details.zone,
            load=load.TargetLoad(),
            prefixes=affinity.PrefixView(),
        )
        contact = Contact(name=name, details=details, view=view)
        pool.contacts[name] = contact
        self._by_target[name] = pool
        loop = asyncio.get_running_loop()
        contact.keeper = loop.create_task(self._keep(pool, contact))

    def _part(self, name: str) -> None:
        pool = self._by_target.pop(name)
        contact = pool.contacts.pop(name)
        if contact.keeper is not None:
            contact.keeper.cancel()

    async def _keep(self, pool: Pool, contact: Contact) -> None:
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


def contacts(pool: Pool) -> collections.abc.Iterator[Contact]:
    """Yield the contacts of a pool that have a link."""
    for contact in pool.contacts.values():
        if contact.is_linked:
            yield contact
