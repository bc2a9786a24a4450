"""Test that no answer that was broken off is taken for whole."""

import socket
import types

import aiohttp

from tamarackthread.shared import response_body
from tamarackthread.shared.site import site_metrics
from tests import direct_case

HALF = 'id: 1\ndata: e1\n\nid: 2\ndata: e'
UNFRAMED = response_body.Framing.CONNECTION
FRAMINGS = types.MappingProxyType(
    {
        response_body.Framing.LENGTH: 'Content-Length: {size}\r\n\r\n',
        response_body.Framing.CHUNKS: 'Transfer-Encoding: chunked\r\n\r\n',
        UNFRAMED: 'Connection: close\r\n\r\n',
    }
)


def ending(framing, text, *, is_reset=False, missing=0):
    """Send a body and end the connection ``missing`` bytes before its end."""

    async def script(target, head, writer):
        start = direct_case.head_of(target, head)
        start += FRAMINGS[framing].format(size=len(text) + missing)
        body = text.encode()
        if framing is response_body.Framing.CHUNKS:
            body = direct_case.chunk(text) if text else b''
            body += b'' if missing else b'0\r\n\r\n'
        writer.write(start.encode() + body)
        await writer.drain()
        if is_reset:
            raw = writer.get_extra_info('socket')
            raw.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, direct_case.RESET
            )
            writer.transport.abort()
        writer.close()

    return script


class SightCase(direct_case.DirectCase):
    async def test_failed_try_tells_how_its_answer_ended(self):
        """Guards against a broken answer whose log line says nothing of it."""
        self.serve(direct_case.STREAM)
        await self.add(ending(UNFRAMED, HALF, is_reset=True))
        logged = self.enterContext(self.assertLogs('tamarackthread.entry'))
        before = self.counted('connection', 'reset')
        with self.assertRaises(aiohttp.ClientError):
            await self.ask()
        tries = [row for row in logged.records if row.event == 'try_failed']
        fields = tries[0].fields
        self.assertEqual('connection', fields['framing'])
        self.assertEqual('reset', fields['ending'])
        self.assertEqual(len(HALF), fields['body_bytes'])
        self.assertEqual(1, fields['events'])
        self.assertEqual(13, fields['partial_event_bytes'])
        self.assertEqual(before + 1, self.counted('connection', 'reset'))

    def counted(self, framing, how):
        counter = site_metrics.ANSWERS_ENDED.labels('s', framing, how)
        return counter._value.get()


class CutStreamCase(direct_case.DirectCase):
    async def test_stream_closed_inside_an_event_is_broken_visibly(self):
        """Guards against a cut stream that its caller takes for complete."""
        self.serve(direct_case.STREAM)
        await self.add(ending(UNFRAMED, HALF))
        with self.assertRaises(aiohttp.ClientError):
            await self.ask()

    async def test_stream_closed_inside_an_event_is_resumed(self):
        """Guards against a cut stream that is not resumed elsewhere."""
        self.serve(direct_case.STREAM, is_resumable=True)
        await self.add(ending(UNFRAMED, HALF))
        second = await self.add(
            direct_case.streaming(1, 3, is_whole=True), zone='far'
        )
        wanted = ''.join(f'id: {no}\ndata: e{no}\n\n' for no in range(1, 4))
        self.assertEqual((200, wanted.encode()), (await self.ask())[:2])
        self.assertEqual(
            '1', direct_case.header(second.heads[0], 'Last-Event-Id')
        )
