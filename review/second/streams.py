"""A model replica of few slots that answers with streams of events."""

from __future__ import annotations

import asyncio

from review.second import replica, web

# Streams of 70 tokens, five in an event, at pauses shorter than 120 ms.
EVENTS = 14
PAUSE_SECONDS = 0.1
SLOTS = 2
# Twice the slots, as the replicas of the users' sheets have.
QUEUED = 4


class Engine:
    """The slots of one replica."""

    def __init__(self) -> None:
        """Start idle."""
        self._slots = asyncio.Semaphore(SLOTS)
        self._waiting = 0

    async def answer(
        self,
        served_by: replica.Replica,
        request: web.Message,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Stream an answer, wait for a slot first, or refuse if it is full."""
        if self._slots.locked() and self._waiting >= QUEUED:
            served_by.ran.pop()
            refusal = [('Not-Executed', '1')]
            writer.write(served_by.encode(request, 503, b'', refusal))
            return True
        self._waiting += 1
        try:
            await self._slots.acquire()
        finally:
            self._waiting -= 1
        try:
            await _stream(served_by, request, writer)
        finally:
            self._slots.release()
        return True


async def _stream(
    served_by: replica.Replica,
    request: web.Message,
    writer: asyncio.StreamWriter,
) -> None:
    head = [
        ('Attempt-Id', request.get('Attempt-Id') or ''),
        ('Response-Signature', f'{served_by.name}.{len(served_by.ran)}'),
        ('Content-Type', 'text/event-stream'),
        ('Transfer-Encoding', 'chunked'),
    ]
    writer.write(web.encode('HTTP/1.1 200 OK', head))
    first = int(request.get('Last-Event-Id') or -1) + 1
    for number in range(first, EVENTS):
        event = f'id: {number}\ndata: tokens\n\n'.encode()
        writer.write(b'%x\r\n%s\r\n' % (len(event), event))
        await writer.drain()
        await asyncio.sleep(PAUSE_SECONDS)
        if writer.transport.is_closing():
            raise ConnectionResetError
    writer.write(b'0\r\n\r\n')
    await writer.drain()
