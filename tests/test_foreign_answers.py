"""Test that an answer on a shared connection is taken for its own request only."""

from __future__ import annotations

import asyncio
import random
from unittest import mock

from tamarackthread.entry.direct import target_client
from tests import direct_case

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
