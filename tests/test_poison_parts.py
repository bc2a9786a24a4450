"""Test that a prompt part that crashes targets is detected, and no other."""

from unittest import mock

import aiohttp

from tamarackthread.policy import poison_calls
from tamarackthread.shared.site import configuration
from tests import direct_case

TARGETS = 16
POISON_CALLS = 10
# Crashes after which calls with the part must stop, and those still on their way.
MAX_CRASHES = 5
MAX_LATE_CALLS = 3
WHOLE = (200, b'id: 1\ndata: e1\n\nid: 2\ndata: e2\n\n')
# An answer that broke off after its head.
CUT = (200, b'')


class CallerCase(direct_case.DirectCase):
    async def test_part_that_crashes_each_target(self):
        """Guards against calls, each new, that crash targets by a shared part."""
        # Attributes losses without waiting for correlated ones.
        with mock.patch.object(poison_calls, 'CORRELATED_LOSS_SECONDS', 0):
            await self._ask_poison_and_sound()

    async def _ask_poison_and_sound(self):
        self.serve(configuration.RouteKind.STREAM, is_resumable=True)
        for _ in range(TARGETS):
            await self.add(_crashing_on('bad'))
        poisoned = []
        sound = []
        for number in range(POISON_CALLS):
            poisoned.append(await self._ask_parts(number, 'shared', 'bad'))
            sound.append(await self._ask_parts(number, 'shared', 'topic'))
        arrived = [
            head
            for fake in self.fakes
            for head in fake.heads
            if ',bad:' in direct_case.header(head, 'Prompt-Prefix')
        ]
        self.assertLessEqual(len(arrived), MAX_CRASHES + MAX_LATE_CALLS)
        for status, body in poisoned[-MAX_LATE_CALLS:]:
            self.assertEqual(503, status)
            self.assertIn(b'TT7213', body)
        for answer in sound:
            self.assertEqual(WHOLE, answer)

    async def _ask_parts(self, number, *parts):
        """Send a call that is like no other except for the parts."""
        names = (*parts, f'own-{parts[-1]}-{number}')
        prompt = ','.join(f'{name}:100' for name in names)
        headers = {'Attempt-Id': names[-1], 'Prompt-Prefix': prompt}
        try:
            status, body, _ = await self.ask(body=prompt.encode(), **headers)
        except aiohttp.ClientPayloadError:
            return CUT
        return status, body


def _crashing_on(part):
    """Answer in whole, or crash after the head of an answer on a part."""
    whole = direct_case.streaming(1, 2, is_whole=True)

    async def script(target, head, writer):
        if f'{part}:' not in direct_case.header(head, 'Prompt-Prefix'):
            await target.body(head)
            await whole(target, head, writer)
            return
        start = direct_case.head_of(target, head)
        writer.write(f'{start}Transfer-Encoding: chunked\r\n\r\n'.encode())
        await writer.drain()
        target.close()
        writer.close()

    return script
