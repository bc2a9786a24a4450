"""Prove that links and streams keep calls apart and notice silence."""

import asyncio
import unittest
import unittest.mock

from tamarackthread.generated.messages import ttypes as messages
from tamarackthread.shared import (
    errors,
    identity,
    link,
    link_pool,
    listener,
    wire,
)

KEY = b'k' * 32
CALL = b'c' * 16


def options(node, key=KEY, **limits):
    return identity.LinkOptions(
        identity.Identity(node=node, role=messages.Role.ENTRY),
        keys=(key,),
        **limits,
    )


class Echo(link.Handler):
    async def on_request(self, held, request):
        if request.status is None:
            raise errors.RequestUnsupported
        return messages.Reply(
            done=messages.Done(value=request.status.revision),
        )

    async def on_stream(self, held, call, opening):
        call.send_head(messages.CallHead(call_id=call.call_id, status=200))
        received = await call.receive()
        while received is not None:
            await call.send(received)
            received = await call.receive()
        call.finish(messages.CallEnd(call_id=call.call_id, events=1))


class LinkCase(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.listener = listener.Listener(options('b'), Echo())
        self.address = await self.listener.start('127.0.0.1', 0)
        self.peers = link_pool.LinkPool(options('a'))

    async def asyncTearDown(self):
        self.peers.close()
        self.listener.close()
        await asyncio.sleep(0)

    async def test_request_and_coded_failure(self):
        request = messages.Request(status=messages.StatusRequest(revision=7))
        reply = await self.peers.request(self.address, request, 5)
        self.assertEqual(reply.done.value, 7)
        with self.assertRaises(errors.RequestUnsupported):
            await self.peers.request(self.address, messages.Request(), 5)

    async def test_stream_larger_than_window(self):
        held = await self.peers.link(self.address)
        call = held.open(messages.OpenCall(call_id=CALL))
        sent = bytes(range(256)) * 8000
        sending = asyncio.ensure_future(call.send(sent))
        received = bytearray()
        while len(received) < len(sent):
            received += await call.receive()
        await sending
        call.finish(messages.CallEnd(call_id=CALL))
        self.assertIsNone(await call.receive())
        self.assertEqual(bytes(received), sent)
        self.assertEqual(held.open_streams, 0)

    async def test_slow_reader_holds_back_only_itself(self):
        """A caller that does not read sees nothing lost, later.

        Its stream fills its window and its sender waits; another stream on
        the same link goes on, because credit is counted for each stream.
        """
        held = await self.peers.link(self.address)
        slow = held.open(messages.OpenCall(call_id=CALL))
        blocked = asyncio.ensure_future(slow.send(b'x' * 4_000_000))
        quick = held.open(messages.OpenCall(call_id=b'd' * 16))
        await quick.send(b'hello')
        self.assertEqual(await quick.receive(), b'hello')
        self.assertFalse(blocked.done())
        blocked.cancel()

    async def test_wrong_key_is_refused(self):
        stranger = link_pool.LinkPool(options('x', key=b'z' * 32))
        with self.assertRaises(errors.CodedError):
            await stranger.link(self.address)
        stranger.close()

    async def test_nonsense_drops_only_its_sender(self):
        """A peer that speaks nonsense is dropped; others notice nothing.

        The stranger sends bytes that are no greeting and is closed, while
        an open link goes on answering.
        """
        held = await self.peers.link(self.address)
        host, port = self.address.split(':')
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(b'\xff' * 64)
        await reader.read()
        writer.close()
        request = messages.Request(status=messages.StatusRequest(revision=1))
        await held.request(request, 5)

    async def test_lost_link_breaks_waiting_stream(self):
        held = await self.peers.link(self.address)
        call = held.open(messages.OpenCall(call_id=CALL))
        await call.receive_head()
        self.listener.close()
        with self.assertRaises(errors.StreamBroken):
            await call.receive()


class StreamIdentityCase(unittest.IsolatedAsyncioTestCase):
    """Feed a stream frames that a faulty path doubled or mixed up."""

    def setUp(self):
        self.call = None

    async def asyncSetUp(self):
        self.sink = unittest.mock.Mock()
        self.call = link.stream.Stream(self.sink, 1, CALL, 1000)
        self.tag = link.stream.frame_tag(CALL)

    def data(self, sequence, payload, tag=None):
        found = self.tag if tag is None else tag
        return wire.Frame(wire.Kind.DATA, 1, sequence, found, payload)

    async def test_doubled_frame_is_dropped(self):
        self.call.accept(self.data(0, b'a'))
        self.call.accept(self.data(0, b'a'))
        self.call.accept(self.data(1, b'b'))
        self.assertEqual(await self.call.receive(), b'ab')

    async def test_frame_of_another_call_breaks(self):
        """A caller never sees the bytes of another caller's answer.

        A frame under our stream's number but with another call's tag comes;
        the stream breaks visibly before the bytes are taken.
        """
        self.call.accept(self.data(0, b'theirs', tag=5))
        with self.assertRaises(errors.StreamBroken):
            await self.call.receive()

    async def test_missing_frame_breaks(self):
        self.call.accept(self.data(1, b'b'))
        with self.assertRaises(errors.StreamBroken):
            await self.call.receive()
