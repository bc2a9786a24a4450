"""Speak HTTP/1.1 over streams, as far as the stand-ins need it."""

from __future__ import annotations

import asyncio
import typing

Rows = list[tuple[str, str]]
_BROKEN = (asyncio.IncompleteReadError, OSError, ValueError)


class Answer(typing.NamedTuple):
    """An HTTP answer; ``is_whole`` unless it broke off."""

    status: int
    headers: dict[str, str]
    body: bytes
    is_whole: bool


async def read_head(reader: asyncio.StreamReader) -> tuple[str, Rows]:
    """Read a start line and headers; raise ``EOFError`` without any."""
    start = await reader.readline()
    if not start:
        raise EOFError
    headers = []
    while True:
        line = (await reader.readline()).decode('latin-1').rstrip('\r\n')
        if not line:
            break
        name, _, text = line.partition(':')
        headers.append((name, text.strip()))
    return start.decode('latin-1').rstrip('\r\n'), headers


async def read_body(
    reader: asyncio.StreamReader, headers: dict[str, str], *, to_end: bool
) -> tuple[bytes, bool]:
    """Read a body; return it and whether it is whole."""
    try:
        return await _read_framed(reader, headers, to_end=to_end), True
    except _BROKEN:
        return b'', False


async def _read_framed(
    reader: asyncio.StreamReader, headers: dict[str, str], *, to_end: bool
) -> bytes:
    if 'transfer-encoding' in headers:
        return await _read_chunks(reader)
    size = headers.get('content-length')
    if size is not None:
        return await reader.readexactly(int(size))
    return await reader.read() if to_end else b''


async def _read_chunks(reader: asyncio.StreamReader) -> bytes:
    parts = []
    while True:
        size = int((await reader.readline()).strip() or b'x', 16)
        parts.append(await reader.readexactly(size))
        await reader.readexactly(2)
        if not size:
            return b''.join(parts)


async def ask(
    address: str,
    method: str,
    path: str,
    body: bytes = b'',
    headers: typing.Sequence[tuple[str, str]] = (),
) -> Answer:
    """Send one request on a new connection and read its answer."""
    host, _, port = address.rpartition(':')
    reader, writer = await asyncio.open_connection(host, int(port))
    rows = dict(headers)
    rows.setdefault('Host', address)
    rows['Content-Length'] = str(len(body))
    try:
        return await _exchange(reader, writer, f'{method} {path}', rows, body)
    finally:
        writer.close()


async def _exchange(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    start: str,
    rows: dict[str, str],
    body: bytes,
) -> Answer:
    head = ''.join(f'{name}: {text}\r\n' for name, text in rows.items())
    writer.write(f'{start} HTTP/1.1\r\n{head}\r\n'.encode())
    writer.write(body)
    await writer.drain()
    answer_start, answer_rows = await read_head(reader)
    found = {name.lower(): text for name, text in answer_rows}
    received, is_whole = await read_body(reader, found, to_end=True)
    return Answer(int(answer_start.split(' ')[1]), found, received, is_whole)
