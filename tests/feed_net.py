"""Simulate a network of feed servers and nodes on a virtual clock."""

import asyncio
import random

import async_solipsism

from tamarackthread.generated.messages import ttypes as messages
from tamarackthread.shared import (
    catalogue,
    errors,
    feed,
    feed_server,
    handshake,
    identity,
    parents,
    signal,
    subtree,
)

LEASE_SECONDS = 2.0
POLL_SECONDS = 0.5


def run_paused(scenario):
    """Run a coroutine function on a loop with a virtual clock."""
    loop = async_solipsism.EventLoop
    with asyncio.Runner(loop_factory=loop) as runner:
        runner.run(scenario())


def now():
    return asyncio.get_running_loop().time()


def document(name, revision, body='{}', kind='profile'):
    return messages.Document(kind, name, revision, body, revision)


class Leader(feed_server.Source):
    """Root of the tree: a leader that grants leases while ``grants``."""

    def __init__(self):
        self.catalogue = catalogue.Catalogue()
        self.signal = signal.Signal()
        self.grants = True

    @property
    def documents(self):
        return self.catalogue

    @property
    def changed(self):
        return self.signal

    @property
    def renewals(self):
        return 0

    def grant(self):
        if not self.grants:
            return feed_server.Grant()
        return feed_server.Grant(LEASE_SECONDS, 0, self.catalogue.revision)

    def schedule_report(self):
        """Do nothing, since a leader has no parent."""

    def commit(self, revision, name='p', body='{}'):
        self.catalogue.put(document(name, revision, body))
        self.catalogue.advance(revision)
        self.signal.notify()


class Net:
    """Deliver requests with a delay; ``cut`` holds (from, to) pairs whose
    messages are lost.
    """

    def __init__(self, delay=0.0015, seed=1):
        self.delay = delay
        self.rng = random.Random(seed)
        self.servers = {}
        self.cut = set()
        self.dead = set()
        self.leader = Leader()
        self.descendants = subtree.Subtree()
        self.serve('leader', self.leader, self.descendants)

    def serve(self, address, source, descendants, limits=None):
        limits = limits or feed_server.Limits()
        self.servers[address] = feed_server.FeedServer(
            source,
            descendants,
            limits,
            self.rng,
        )

    def node(self, name, control=('leader',), role=messages.Role.ENTRY, **own):
        """Create a node, which serves others if it has an address."""
        own_identity = identity.Identity(name, role, 'r', 'z', **own)
        node_feed = feed.ConfigFeed(
            Links(self, own_identity),
            own_identity,
            parents.RandomParentSelector(control, self.rng),
            POLL_SECONDS,
            self.rng,
        )
        if own_identity.address:
            self.serve(own_identity.address, node_feed, node_feed.descendants)
        return node_feed


class Links:
    """Fake of a node's link pool."""

    def __init__(self, net, own):
        self.net = net
        self.peer = handshake.Peer(
            own.node,
            own.role,
            own.region,
            own.zone,
            own.address,
            own.incarnation,
        )

    @property
    def is_closed(self):
        return self.peer.node in self.net.dead

    def is_alive(self, seconds):
        return not self.is_closed

    async def request(self, address, request, timeout_seconds):
        try:
            async with asyncio.timeout(timeout_seconds):
                return await self._carry(address, request)
        except TimeoutError as exc:
            raise errors.RequestTimeout(address) from exc

    async def _carry(self, address, request):
        await self._travel(self.peer.node, address)
        server = self.net.servers.get(address)
        if server is None:
            raise errors.AddressUnreachable(address)
        reply = await server.answer(self, request.feed)
        await self._travel(address, self.peer.node)
        return reply

    async def _travel(self, origin, destination):
        await asyncio.sleep(self.net.delay)
        if {(origin, destination), (origin, '*')} & self.net.cut:
            await asyncio.Event().wait()
