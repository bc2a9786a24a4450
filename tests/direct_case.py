"""Run an entry with direct calls against scripted fake targets."""

import asyncio
import random
import unittest
from unittest import mock

import aiohttp

from tamarackthread.entry.direct import (
    admission_control,
    call_log,
    call_runner,
    frontend,
    poison_requests,
    retry_budgets,
    routing_table,
    target_client,
    target_probe,
    targets,
)
from tamarackthread.generated import settings
from tamarackthread.platform import calls as platform_calls
from tamarackthread.shared import connection_reset, stop_deadline
from tamarackthread.shared.site import announcements, configuration

HOST = 'h.example'
PATIENT_SECONDS = 30.0
# Earn ten retries.
SAVING_CALLS = 67
ONCE = configuration.RouteKind.ONCE
STREAM = configuration.RouteKind.STREAM
IDEMPOTENT = configuration.RouteKind.IDEMPOTENT
ANSWER = (
    'HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nResponse-Signature: s.{name}\r\n'
)


async def measuring(target, head, writer):
    """Read a body and answer with its length."""
    text = str(len(await target.body(head)))
    start = head_of(target, head)
    writer.write(f'{start}Content-Length: {len(text)}\r\n\r\n{text}'.encode())


class FakeTarget:
    """Answer each request by a script, a coroutine that writes bytes."""

    def __init__(self, name, script):
        self.name = name
        self.heads = []
        self.closed = asyncio.Event()
        self._script = script

    async def start(self):
        self._server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        host, port = self._server.sockets[0].getsockname()
        return f'{host}:{port}'

    def close(self):
        self._server.close()

    async def body(self, head):
        return await self._reader.readexactly(
            int(header(head, 'Content-Length') or 0)
        )

    async def _serve(self, reader, writer):
        self._reader = reader
        try:
            while True:
                head = (await reader.readuntil(b'\r\n\r\n')).decode()
                self.heads.append(head)
                await self._script(self, head, writer)
        except (asyncio.IncompleteReadError, OSError):
            self.closed.set()
            writer.close()


def header(head, name):
    """Return the value of a header of a request head, empty if missing."""
    for line in head.split('\r\n'):
        if line.lower().startswith(f'{name.lower()}: '):
            return line.split(': ', 1)[1]
    return ''


def head_of(target, head):
    return ANSWER.format(id=header(head, 'Attempt-Id'), name=target.name)


def whole(text, status='200 OK'):
    """Answer with a complete body."""

    async def script(target, head, writer):
        start = head_of(target, head).replace('200 OK', status)
        writer.write(
            f'{start}Content-Length: {len(text)}\r\n\r\n{text}'.encode()
        )

    return script


async def refusing(target, head, writer):
    writer.write(
        b'HTTP/1.1 503 Full\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n'
    )


async def silent(target, head, writer):
    """Accept a call and never answer."""


async def dropping(target, head, writer):
    writer.close()


async def crashing(target, head, writer):
    """Go down without an answer; new connections are refused too."""
    target.close()
    writer.close()


async def crashing_after_head(target, head, writer):
    start = head_of(target, head)
    writer.write(f'{start}Transfer-Encoding: chunked\r\n\r\n'.encode())
    await writer.drain()
    await crashing(target, head, writer)


async def resetting_unframed(target, head, writer):
    start = head_of(target, head)
    writer.write(f'{start}Connection: close\r\n\r\nhalf'.encode())
    await writer.drain()
    await asyncio.sleep(0.02)
    connection_reset.reset(writer.transport)


async def ending_unframed(target, head, writer):
    start = head_of(target, head)
    writer.write(f'{start}Connection: close\r\n\r\nall of it'.encode())
    writer.close()


async def answering_another(target, head, writer):
    text = ANSWER.format(id='another', name=target.name)
    writer.write(f'{text}Content-Length: 5\r\n\r\nwrong'.encode())


def streaming(first, last, is_whole):
    """Send numbered events; unless whole, break off within the next one."""

    async def script(target, head, writer):
        position = int(header(head, 'Last-Event-Id') or 0)
        start = head_of(target, head)
        writer.write(f'{start}Transfer-Encoding: chunked\r\n\r\n'.encode())
        for number in range(max(first, position + 1), last + 1):
            writer.write(chunk(f'id: {number}\ndata: e{number}\n\n'))
        if is_whole:
            writer.write(b'0\r\n\r\n')
            return
        writer.write(chunk(f'id: {last + 1}\ndata: ha'))
        writer.close()

    return script


def chunk(text):
    return f'{len(text):x}\r\n{text}\r\n'.encode()


class DirectCase(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        # A busy machine must not make a target look unreachable.
        for module, name in (
            (target_client, 'CONNECT_SECONDS'),
            (target_probe, 'PROBE_SECONDS'),
        ):
            patched = mock.patch.object(module, name, PATIENT_SECONDS)
            patched.start()
            self.addCleanup(patched.stop)
        loop = asyncio.get_running_loop()
        rng = random.Random(3)
        self.known = targets.Targets('z', 1.0, rng)
        self.sender = target_client.TargetClient(
            platform_calls.PlatformDialect()
        )
        await self.sender.start()
        site = settings.Site(seeds=(), link_port=1, retry_reserve=20)
        self.budgets = retry_budgets.RetryBudgets(site, lambda: 1, loop.time)
        # As after some time of service: a budget begins empty.
        for _ in range(SAVING_CALLS):
            self.budgets.earn('s')
        self.stopping = stop_deadline.StopDeadline()
        self.tables = routing_table.CurrentTable()
        self.crashing = poison_requests.PoisonRequests(
            'e', self.known.is_replaced
        )
        self.admission = admission_control.AdmissionControl(
            self.known, lambda: 1, self.stopping
        )
        self.front = frontend.Frontend(
            platform_calls.PlatformDialect(),
            self.tables,
            call_runner.CallRunner(
                self.known,
                self.sender,
                self.budgets,
                self.admission,
                self.crashing,
                rng,
                self.stopping,
            ),
            rng,
            call_log.CallLog(),
            self.stopping,
        )
        self.address = await self.front.start('127.0.0.1:0')
        self.session = aiohttp.ClientSession()
        self.fakes = []

    async def asyncTearDown(self):
        await self.session.close()
        await self.front.stop()
        await self.sender.close()
        for fake in self.fakes:
            fake.close()

    def serve(self, kind, **fields):
        route = configuration.Route(
            name='r',
            host=HOST,
            prefix='/a/',
            kind=kind,
            shares=(configuration.TrafficShare('s', 1),),
            **{'timeout': 5, 'latency_goal': 0.4, 'attempts': 2, **fields},
        )
        owner = configuration.Organisation(
            name='org', keys=frozenset(('secret',))
        )
        self.tables.put(
            routing_table.RoutingTable(
                configuration.Configuration(
                    version=1,
                    routes=(route,),
                    services=(configuration.Service(name='s'),),
                    organisations=(owner,),
                )
            )
        )

    async def add(self, script, zone='z'):
        fake = FakeTarget(f't{len(self.fakes) + 1}', script)
        self.fakes.append(fake)
        self.known.take(
            announcements.Announcement(
                target=fake.name,
                service='s',
                address=await fake.start(),
                zone=zone,
            )
        )
        return fake

    async def ask(
        self,
        path='/a/b',
        method='POST',
        key='secret',
        left='4000',
        body=None,
        **headers,
    ):
        asked = {
            'Host': HOST,
            'Attempt-Id': 'c1',
            'Deadline-Ms': left,
            'Authorization': f'Bearer {key}',
            **headers,
        }
        async with self.session.request(
            method,
            f'http://{self.address}{path}',
            headers=asked,
            data=body,
        ) as response:
            return response.status, await response.read(), response.headers
