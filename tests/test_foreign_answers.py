"""Test that an answer on a shared connection is taken for its own request only."""

from __future__ import annotations

import asyncio
import json
import random
import unittest
from unittest import mock

from tamarackthread.control.site.maps import ranks
from tamarackthread.entry.direct import target_client
from tamarackthread.generated.messages import ttypes as messages
from tamarackthread.platform import ranks as platform_ranks
from tamarackthread.shared import target_errors
from tests import agent_client, direct_case

SEEDS = range(12)
CALLS = 25
# Turns of the event loop in which bytes on loopback arrive.
TURNS = 20
OK = 200
MARK = b'Attempt-Id: '
HEAD_END = b'\r\n\r\n'


def whole_answer(target, head):
    """Build an answer whose body is the id of its call."""
    text = direct_case.header(head, 'Attempt-Id')
    start = direct_case.head_of(target, head)
    return f'{start}Content-Length: {len(text)}\r\n\r\n{text}'.encode()


class _Spoiler:
    """Answer calls, and spoil some of the connections in drawn ways."""

    def __init__(self, seed):
        self.random = random.Random(seed)
        # Ids of calls that may fail, as their connection was spoiled.
        self.spoiled = set()
        self._late = {}

    async def script(self, target, head, writer):
        call_id = direct_case.header(head, 'Attempt-Id')
        answer = whole_answer(target, head)
        late = self._late.pop(writer, None)
        if late:
            self.spoiled.add(call_id)
            writer.write(late)
            await until_next(target)
        writer.write(answer + self._surplus(answer))
        if self.random.random() < 0.3:
            self._late[writer] = self.random.choice(
                (answer, answer.replace(MARK, b'Other: '))
            )

    def _surplus(self, answer):
        """Return bytes that follow an answer at once, or none."""
        return self.random.choice(
            (b'', b'', answer, answer[:9], b'HTTP/1.1 102 Wait\r\n\r\n', b'?')
        )


async def until_next(target):
    """Wait until the next request comes on a connection, or its end."""
    reader = target._reader
    while not reader._buffer and not reader.at_eof():
        await asyncio.sleep(0)


class EntryCase(direct_case.DirectCase):
    async def test_late_answer(self):
        """Guards against a connection that stays one answer behind for good."""
        late = []

        async def script(target, head, writer):
            answer = whole_answer(target, head)
            if late:
                # The call in work fails, and the next one is sent meanwhile.
                writer.write(late.pop())
                await until_next(target)
            elif len(target.heads) == 1:
                late.append(answer)
            writer.write(answer)

        self.serve(direct_case.IDEMPOTENT)
        await self.add(script)
        found = [await self._ask(f'c{number}') for number in range(5)]
        self.assertEqual([200, 502, 200, 200, 200], found)

    async def test_drawn_spoiled_connections(self):
        """Guards against foreign bytes that spoil more than one call."""
        for seed in SEEDS:
            with self.subTest(seed=seed):
                await self._play(seed)

    async def test_bytes_while_idle(self):
        """Guards against an answer that arrives before its request is sent."""
        may_spout = asyncio.Event()

        async def script(target, head, writer):
            writer.write(whole_answer(target, head))
            if len(target.heads) == 1:
                await may_spout.wait()
                writer.write(whole_answer(target, head))

        self.serve(direct_case.IDEMPOTENT)
        await self.add(script)
        self.assertEqual(200, await self._ask('c1'))
        may_spout.set()
        for _ in range(TURNS):
            await asyncio.sleep(0)
        self.assertEqual(200, await self._ask('c2'))

    async def test_unshared_connections(self):
        """Guards against a target whose late answers spoil call after call."""
        late = {}

        async def script(target, head, writer):
            answer = whole_answer(target, head)
            writer.write(late.get(writer, b''))
            if writer in late:
                await until_next(target)
            late[writer] = answer
            writer.write(answer)

        self.serve(direct_case.IDEMPOTENT)
        await self.add(script)
        found = [await self._ask(f'c{number}') for number in range(6)]
        self.assertEqual([200, 502, 200, 200, 200, 200], found)

    async def test_late_refusal(self):
        """Guards against a call that runs and is reported as not run."""
        refusal = b'HTTP/1.1 503 Full\r\nNot-Executed: 1\r\nContent-Length: 0'

        async def script(target, head, writer):
            if len(target.heads) > 1:
                writer.write(refusal + HEAD_END)
            writer.write(whole_answer(target, head))

        self.serve(direct_case.IDEMPOTENT)
        await self.add(script)
        found = [await self._ask(f'c{number}') for number in range(2)]
        self.assertEqual([200, 502], found)

    async def _play(self, seed):
        spoiler = _Spoiler(seed)
        self.serve(direct_case.IDEMPOTENT)
        fake = await self.add(spoiler.script)
        with mock.patch.object(target_client, 'FOREIGN_SECONDS', 0):
            for number in range(CALLS):
                call_id = f'c{seed}-{number}'
                status = await self._ask(call_id)
                if call_id not in spoiler.spoiled:
                    self.assertEqual(200, status, call_id)
        self.known.mark_gone(self.known.get(fake.name))

    async def _ask(self, call_id):
        """Return the status of a call; a success must be its own answer."""
        headers = {'Attempt-Id': call_id}
        status, body, _ = await self.ask(**headers)
        if status == OK:
            self.assertEqual(call_id.encode(), body)
        return status


class _Server:
    """Serve each request by a function that is told which one it is."""

    def __init__(self, answer):
        self._answer = answer
        # The requests that each connection has carried.
        self.carried = []

    async def start(self):
        self._server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        host, port = self._server.sockets[0].getsockname()
        return f'{host}:{port}'

    def close(self):
        self._server.close()

    async def _serve(self, reader, writer):
        requests = []
        self.carried.append(requests)
        try:
            while True:
                head = (await reader.readuntil(b'\r\n\r\n')).decode()
                size = int(direct_case.header(head, 'Content-Length') or 0)
                body = await reader.readexactly(size)
                requests.append(body)
                writer.write(self._answer(head, body, requests))
        except (asyncio.IncompleteReadError, OSError):
            writer.close()


def _encode(status, body=b'{}', headers=''):
    start = f'HTTP/1.1 {status} Status\r\nContent-Length: {len(body)}\r\n'
    return f'{start}{headers}\r\n'.encode() + body


class RankCase(unittest.IsolatedAsyncioTestCase):
    async def test_late_answer_to_an_order(self):
        """Guards against an arm that passes for accepted and two maps in a step."""
        server = _Server(self._answer_orders)
        rank = ranks.Rank('t', await server.start())
        client = platform_ranks.PlatformRanks()
        try:
            found = [
                await client.order(rank, _order(operation))
                for operation in (ranks.PREPARE, ranks.ARM)
            ]
        finally:
            await client.close()
            server.close()
        self.assertEqual([ranks.Outcome.DONE, ranks.Outcome.REFUSED], found)

    async def test_late_report(self):
        """Guards against a release by a report from before the fence."""
        server = _Server(self._answer_reports)
        rank = ranks.Rank('t', await server.start())
        client = platform_ranks.PlatformRanks()
        try:
            await client.report(rank)
            found = await client.read_back(rank)
        finally:
            await client.close()
            server.close()
        self.assertEqual(7, found.held)

    def _answer_orders(self, head, body, requests):
        """Refuse to arm, after the answer to an earlier order once more."""
        earlier = _encode(202) * (len(requests) - 1)
        is_arm = json.loads(body)['operation'] == 'arm'
        status = 409 if is_arm else 202
        return earlier + _encode(status)

    def _answer_reports(self, head, body, requests):
        is_first = len(requests) == 1
        held = 7 if is_first else None
        return _encode(200, json.dumps(_report(held)).encode())


def _order(operation):
    return ranks.Order(operation=operation, epoch=1, fence=1, timeout_seconds=9)


def _report(held):
    group = {'name': 'g', 'epoch': 1, 'rank': 0, 'size': 1, 'state': 'open'}
    return {'group': group, 'map': 1, 'held': held}


class AgentCase(unittest.IsolatedAsyncioTestCase):
    async def test_late_answer(self):
        """Guards against a caller who gets the answer to another call."""
        for header in ('', 'X-Call-Id: {id}\r\n'):
            with self.subTest(header=header):
                found = await self._ask_twice(header)
                self.assertNotEqual('first', found[1])

    async def _ask_twice(self, header):
        late = []

        def answer(head, body, requests):
            call_id = direct_case.header(head, 'X-Call-Id')
            own = _encode(200, body, header.format(id=call_id))
            late.append(own)
            first = len(late) - len(requests)
            return b''.join(late[first:])

        server = _Server(answer)
        address = await server.start()
        try:
            async with agent_client.asking(address) as client:
                return [
                    await _call(client, text) for text in ('first', 'second')
                ]
        finally:
            server.close()


async def _call(client, text):
    opening = messages.OpenCall(
        call_id=text.encode(), idempotent=True, method='POST', path='/'
    )
    try:
        answer = await client.send_call(opening, text.encode(), 9)
    except target_errors.TargetBroke:
        return None
    return (await answer.read()).decode()
