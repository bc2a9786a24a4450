"""Run an entry, agents and fake targets on loopback in one process."""

import asyncio
import contextlib
import hashlib
import json
import random

import aiohttp
from aiohttp import web

from bench import load
from tamarackthread.agent import claims, gate, reports, target, weight_loading
from tamarackthread.entry import (
    calls,
    directory,
    fleet,
    frontend,
    keyed_claim,
    request_reader,
    takeover,
)
from tamarackthread.generated import settings
from tamarackthread.generated.messages import ttypes as messages
from tamarackthread.policy import moves
from tamarackthread.shared import identity, link, link_pool, listener
from tests import shards

KEY = b'stage' * 8
TOKEN = 'token'
TAKEOVER_GRACE_SECONDS = 0.02


def options(node, role):
    return identity.LinkOptions(
        identity.Identity(node=node, role=role, zone='zone-0'),
        keys=(KEY,),
    )


def document(kind, name, body):
    return messages.Document(
        kind=kind,
        name=name,
        version=1,
        body=json.dumps(body),
        revision=1,
    )


class Handler(link.Handler):
    """Link handler of an agent's gate, without configuration."""

    def __init__(self, agent_gate, reporter):
        self._gate = agent_gate
        self._reporter = reporter

    async def on_request(self, peer_link, request):
        if request.claim_probe is not None:
            proof = self._gate.probe(request.claim_probe)
            return messages.Reply(claim_proof=proof)
        return messages.Reply(done=messages.Done())

    async def on_stream(self, peer_link, call, opening):
        await self._gate.serve(call, opening)

    def on_connected(self, peer_link):
        self._reporter.add(peer_link)

    def on_lost(self, peer_link):
        self._reporter.remove(peer_link)


class Agent:
    """An agent's gate behind a listener, in front of a fake target."""

    def __init__(self, name, app, *, kind='plain', service='stock'):
        self.name = name
        self.kind = kind
        self.service = service
        self._app = app

    async def start(self):
        self.runner = web.AppRunner(
            self._app,
            access_log=None,
            handler_cancellation=True,
            shutdown_timeout=0,
            auto_decompress=False,
        )
        await self.runner.setup()
        await web.TCPSite(self.runner, '127.0.0.1', 0).start()
        port = self.runner.addresses[0][1]
        own = settings.Agent(
            target_url=f'http://127.0.0.1:{port}',
            target_id=self.name,
            service=self.service,
            kind=self.kind,
        )
        self.client = target.TargetClient(own)
        await self.client.start()
        self.reporter = reports.Reporter(self.name, self.client, 0.02)
        self.urgent = weight_loading.UrgentSignal(moves.UrgentCallMonitor())
        self.gate = gate.Gate(
            gate.GateOptions(
                target_id=self.name,
                is_model=self.kind == 'model',
                call_limit=64,
            ),
            self.client,
            self.reporter,
            claims.ClaimGate(self.name, 0),
            self.urgent,
        )
        self.listener = listener.Listener(
            options(self.name, messages.Role.AGENT),
            Handler(self.gate, self.reporter),
        )
        self.address = await self.listener.start('127.0.0.1', 0)
        self.polling = asyncio.ensure_future(self.reporter.run())

    async def stop(self):
        self.polling.cancel()
        self.listener.close()
        await self.client.stop()
        await self.runner.cleanup()

    def document(self):
        body = {
            'service': self.service,
            'region': 'region-0',
            'zone': 'zone-0',
            'address': self.address,
        }
        return document('target', self.name, body)


class Entry:
    """An entry's front end, configured without control hosts."""

    def __init__(self, name='entry', claimed=None, **limits):
        self.directory = directory.Directory()
        rng = random.Random(7)
        self.fleet = fleet.Fleet(name, 'zone-0', self.directory, rng)
        self.peers = link_pool.LinkPool(
            options(name, messages.Role.ENTRY),
            self.fleet,
        )
        self.fleet.set_peers(self.peers)
        own = settings.Entry(**limits)
        self.shards = claimed or shards.make()
        self.shard_links = shards.LocalLinks(self.shards)
        self.claims = shards.connect(self.shard_links, name)
        self.keyed = keyed_claim.KeyedClaims(
            self.claims,
            takeover.Takeover(
                self.claims,
                takeover.LinkProber(self.peers),
                TAKEOVER_GRACE_SECONDS,
            ),
        )
        self.runner = calls.CallRunner(
            self.fleet,
            rng,
            lambda: 1,
            self.keyed,
        )
        self.front = frontend.Frontend(
            own,
            request_reader.RequestReader(self.directory, own),
            self.runner,
            lambda call, open_calls: None,
            lambda: True,
        )

    async def start(self, agents, profile=None):
        digest = hashlib.sha256(TOKEN.encode()).hexdigest()
        credential = {'name': 'test', 'sha256': digest}
        model = {'profile': 'p', 'kind': 'model', 'paths': ['/v1/']}
        plain = {'profile': 'p', 'paths': ['/stock']}
        self.directory.apply(
            [
                document('profile', 'p', profile or {}),
                document('organisation', 'o', {'credentials': [credential]}),
                document('service', 'draft', model),
                document('service', 'stock', plain),
                *(agent.document() for agent in agents),
            ],
        )
        self.fleet.update()
        self.address = await self.front.start()
        for agent in agents:
            await self.wait_linked(agent)

    async def wait_linked(self, agent):
        connection = self.fleet.connection(agent.service, agent.name)
        while not connection.view.load.last_report.sequence > 0:
            await asyncio.sleep(0)

    async def stop(self):
        await self.front.stop()
        self.fleet.close()
        self.peers.close()


@contextlib.asynccontextmanager
async def running(agents, profile=None, **limits):
    """Start agents and an entry; yield the entry and a caller."""
    entry = Entry(**limits)
    for agent in agents:
        await agent.start()
    await entry.start(agents, profile)
    async with aiohttp.ClientSession() as session:
        try:
            yield entry, load.Caller(session, TOKEN)
        finally:
            await entry.stop()
            for agent in agents:
                await agent.stop()
