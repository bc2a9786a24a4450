"""Simulate keyed calls under random faults, on virtual time."""

import asyncio
import types

from bench import load
from bench.checks import calls as checker
from tamarackthread.agent import claims as gates
from tamarackthread.control import failures
from tamarackthread.entry import failures as refusals
from tamarackthread.entry import keyed_claim, responses, takeover
from tamarackthread.generated import documents
from tamarackthread.generated.messages import ttypes as messages
from tamarackthread.policy import calls
from tamarackthread.shared import claim_errors, errors
from tests import shards

TARGETS = ('a', 'b')
LEADERS = ('one', 'two', 'three')
RULES = documents.Claims(keep_seconds=1200, wait_seconds=8)
Ran = messages.Ran


class RandomLinks(shards.LocalLinks):
    """Delay, drop and duplicate an entry's requests to the shards."""

    def __init__(self, held, rng, simulation):
        super().__init__(held)
        self._rng = rng
        self._simulation = simulation

    async def request(self, address, request, timeout_seconds):
        if self.is_dead:
            await asyncio.Event().wait()
        await asyncio.sleep(self._rng.choice([0.001, 0.001, 0.01, 0.4]))
        if self._rng.random() < 0.08:
            raise claim_errors.ClaimsUnavailable
        if self._rng.random() < 0.1:
            self._simulation.run_in_background(self._send_duplicate(request))
        reply = await super().request(address, request, timeout_seconds)
        if self._rng.random() < 0.12:
            raise claim_errors.ClaimsUnavailable
        return reply

    async def _send_duplicate(self, request):
        await asyncio.sleep(self._rng.choice([0.01, 1, 5, 60]))
        try:
            await self._dispatch(request)
        except errors.CodedError:
            return


class Agent:
    """A simulated agent and its target; restarts raise ``incarnation``."""

    def __init__(self, name, simulation):
        self.name = name
        self.simulation = simulation
        self.incarnation = 0
        self.restart()

    def restart(self):
        self.incarnation += 1
        self.gate = gates.ClaimGate(self.name, self.incarnation)

    def connection(self):
        loop = asyncio.get_running_loop()
        held = types.SimpleNamespace(
            is_closed=False,
            peer=types.SimpleNamespace(incarnation=self.incarnation),
            peer_clock_ms=lambda: int(loop.time() * 1000),
        )
        return types.SimpleNamespace(
            name=self.name,
            current_link=held,
            details=types.SimpleNamespace(address=self.name),
        )

    async def serve(self, opening, body, result):
        """Receive one call from the network and run it."""
        rng = self.simulation.rng
        await asyncio.sleep(rng.choice([0, 0.002, 0.05, 3, 40, 2000]))
        gate = self.gate
        if rng.random() < 0.1:
            _set_result(result, Ran.NOT_RUN)
            return
        try:
            gate.admit(opening)
        except errors.CodedError as exc:
            _set_result(result, exc.ran)
            return
        now = asyncio.get_running_loop().time()
        self.simulation.starts.append(checker.Start(body, now))
        await asyncio.sleep(rng.choice([0.01, 0.01, 0.5, 4]))
        text = f'booked {body}'
        if rng.random() < 0.1:
            gate.finish(opening, None)
            return
        gate.finish(opening, gates.Answer(201, (), text.encode()))
        if rng.random() < 0.85:
            _set_result(result, Ran.COMPLETE, text)


def _set_result(result, ran, text=''):
    if not result.done():
        result.set_result((ran, text))


class Prober(takeover.Prober):
    """Probe agents, with random failures."""

    def __init__(self, simulation):
        self._simulation = simulation

    async def probe(self, handover, request):
        rng = self._simulation.rng
        await asyncio.sleep(rng.choice([0.001, 0.01]))
        if rng.random() < 0.15:
            raise errors.AddressUnreachable(handover.address)
        proof = self._simulation.agents[handover.address].gate.probe(request)
        if rng.random() < 0.1:
            raise errors.RequestTimeout(handover.address)
        return proof


class Sink:
    """Keep the response of one request."""

    def __init__(self):
        self.text = None

    async def send(self, head, body):
        self.text = body.decode()


class Entry:
    """Run keyed calls as the entry's runner does."""

    def __init__(self, name, simulation):
        self.simulation = simulation
        self.links = RandomLinks(simulation.shards, simulation.rng, simulation)
        client = shards.connect(self.links, name)
        self.keyed = keyed_claim.KeyedClaims(
            client, takeover.Takeover(client, Prober(simulation))
        )

    def kill(self):
        self.links.is_dead = True
        self.keyed.run_in_background = lambda work: work.close()

    async def run(self, key, sink):
        """Run one request; raise its caller's error."""
        loop = asyncio.get_running_loop()
        request = keyed_claim.Request(
            facts=calls.CallFacts(organisation='o', deadline=loop.time() + 15),
            rules=RULES,
            home_region='',
            key=key,
            method='POST',
            path='/order',
            body=key.encode(),
        )
        claim = self.keyed.create(request)
        claim.wrap_sink(sink)
        try:
            await self._run_attempts(claim, key, sink)
        except errors.CodedError as exc:
            await claim.fail(exc)
            raise
        claim.succeed()

    async def _run_attempts(self, claim, key, sink):
        while True:
            resolved = None
            try:
                ran, text = await self._run_attempt(claim, key)
            except keyed_claim.ClaimedElsewhere as exc:
                resolved = await claim.resolve(exc.reply)
            else:
                if ran == Ran.COMPLETE:
                    await claim._sink.send(responses.Head(201, ()), text)
                    return
                if ran == Ran.MAY_HAVE_RUN:
                    resolved = await claim.resolve(None)
            if resolved is not None and not resolved.granted:
                sink.text = resolved.body.decode()
                return
            if self.simulation.rng.random() < 0.3:
                raise refusals.EntryLeaving

    async def _run_attempt(self, claim, key):
        rng = self.simulation.rng
        agent = self.simulation.agents[rng.choice(TARGETS)]
        opening = messages.OpenCall(call_id=b'c')
        await claim.record_handover(opening, agent.connection())
        if rng.random() < 0.1:
            await asyncio.sleep(rng.choice([0.1, 12]))
        result = asyncio.get_running_loop().create_future()
        self.simulation.run_in_background(agent.serve(opening, key, result))
        try:
            async with asyncio.timeout(rng.choice([0.02, 1, 3])):
                ran, text = await result
        except TimeoutError:
            return Ran.MAY_HAVE_RUN, b''
        return ran, text.encode()


class Simulation:
    """The simulated shards, agents and callers, and their history."""

    def __init__(self, rng):
        self.rng = rng
        self.shards = shards.make()
        self.agents = {name: Agent(name, self) for name in TARGETS}
        self.starts = []
        self.tries = []
        self._tasks = set()

    def run_in_background(self, work):
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def run(self, keys):
        faults = asyncio.ensure_future(self._inject_faults())
        await asyncio.gather(*(self._run_caller(key) for key in keys))
        faults.cancel()
        while self._tasks:
            await asyncio.wait(self._tasks)
        return checker.History(self.tries, self.starts)

    async def _inject_faults(self):
        while True:
            await asyncio.sleep(self.rng.choice([0.3, 2, 20]))
            if self.rng.random() < 0.5:
                self.agents[self.rng.choice(TARGETS)].restart()
                continue
            for shard in self.shards.values():
                shard.group.failure = failures.NotLeader()
                shard.service._proposer = self.rng.choice(LEADERS)
            await asyncio.sleep(self.rng.choice([0.1, 1, 4]))
            for shard in self.shards.values():
                shard.group.failure = None

    async def _run_caller(self, key):
        await asyncio.sleep(self.rng.uniform(0, 3))
        for number in range(4):
            attempt = asyncio.ensure_future(self._send(key, number))
            if self.rng.random() < 0.6:
                await attempt
            await asyncio.sleep(self.rng.choice([0.01, 0.5, 2, 20, 250]))
            self._tasks.add(attempt)
            attempt.add_done_callback(self._tasks.discard)
            if attempt.done() and attempt.result():
                return

    async def _send(self, key, number):
        loop = asyncio.get_running_loop()
        started = loop.time()
        entry = Entry(f'entry-{number}', self)
        sink = Sink()
        outcome = load.Outcome.COMPLETE
        lifetime = 60 if self.rng.random() < 0.6 else self.rng.uniform(0, 3)
        try:
            async with asyncio.timeout(lifetime):
                await entry.run(key, sink)
        except TimeoutError:
            entry.kill()
            outcome = load.Outcome.BROKEN
        except errors.CodedError as exc:
            outcome = load.Outcome.REFUSED
            if exc.ran != Ran.NOT_RUN:
                outcome = load.Outcome.MAY_HAVE_RUN
        self.tries.append(
            checker.Try(
                call=key,
                kind=checker.Kind.KEYED,
                body=key,
                asked_at=started,
                told_at=loop.time(),
                outcome=outcome,
                text=sink.text or '',
                whole=f'booked {key}',
            ),
        )
        return outcome == load.Outcome.COMPLETE
