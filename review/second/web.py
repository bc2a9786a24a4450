"""Speak plain HTTP/1.1 with the standard library, byte for byte."""

from __future__ import annotations

import asyncio
import dataclasses
import json
import typing

SECONDS = 5.0
OK = 200
HEAD_END = b'\r\n\r\n'
READ_BYTES = 65536
_ENDINGS = (EOFError, OSError, ValueError, asyncio.LimitOverrunError)


@dataclasses.dataclass
class Message:
    """A request or an answer: its first line, headers and body."""

    start: str = ''
    headers: list[tuple[str, str]] = dataclasses.field(default_factory=list)
    body: bytes = b''

    @property
    def status(self) -> int:
        """Return an answer's status, 0 if there was none."""
        words = self.start.split(' ')
        is_answer = len(words) > 1 and words[0].startswith('HTTP/')
        return int(words[1]) if is_answer else 0

    @property
    def method(self) -> str:
        """Return a request's method."""
        return self.start.split(' ')[0]

    @property
    def target(self) -> str:
        """Return a request's path and query as sent."""
        return self.start.split(' ')[1]

    def get(self, name: str) -> str | None:
        """Return a header's value, ``None`` without it."""
        for key, value in self.headers:
            if key.lower() == name.lower():
                return value
        return None


async def read_message(reader: asyncio.StreamReader) -> Message:
    """Read one request or answer that has a length or chunks."""
    message = await read_head(reader)
    coding = message.get('Transfer-Encoding') or ''
    if 'chunked' in coding.lower():
        message.body = await _read_chunks(reader)
        return message
    size = int(message.get('Content-Length') or 0)
    message.body = await reader.readexactly(size)
    return message


async def read_head(reader: asyncio.StreamReader) -> Message:
    """Read the first line and the headers."""
    head = await reader.readuntil(HEAD_END)
    lines = head.decode('latin-1').split('\r\n')
    headers = []
    for line in lines[1:]:
        name, found, value = line.partition(':')
        if found:
            headers.append((name, value.strip()))
    return Message(lines[0], headers)


async def _read_chunks(reader: asyncio.StreamReader) -> bytes:
    parts = []
    while True:
        line = await reader.readuntil(b'\r\n')
        size = int(line.split(b';')[0], 16)
        parts.append(await reader.readexactly(size))
        await reader.readuntil(b'\r\n')
        if not size:
            return b''.join(parts)


def encode(
    start: str, headers: typing.Iterable[tuple[str, str]], body: bytes = b''
) -> bytes:
    """Write a request or an answer; the headers are used as they are."""
    lines = [start, *(f'{name}: {value}' for name, value in headers)]
    return '\r\n'.join(lines).encode('latin-1') + HEAD_END + body


async def exchange(
    address: str, request: bytes, seconds: float = SECONDS
) -> Message:
    """Send a request on a new connection; no answer gives status 0."""
    host, _, port = address.rpartition(':')
    writer = None
    try:
        async with asyncio.timeout(seconds):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(request)
            return await read_message(reader)
    except _ENDINGS as exc:
        return Message(f'no answer: {type(exc).__name__}')
    finally:
        if writer is not None:
            writer.close()


class Kept:
    """A connection that a client keeps open between its requests."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Wrap an open connection."""
        self._reader = reader
        self._writer = writer

    async def exchange(self, request: bytes, seconds: float) -> Message:
        """Send a request; no answer gives status 0."""
        try:
            async with asyncio.timeout(seconds):
                self._writer.write(request)
                return await read_message(self._reader)
        except _ENDINGS as exc:
            return Message(f'no answer: {type(exc).__name__}')

    def close(self) -> None:
        """Close the connection."""
        self._writer.close()


async def keep(address: str) -> Kept:
    """Open a connection."""
    host, _, port = address.rpartition(':')
    return Kept(*await asyncio.open_connection(host, int(port)))


async def post(address: str, path: str, body: dict[str, object]) -> Message:
    """Post a JSON object and return the answer."""
    encoded = json.dumps(body).encode()
    headers = [
        ('Host', address),
        ('Content-Type', 'application/json'),
        ('Content-Length', str(len(encoded))),
        ('Connection', 'close'),
    ]
    request = encode(f'POST {path} HTTP/1.1', headers, encoded)
    return await exchange(address, request, seconds=1)
