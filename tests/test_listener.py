"""Prove that accepted connections send small frames at once."""

import asyncio
import socket
import unittest

from tamarackthread.generated.messages import ttypes as messages
from tamarackthread.shared import errors, identity, link, link_pool, listener

KEY = b'k' * 32


def options(node):
    return identity.LinkOptions(
        identity.Identity(node=node, role=messages.Role.ENTRY),
        keys=(KEY,),
    )


class Quiet(link.Handler):
    async def on_request(self, held, request):
        return messages.Reply(done=messages.Done())


class Refusing(Quiet):
    async def on_stream(self, held, call, opening):
        call.finish(
            messages.CallEnd(call_id=call.call_id, ran=messages.Ran.NOT_RUN)
        )


class PlannedStopCase(unittest.IsolatedAsyncioTestCase):
    async def test_call_on_its_way_is_refused_and_not_cut(self):
        """The caller of an order at a stopping agent is told 'not run'.

        The entry sends the call before it has read that the agent closes.
        The link was then cut at once, with the order's bytes gone and no
        answer: 'may have run', by nothing but a planned restart.
        """
        served = listener.Listener(options('b'), Refusing())
        address = await served.start('127.0.0.1', 0)
        dialler = link_pool.LinkPool(options('a'))
        held = await dialler.link(address)
        parting = asyncio.ensure_future(served.drain(0.2))
        call = held.open(messages.OpenCall(call_id=b'c' * 16))
        self.assertIsNone(await call.receive_head())
        self.assertEqual(call.end.ran, messages.Ran.NOT_RUN)
        while not held.peer_closing:
            await asyncio.sleep(0)
        with self.assertRaises(errors.LinkLost):
            held.open(messages.OpenCall(call_id=b'd' * 16))
        await parting
        await held.wait_closed()
        dialler.close()


class SmallFramesCase(unittest.IsolatedAsyncioTestCase):
    async def test_accepted_connection_has_no_delay(self):
        """Callers wait for their answer and not for an acknowledgement.

        The socket was bound without the protocol's number.  The connections
        accepted on it then held back each small reply until the peer's
        delayed acknowledgement came, some 40 ms later.
        """
        served = listener.Listener(options('b'), Quiet())
        bound = listener.bind('127.0.0.1', 0)
        address = await served.start_on_socket(bound)
        dialler = link_pool.LinkPool(options('a'))
        await dialler.link(address)
        while not served.links:
            await asyncio.sleep(0)
        for accepted in served.links:
            used = accepted._writer.get_extra_info('socket')
            delay = used.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)
            self.assertNotEqual(delay, 0)
        dialler.close()
        served.close()
