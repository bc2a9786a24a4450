"""Read bodies of requests within the bounds of their server."""

from __future__ import annotations

import collections.abc
import contextlib

from aiohttp import web

from tamarackthread.shared import bounded_protocol, connection_table, errors

# A body is held once as it is read, and once more as it is passed on.
COPIES = 2
# Many arrays that grow side by side would be copied again and again, and leave the
# heap full of holes.
PIECE_BYTES = 32 << 10
_Phase = connection_table.Phase
_BODY = connection_table.Purpose.BODY


class BodyOverLimit(errors.CodedError):
    """Request body exceeds the limit of the configuration."""

    code = 'TT7211'
    status = 413


async def read(request: web.BaseRequest, max_bytes: int) -> bytes:
    """Read a body, which its connection holds until ``releasing`` ends.

    Raises ``BodyOverLimit`` as soon as it is known to be too long, and
    ``OutOfRoom`` if it would have to be held at the cost of others.
    """
    if request.content.at_eof():
        return b''
    if (request.content_length or 0) > max_bytes:
        raise BodyOverLimit(f'at most {max_bytes} bytes')
    connection = bounded_protocol.connection_of(request)
    connection.enter(_Phase.BODY)
    pieces: list[bytes] = []
    try:
        await _read_pieces(request, max_bytes, pieces)
        return b''.join(pieces)
    finally:
        # The traceback of an error would keep them until garbage is collected.
        pieces.clear()
        connection.enter(_Phase.CALL)


async def _read_pieces(
    request: web.BaseRequest, max_bytes: int, pieces: list[bytes]
) -> None:
    connection = bounded_protocol.connection_of(request)
    newest = bytearray()
    size = 0
    while not request.content.at_eof():
        newest += await request.content.readany()
        if size + len(newest) > max_bytes:
            raise BodyOverLimit(f'at most {max_bytes} bytes')
        connection.hold(_BODY, COPIES * (size + len(newest)))
        if len(newest) < PIECE_BYTES:
            continue
        pieces.append(bytes(newest))
        size += len(newest)
        newest.clear()
    pieces.append(bytes(newest))


@contextlib.contextmanager
def releasing(request: web.BaseRequest) -> collections.abc.Iterator[None]:
    """Free what a request's body holds at the end of the block."""
    try:
        yield
    finally:
        bounded_protocol.connection_of(request).hold(_BODY, 0)
