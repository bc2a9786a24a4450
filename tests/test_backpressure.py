"""Prove that targets get from an entry what their answers ask for.

What was seen: a target of a plain service refused calls, asked an entry for
some seconds of rest, and had several more calls from it in that time.  How it
came about: all targets of the service were slow and its least loaded one, the
one that refused, was chosen again at once.  Cause: the entry took a refusal
for the answer to one call, and no part of it read what the same head said of
calls to come.  Proof: lines of failed tries that show a rest of three seconds
asked for, and nothing that keeps calls away.
"""

from tamarackthread.shared.site import configuration
from tests import test_direct_calls as direct

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
        self.serve(configuration.Kind.IDEMPOTENT)
        resting = await self.add(asking_for_rest(300))
        sound = await self.add(direct.whole('yes'), zone='far')
        for _ in range(CALLS):
            self.assertEqual((200, b'yes'), (await self.ask())[:2])
        self.assertEqual((1, CALLS), (len(resting.heads), len(sound.heads)))
