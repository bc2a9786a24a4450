"""Test that no answer that was broken off is taken for whole."""

import asyncio
import socket

from tamarackthread.shared import response_body
from tamarackthread.shared.site import site_metrics
from tests import direct_case

HALF = 'id: 1\ndata: e1\n\nid: 2\ndata: e'
FRAMINGS = {
    response_body.Framing.LENGTH: 'Content-Length: {size}\r\n\r\n',
    response_body.Framing.CHUNKS: 'Transfer-Encoding: chunked\r\n\r\n',
    response_body.Framing.CONNECTION: 'Connection: close\r\n\r\n',
}


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
        unframed = response_body.Framing.CONNECTION
        await self.add(ending(unframed, HALF, is_reset=True))
        logged = self.enterContext(self.assertLogs('tamarackthread.entry'))
        before = self.counted('connection', 'reset')
        with self.assertRaises(direct_case.aiohttp.ClientError):
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
