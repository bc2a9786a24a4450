"""Run claim shards in the test's process on the real state machine."""

import asyncio

import async_solipsism

from tamarackthread.control import claim_service, claims, proposing
from tamarackthread.entry import shard_claim_client
from tamarackthread.shared import claim_errors, claim_keys

SHARDS = (
    claim_keys.Shard('claims-0', 'region-0', ('a:1',)),
    claim_keys.Shard('claims-1', 'region-0', ('a:1',)),
)


class LocalGroup:
    """A consensus group that applies proposals at once or always fails."""

    def __init__(self, machine):
        self.machine = machine
        self.proposals = 0
        self.index = 0
        self.failure = None

    async def propose(self, command):
        await asyncio.sleep(0)
        if self.failure is not None:
            raise self.failure
        self.proposals += 1
        self.index += 1
        result = self.machine.apply(self.index, command)
        return proposing.ProposeResult(self.index, result)

    async def read_barrier(self):
        if self.failure is not None:
            raise self.failure
        return self.index


class Shard:
    """One shard's state machine, group and service."""

    def __init__(self, proposer='control-0'):
        self.machine = claims.ClaimsMachine()
        self.group = LocalGroup(self.machine)
        self.service = claim_service.ClaimService(
            self.machine,
            self.group,
            proposer,
        )


class LocalLinks:
    """An entry's links to control hosts, without a network."""

    def __init__(self, shards):
        self._shards = shards
        self.is_dead = False
        self.lost_replies = 0
        self.requests = []

    async def request(self, address, request, timeout_seconds):
        if self.is_dead:
            await asyncio.Event().wait()
        reply = await self._dispatch(request)
        if self.lost_replies:
            self.lost_replies -= 1
            raise claim_errors.ClaimsUnavailable
        return reply

    async def _dispatch(self, request):
        for message, name in (
            (request.claim, 'claim'),
            (request.claim_finish, 'finish'),
            (request.claim_lookup, 'lookup'),
        ):
            if message is not None:
                self.requests.append(name)
                service = self._shards[message.shard].service
                return await getattr(service, name)(message)
        raise AssertionError(request)


def make():
    """Create the shards that all entries of a test share."""
    return {shard.name: Shard() for shard in SHARDS}


def connect(links, holder):
    """Create the client of one entry."""
    return shard_claim_client.ShardClaimClient(links, lambda: SHARDS, holder)


def find(shards, organisation, key):
    """Return a key's claim from the shard that holds it."""
    name = claim_keys.claim_key(organisation, key)
    for shard in shards.values():
        reply = shard.machine.lookup(name)
        if reply.known:
            return reply
    return None


def virtual_time(work):
    """Run a test method on a clock that advances only when all tasks wait."""

    def run(case):
        with asyncio.Runner(loop_factory=async_solipsism.EventLoop) as runner:
            runner.run(work(case))

    run.__doc__ = work.__doc__
    run.__name__ = work.__name__
    return run
