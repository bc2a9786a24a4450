"""Hold a small network of feed servers and nodes on paused time."""

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

LEASE = 2.0
WAIT = 0.5


def run_paused(scenario):
    """Run a coroutine function on a loop whose time is its own."""
    loop = async_solipsism.EventLoop
    with asyncio.Runner(loop_factory=loop) as runner:
        runner.run(scenario())


def now():
    return asyncio.get_running_loop().time()


def document(name, revision, body='{}', kind='profile'):
    return messages.Document(kind, name, revision, body, revision)


class Leader(feed_server.Source):
    """Be the root: a leader that grants leases until it is told not to."""

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
        return feed_server.Grant(LEASE, 0, self.catalogue.revision)

    def schedule_report(self):
        """Have nobody to report to."""

    def commit(self, revision, name='p', body='{}'):
        self.catalogue.put(document(name, revision, body))
        self.catalogue.advance(revision)
        self.signal.notify()


class Net:
    """Carry requests with a delay; ``cut`` loses one direction silently."""

    def __init__(self, delay=0.0015, seed=1):
        self.delay = delay
        self.rng = random.Random(seed)
        self.servers = {}
        self.cut = set()
        self.dead = set()
        self.leader = Leader()
        self.below = subtree.Subtree()
        self.serve('leader', self.leader, self.below)

    def serve(self, address, source, below, limits=None):
        limits = limits or feed_server.Limits()
        self.servers[address] = feed_server.FeedServer(
            source,
            below,
            limits,
            self.rng,
        )

    def node(self, name, control=('leader',), role=messages.Role.ENTRY, **own):
        """Make a node; one with an address serves others too."""
        identified = identity.Identity(name, role, 'r', 'z', **own)
        made = feed.ConfigFeed(
            Links(self, identified),
            identified,
            parents.RandomParentSelector(control, self.rng),
            WAIT,
            self.rng,
        )
        if identified.address:
            self.serve(identified.address, made, made.descendants)
        return made


class Links:
    """Stand in for a node's links."""

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
