"""Prove that targets get from an entry what their answers ask for.

What was seen: a target of a plain service refused calls, asked an entry for
some seconds of rest, and had several more calls from it in that time.  How it
came about: all targets of the service were slow and its least loaded one, the
one that refused, was chosen again at once.  Cause: the entry took a refusal
for the answer to one call, and no part of it read what the same head said of
calls to come.  Proof: the first case here, in which six calls of six went to
the target, and one since its rest is kept with its start and every choice of
a target goes by it.
"""

import asyncio
import unittest

import attrs

from tamarackthread.entry.direct import eligibility
from tamarackthread.policy import backpressure
from tamarackthread.shared.site import configuration
from tests import direct_case as direct

CALLS = 6


def asking_for_rest(seconds):
    """Refuse calls unrun and ask for rest."""

    async def script(target, head, writer):
        writer.write(
            'HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\nRetry-After: '
            f'{seconds}\r\nContent-Length: 0\r\n\r\n'.encode()
        )

    return script


class RestCase(direct.DirectCase):
    async def test_resting_target_gets_no_call(self):
        """Guards against calls to a target that has asked for rest."""
        self.serve(configuration.RouteKind.IDEMPOTENT)
        resting = await self.add(asking_for_rest(300))
        sound = await self.add(direct.whole('yes'), zone='far')
        for _ in range(CALLS):
            self.assertEqual((200, b'yes'), (await self.ask())[:2])
        self.assertEqual((1, CALLS), (len(resting.heads), len(sound.heads)))

    async def test_all_rest(self):
        """Guards against callers that wait, or return, while all rest."""
        self.serve(configuration.RouteKind.ONCE)
        resting = [await self.add(asking_for_rest(30)) for _ in range(2)]
        self.assertEqual(503, (await self.ask())[0])
        status, body, headers = await self.ask()
        self.assertEqual(503, status)
        self.assertIn(b'TT7215', body)
        self.assertGreater(float(headers['Retry-After']), 25)
        self.assertEqual([1, 1], [len(fake.heads) for fake in resting])

    async def test_answer_of_another_target(self):
        """Guards against rest for a target whose address another one has."""
        self.serve(configuration.RouteKind.ONCE)

        async def another(target, head, writer):
            writer.write(
                b'HTTP/1.1 421 No\r\nServer-Leaving: 1\r\n'
                b'Content-Length: 0\r\n\r\n'
            )

        await self.add(another)
        await self.add(direct.whole('yes'), zone='far')
        self.assertEqual(200, (await self.ask())[0])
        self.assertEqual(
            backpressure.NONE, self.known.get('t1').last_backpressure
        )


def naming(header, text):
    """Answer with a whole body and one header more."""

    async def script(target, head, writer):
        start = direct.head_of(target, head)
        writer.write(
            f'{start}{header}\r\nContent-Length: {len(text)}\r\n'
            f'\r\n{text}'.encode()
        )

    return script


class LeavingCase(direct.DirectCase):
    async def test_leaving_target_gets_no_call(self):
        """Guards against calls to a target whose answers say it leaves."""
        self.serve(configuration.RouteKind.IDEMPOTENT)
        near = await self.add(naming('Server-Leaving: 1', 'last'))
        await self.add(direct.whole('yes'), zone='far')
        answers = [(await self.ask())[1] for _ in range(CALLS)]
        self.assertEqual(b'last', answers[0])
        self.assertEqual({b'yes'}, set(answers[1:]))
        self.assertEqual(1, len(near.heads))

    async def test_last_target_leaves(self):
        """Guards against refusals while only a target that leaves is there."""
        self.serve(configuration.RouteKind.IDEMPOTENT)
        await self.add(naming('Server-Leaving: 1', 'last'))
        self.assertEqual([200, 200], [(await self.ask())[0] for _ in range(2)])
        loop = asyncio.get_running_loop()
        self.known.get('t1').draining_since = (
            loop.time() - eligibility.DRAINING_GRACE_SECONDS
        )
        self.assertEqual(503, (await self.ask())[0])

    async def test_later_start(self):
        """Guards against holding a later start for one that leaves."""
        self.serve(configuration.RouteKind.IDEMPOTENT)
        await self.add(naming('Server-Leaving: 1', 'last'))
        await self.ask()
        left = self.known.get('t1').announcement
        later = attrs.evolve(left, born=left.born + 1)
        self.known.take(attrs.evolve(left, born=1, sequence=1))
        self.known.take(attrs.evolve(later, born=2))
        self.assertFalse(self.known.get('t1').draining_since)


class ReturnCase(unittest.TestCase):
    """Answer the load in which all callers of a target return at once."""

    def test_one_call_first(self):
        """Guards against all calls at the moment at which a rest is over."""
        rest = backpressure.Cooldown()
        self.assertTrue(rest.allows_call(1))
        rest.start(3, now=1)
        self.assertFalse(rest.allows_call(3.9))
        self.assertTrue(rest.allows_call(4))
        rest.record_sent(4)
        self.assertFalse(rest.allows_call(4.1))
        rest.record_accepted(4.2)
        self.assertTrue(rest.allows_call(4.2))

    def test_call_without_an_answer(self):
        """Guards against a target that gets nothing more after a lost call."""
        rest = backpressure.Cooldown()
        rest.start(3, now=1)
        rest.record_sent(4)
        self.assertTrue(rest.allows_call(4 + backpressure.PROBE_SECONDS))

    def test_answer_to_an_earlier_call(self):
        """Guards against a rest that ends when an earlier call is answered."""
        rest = backpressure.Cooldown()
        rest.start(3, now=1)
        rest.record_accepted(2)
        self.assertFalse(rest.allows_call(2))

    def test_shorter_rest(self):
        """Guards against a rest cut short by a shorter one."""
        rest = backpressure.Cooldown()
        rest.start(3, now=1)
        rest.start(0.5, now=1.1)
        self.assertAlmostEqual(1.9, rest.remaining(2.1))

    def test_values(self):
        """Guards against values that would end or never end a rest."""
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
