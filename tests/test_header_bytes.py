"""Test that header values pass byte for byte, also if they are no UTF-8."""

from __future__ import annotations

import asyncio
from unittest import mock

from tamarackthread.shared import header_bytes
from tests import direct_case

# In UTF-8, in ISO 8859-1, and no text at all.
VALUES = ('Wörgl'.encode(), 'Wörgl'.encode('latin-1'), b'\xff\xfe \x80')


class EchoingTarget(direct_case.FakeTarget):
    """Answer with the note that the request has."""

    async def _serve(self, reader, writer):
        head = await reader.readuntil(b'\r\n\r\n')
        note = note_of(head)
        start = direct_case.head_of(self, head.decode(errors='replace'))
        writer.write(
            start.encode()
            + b'X-Note: '
            + note
            + b'\r\nContent-Length: 2\r\n\r\nok'
        )


class HeaderBytesCase(direct_case.DirectCase):
    """Send header values through an entry and back."""

    async def test_values_pass_unchanged(self):
        """Guards against bytes of a header that are dropped on the way."""
        self.serve(direct_case.ONCE)
        self.enterContext(
            mock.patch.object(direct_case, 'FakeTarget', EchoingTarget)
        )
        await self.add(None)
        for value in VALUES:
            with self.subTest(value=value):
                self.assertEqual(value, await self._echo(value))

    async def test_line_breaks_are_refused(self):
        """Guards against a value that begins another header."""
        for value in ('ü\r\nTenant: b', 'ü\nx', 'ü\0'):
            with self.assertRaises(ValueError):
                header_bytes.serialize('GET / HTTP/1.1', {'X-Note': value})

    async def _echo(self, value):
        host, port = self.address.split(':')
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(
            b'GET /a/b HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: c1\r\n'
            b'Authorization: Bearer secret\r\nDeadline-Ms: 4000\r\n'
            b'Connection: close\r\nX-Note: ' + value + b'\r\n\r\n'
        )
        answer = await reader.read()
        writer.close()
        return note_of(answer)


def note_of(head):
    """Return the value of the header X-Note of a request or an answer."""
    for line in head.split(b'\r\n'):
        name, _, value = line.partition(b': ')
        if name == b'X-Note':
            return value
    return b''
