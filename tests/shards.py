"""Keep claims in the test's own process, through the real machine."""

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
    """Apply proposals at once, or fail as a group without a quorum."""

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
        answer = self.machine.apply(self.index, command)
        return proposing.ProposeResult(self.index, answer)

    async def read_barrier(self):
        if self.failure is not None:
            raise self.failure
        return self.index


class Shard:
    """Be one shard's machine, group and service."""

    def __init__(self, proposer='control-0'):
        self.machine = claims.ClaimsMachine()
        self.group = LocalGroup(self.machine)
        self.service = claim_service.ClaimService(
            self.machine,
            self.group,
            proposer,
        )


class LocalLinks:
    """Stand for an entry's links to the control hosts."""

    def __init__(self, shards):
        self._shards = shards
        self.is_dead = False
        self.lose_answers = 0
        self.asked = []

    async def request(self, address, request, timeout_seconds):
        if self.is_dead:
            await asyncio.Event().wait()
        reply = await self._dispatch(request)
        if self.lose_answers:
            self.lose_answers -= 1
            raise claim_errors.ClaimsUnavailable
        return reply

    async def _dispatch(self, request):
        for ask, name in (
            (request.claim, 'claim'),
            (request.claim_finish, 'finish'),
            (request.claim_lookup, 'lookup'),
        ):
            if ask is not None:
                self.asked.append(name)
                service = self._shards[ask.shard].service
                return await getattr(service, name)(ask)
        raise AssertionError(request)


def make():
    """Make the shards that all entries of a test share."""
    return {shard.name: Shard() for shard in SHARDS}


def connect(links, holder):
    """Give the client of one entry."""
    return shard_claim_client.ShardClaimClient(links, lambda: SHARDS, holder)


def find(shards, organisation, key):
    """Look a key up in whichever shard has it."""
    name = claim_keys.claim_key(organisation, key)
    for shard in shards.values():
        reply = shard.machine.lookup(name)
        if reply.known:
            return reply
    return None


def virtual_time(work):
    """Run a test method on a clock that only moves when all wait."""

    def run(case):
        with asyncio.Runner(loop_factory=async_solipsism.EventLoop) as runner:
            runner.run(work(case))

    run.__doc__ = work.__doc__
    run.__name__ = work.__name__
    return run
