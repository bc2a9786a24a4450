"""Prove that accepted connections send small frames at once."""

import asyncio
import socket
import unittest

from tamarackthread.generated.messages import ttypes as messages
from tamarackthread.shared import identity, link, listener, peers

KEY = b'k' * 32


def options(node):
    return identity.LinkOptions(
        identity.Identity(node=node, role=messages.Role.ENTRY),
        keys=(KEY,),
    )


class Quiet(link.Handler):
    async def on_request(self, held, request):
        return messages.Reply(done=messages.Done())


class SmallFramesCase(unittest.IsolatedAsyncioTestCase):
    async def test_accepted_connection_has_no_delay(self):
        """Callers wait for their answer and not for an acknowledgement.

        The socket was bound without the protocol's number.  The connections
        accepted on it then held back each small reply until the peer's
        delayed acknowledgement came, some 40 ms later.
        """
        served = listener.Listener(options('b'), Quiet())
        bound = listener.bind('127.0.0.1', 0)
        address = await served.start_on(bound)
        dialler = peers.Peers(options('a'))
        await dialler.link(address)
        while not served.links:
            await asyncio.sleep(0)
        for accepted in served.links:
            used = accepted._writer.get_extra_info('socket')
            delay = used.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)
            self.assertNotEqual(delay, 0)
        dialler.close()
        served.close()
