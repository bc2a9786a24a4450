"""Test that entries respect the backpressure signals of targets."""

import asyncio
import unittest

import attrs

from tamarackthread.entry.direct import eligibility
from tamarackthread.policy import backpressure
from tamarackthread.shared.site import configuration
from tests import direct_case as direct

CALLS = 6


def refuse_with_retry_after(seconds):
    """Refuse every call with a ``Retry-After`` header."""

    async def script(target, head, writer):
        writer.write(
            'HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\nRetry-After: '
            f'{seconds}\r\nContent-Length: 0\r\n\r\n'.encode()
        )

    return script


class CooldownCase(direct.DirectCase):
    async def test_no_calls_during_cooldown(self):
        """Guards against calls to a target during its cooldown."""
        self.serve(configuration.RouteKind.IDEMPOTENT)
        cooling = await self.add(refuse_with_retry_after(300))
        healthy = await self.add(direct.whole('yes'), zone='far')
        for _ in range(CALLS):
            self.assertEqual((200, b'yes'), (await self.ask())[:2])
        self.assertEqual((1, CALLS), (len(cooling.heads), len(healthy.heads)))

    async def test_all_cooling_down(self):
        """Guards against waits and early retries while all targets cool down."""
        self.serve(configuration.RouteKind.ONCE)
        cooling = [
            await self.add(refuse_with_retry_after(30)) for _ in range(2)
        ]
        self.assertEqual(503, (await self.ask())[0])
        status, body, headers = await self.ask()
        self.assertEqual(503, status)
        self.assertIn(b'TT7215', body)
        self.assertGreater(float(headers['Retry-After']), 25)
        self.assertEqual([1, 1], [len(fake.heads) for fake in cooling])

    async def test_answer_of_another_target(self):
        """Guards against signals from another target at the same address."""
        self.serve(configuration.RouteKind.ONCE)

        async def other_target(target, head, writer):
            writer.write(
                b'HTTP/1.1 421 No\r\nServer-Leaving: 1\r\n'
                b'Content-Length: 0\r\n\r\n'
            )

        await self.add(other_target)
        await self.add(direct.whole('yes'), zone='far')
        self.assertEqual(200, (await self.ask())[0])
        self.assertEqual(
            backpressure.NONE, self.known.get('t1').last_backpressure
        )


def answer_with_header(header, text):
    """Answer with a whole body and an additional header."""

    async def script(target, head, writer):
        start = direct.head_of(target, head)
        writer.write(
            f'{start}{header}\r\nContent-Length: {len(text)}\r\n'
            f'\r\n{text}'.encode()
        )

    return script


class LeavingCase(direct.DirectCase):
    async def test_leaving_target_gets_no_call(self):
        """Guards against calls to a target that announces its shutdown."""
        self.serve(configuration.RouteKind.IDEMPOTENT)
        near = await self.add(answer_with_header('Server-Leaving: 1', 'last'))
        await self.add(direct.whole('yes'), zone='far')
        answers = [(await self.ask())[1] for _ in range(CALLS)]
        self.assertEqual(b'last', answers[0])
        self.assertEqual({b'yes'}, set(answers[1:]))
        self.assertEqual(1, len(near.heads))

    async def test_last_target_leaves(self):
        """Guards against refusals while only a leaving target is left."""
        self.serve(configuration.RouteKind.IDEMPOTENT)
        await self.add(answer_with_header('Server-Leaving: 1', 'last'))
        self.assertEqual([200, 200], [(await self.ask())[0] for _ in range(2)])
        loop = asyncio.get_running_loop()
        self.known.get('t1').draining_since = (
            loop.time() - eligibility.DRAINING_GRACE_SECONDS
        )
        self.assertEqual(503, (await self.ask())[0])

    async def test_later_start(self):
        """Guards against treating a restarted target as leaving."""
        self.serve(configuration.RouteKind.IDEMPOTENT)
        await self.add(answer_with_header('Server-Leaving: 1', 'last'))
        await self.ask()
        left = self.known.get('t1').announcement
        later = attrs.evolve(left, born=left.born + 1)
        self.known.take(attrs.evolve(left, born=1, sequence=1))
        self.known.take(attrs.evolve(later, born=2))
        self.assertFalse(self.known.get('t1').draining_since)


class ProbeCase(unittest.TestCase):
    """Test the single probe call after a cooldown."""

    def test_one_call_first(self):
        """Guards against all calls returning when a cooldown ends."""
        cooldown = backpressure.Cooldown()
        self.assertTrue(cooldown.allows_call(1))
        cooldown.start(3, now=1)
        self.assertFalse(cooldown.allows_call(3.9))
        self.assertTrue(cooldown.allows_call(4))
        cooldown.record_sent(4)
        self.assertFalse(cooldown.allows_call(4.1))
        cooldown.record_accepted(4.2)
        self.assertTrue(cooldown.allows_call(4.2))

    def test_call_without_an_answer(self):
        """Guards against a target without calls after a lost probe."""
        cooldown = backpressure.Cooldown()
        cooldown.start(3, now=1)
        cooldown.record_sent(4)
        self.assertTrue(cooldown.allows_call(4 + backpressure.PROBE_SECONDS))

    def test_answer_to_an_earlier_call(self):
        """Guards against a cooldown ended by the answer to an earlier call."""
        cooldown = backpressure.Cooldown()
        cooldown.start(3, now=1)
        cooldown.record_accepted(2)
        self.assertFalse(cooldown.allows_call(2))

    def test_shorter_cooldown(self):
        """Guards against a cooldown cut short by a shorter one."""
        cooldown = backpressure.Cooldown()
        cooldown.start(3, now=1)
        cooldown.start(0.5, now=1.1)
        self.assertAlmostEqual(1.9, cooldown.remaining(2.1))

    def test_values(self):
        """Guards against invalid values of ``Retry-After``."""
        wanted = {
            '3': 3,
            '0.25': 0.25,
            '0': 0,
            '-4': 0,
            '': 0,
            'nan': 0,
            'inf': 0,
            '1e9': backpressure.MAX_RETRY_AFTER_SECONDS,
            'Fri, 06 Mar 2026 21:56:40 GMT': 0,
        }
        found = {text: backpressure.parse_retry_after(text) for text in wanted}
        self.assertEqual(wanted, found)
