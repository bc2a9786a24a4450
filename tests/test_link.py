"""Check that links isolate streams from each other and detect faults."""

import asyncio
import unittest
import unittest.mock

from tamarackthread.generated.messages import ttypes as messages
from tamarackthread.shared import (
    errors,
    faults,
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
    async def on_request(self, peer_link, request):
        if request.status is None:
            raise errors.RequestUnsupported
        return messages.Reply(
            done=messages.Done(value=request.status.revision),
        )

    async def on_stream(self, peer_link, call, opening):
        call.send_head(messages.CallHead(call_id=call.call_id, status=200))
        received = await call.receive()
        while received is not None:
            await call.send(received)
            received = await call.receive()
        call.finish(messages.CallEnd(call_id=call.call_id, events=1))


class LoopbackCase(unittest.IsolatedAsyncioTestCase):
    handler = Echo

    async def asyncSetUp(self):
        self.listener = listener.Listener(options('b'), self.handler())
        self.address = await self.listener.start('127.0.0.1', 0)
        self.pool = link_pool.LinkPool(options('a'))

    async def asyncTearDown(self):
        self.pool.close()
        self.listener.close()
        await asyncio.sleep(0)


class LinkCase(LoopbackCase):
    async def test_request_and_coded_failure(self):
        request = messages.Request(status=messages.StatusRequest(revision=7))
        reply = await self.pool.request(self.address, request, 5)
        self.assertEqual(reply.done.value, 7)
        with self.assertRaises(errors.RequestUnsupported):
            await self.pool.request(self.address, messages.Request(), 5)

    async def test_stream_larger_than_window(self):
        peer_link = await self.pool.link(self.address)
        call = peer_link.open(messages.OpenCall(call_id=CALL))
        sent = bytes(range(256)) * 8000
        sending = asyncio.ensure_future(call.send(sent))
        received = bytearray()
        while len(received) < len(sent):
            received += await call.receive()
        await sending
        call.finish(messages.CallEnd(call_id=CALL))
        self.assertIsNone(await call.receive())
        self.assertEqual(bytes(received), sent)
        self.assertEqual(peer_link.open_streams, 0)

    async def test_slow_reader_blocks_only_itself(self):
        """A slow reader blocks only its own stream; other streams on the link
        have credit of their own.
        """
        peer_link = await self.pool.link(self.address)
        slow = peer_link.open(messages.OpenCall(call_id=CALL))
        blocked = asyncio.ensure_future(slow.send(b'x' * 4_000_000))
        other = peer_link.open(messages.OpenCall(call_id=b'd' * 16))
        await other.send(b'hello')
        self.assertEqual(await other.receive(), b'hello')
        self.assertFalse(blocked.done())
        blocked.cancel()

    async def test_wrong_key_is_refused(self):
        stranger = link_pool.LinkPool(options('x', key=b'z' * 32))
        with self.assertRaises(errors.CodedError):
            await stranger.link(self.address)
        stranger.close()

    async def test_malformed_greeting_drops_only_its_sender(self):
        """A peer that sends a malformed greeting is disconnected; an open link
        still answers requests.
        """
        peer_link = await self.pool.link(self.address)
        host, port = self.address.split(':')
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(b'\xff' * 64)
        await reader.read()
        writer.close()
        request = messages.Request(status=messages.StatusRequest(revision=1))
        await peer_link.request(request, 5)

    async def test_lost_link_breaks_waiting_stream(self):
        peer_link = await self.pool.link(self.address)
        call = peer_link.open(messages.OpenCall(call_id=CALL))
        await call.receive_head()
        self.listener.close()
        with self.assertRaises(errors.StreamBroken):
            await call.receive()


class FaultyAnswers(Echo):
    """Answer some requests with replies that can not be sent."""

    async def on_request(self, peer_link, request):
        if request.status.revision == 1:
            return messages.Reply(failure=messages.Failure(code='\ud83d'))
        if request.status.revision == 2:
            return messages.Reply(
                failure=messages.Failure(code='x' * wire.MAX_PAYLOAD_BYTES)
            )
        if request.status.revision == 3:
            raise errors.RequestUnsupported('\ud83d')
        return await super().on_request(peer_link, request)


class FaultCase(LoopbackCase):
    handler = FaultyAnswers

    def setUp(self):
        self.faults_before = faults.count(faults.Part.LINK)

    async def test_unsendable_reply_is_answered(self):
        """Guards against a request without any reply, and faults not counted."""
        with self.assertLogs('tamarackthread.faults', 'ERROR'):
            for revision in (1, 2):
                with self.assertRaises(errors.PeerFailure):
                    await self._ask(revision)
        self.assertEqual(2, self._new_faults())
        reply = await self._ask(4)
        self.assertEqual(4, reply.done.value)

    async def test_unsendable_text_of_an_error(self):
        """Guards against a coded error that is lost for the text it quotes."""
        with self.assertRaises(errors.RequestUnsupported):
            await self._ask(3)
        self.assertEqual(0, self._new_faults())

    async def test_task_that_fails_closes_its_link(self):
        """Guards against a link that looks alive although nobody reads it."""
        peer_link = await self.pool.link(self.address)
        with self.assertLogs('tamarackthread.faults', 'ERROR'):
            peer_link.spawn(self._fail())
            await peer_link.wait_closed()

    async def _fail(self):
        raise LookupError

    def _new_faults(self):
        return faults.count(faults.Part.LINK) - self.faults_before

    async def _ask(self, revision):
        request = messages.Request(
            status=messages.StatusRequest(revision=revision)
        )
        return await self.pool.request(self.address, request, 5)


class StreamIdentityCase(unittest.IsolatedAsyncioTestCase):
    """Give a stream duplicate, missing and misdirected frames."""

    def setUp(self):
        self.call = None

    async def asyncSetUp(self):
        self.sink = unittest.mock.Mock()
        self.call = link.stream.Stream(self.sink, 1, CALL, 1000)
        self.tag = link.stream.frame_tag(CALL)

    def data(self, sequence, payload, tag=None):
        frame_tag = self.tag if tag is None else tag
        return wire.Frame(wire.Kind.DATA, 1, sequence, frame_tag, payload)

    async def test_duplicate_frame_is_dropped(self):
        self.call.accept(self.data(0, b'a'))
        self.call.accept(self.data(0, b'a'))
        self.call.accept(self.data(1, b'b'))
        self.assertEqual(await self.call.receive(), b'ab')

    async def test_frame_of_another_call_breaks(self):
        """A frame with the tag of another call breaks the stream before its
        bytes reach the caller.
        """
        self.call.accept(self.data(0, b'theirs', tag=5))
        with self.assertRaises(errors.StreamBroken):
            await self.call.receive()

    async def test_missing_frame_breaks(self):
        self.call.accept(self.data(1, b'b'))
        with self.assertRaises(errors.StreamBroken):
            await self.call.receive()
