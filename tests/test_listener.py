"""Check planned stops and the socket options of accepted connections."""

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


class DoneHandler(link.Handler):
    async def on_request(self, peer_link, request):
        return messages.Reply(done=messages.Done())


class RejectingHandler(DoneHandler):
    async def on_stream(self, peer_link, call, opening):
        call.finish(
            messages.CallEnd(call_id=call.call_id, ran=messages.Ran.NOT_RUN)
        )


class PlannedStopCase(unittest.IsolatedAsyncioTestCase):
    async def test_call_in_transit_is_rejected_as_not_run(self):
        """A call sent before its entry reads the closing notice is rejected
        as not run; closing at once would leave 'may have run'.
        """
        server = listener.Listener(options('b'), RejectingHandler())
        address = await server.start('127.0.0.1', 0)
        pool = link_pool.LinkPool(options('a'))
        peer_link = await pool.link(address)
        draining = asyncio.ensure_future(server.drain(0.2))
        call = peer_link.open(messages.OpenCall(call_id=b'c' * 16))
        self.assertIsNone(await call.receive_head())
        self.assertEqual(call.end.ran, messages.Ran.NOT_RUN)
        while not peer_link.peer_closing:
            await asyncio.sleep(0)
        with self.assertRaises(errors.LinkLost):
            peer_link.open(messages.OpenCall(call_id=b'd' * 16))
        await draining
        await peer_link.wait_closed()
        pool.close()


class SmallFramesCase(unittest.IsolatedAsyncioTestCase):
    async def test_accepted_connection_has_no_delay(self):
        """Accepted connections have TCP_NODELAY set; otherwise small replies
        wait for the peer's delayed acknowledgement.
        """
        server = listener.Listener(options('b'), DoneHandler())
        bound = listener.bind('127.0.0.1', 0)
        address = await server.start_on_socket(bound)
        pool = link_pool.LinkPool(options('a'))
        await pool.link(address)
        while not server.links:
            await asyncio.sleep(0)
        for accepted in server.links:
            used = accepted._writer.get_extra_info('socket')
            delay = used.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)
            self.assertNotEqual(delay, 0)
        pool.close()
        server.close()
