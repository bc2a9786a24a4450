"""Split a stream of server-sent events into blocks that end with a blank line.

Bytes are passed on unchanged.  Lines may end with LF, CR or CRLF, see
https://html.spec.whatwg.org/multipage/server-sent-events.html.
"""

from __future__ import annotations

import re

import attrs

from tamarackthread.generated.messages import ttypes as messages
from tamarackthread.shared import errors

MAX_EVENT_BYTES = 4 * 1024 * 1024
DONE = b'data: [DONE]'
_ID_FIELD = b'id:'
_DATA_FIELD = b'data'
_BYTE_ORDER_MARK = b'\xef\xbb\xbf'
# Atomic groups: the two bytes of a CRLF never count as two line ends.
_LINE_END = re.compile(rb'[\r\n]')
_BLOCK_END = re.compile(rb'(?>\r\n|\n|\r)(?>\r\n|\n|\r)')
_BLANK_AND_COMMENT_LINES = re.compile(rb'(?:(?::[^\r\n]*)?(?>\r\n|\n|\r))+')


class EventTooLarge(errors.CodedError):
    """Engine sent an event over the limit."""

    code = 'TT1010'
    status = 502
    ran = messages.Ran.MAY_HAVE_RUN


@attrs.frozen
class Block:
    """Bytes that may be passed on; at most one event."""

    payload: bytes
    # The event's id, -1 without one.
    number: int = -1
    # Comments and blank lines are no event.
    is_event: bool = False


class EventSplitter:
    """Collect bytes and return complete blocks."""

    # A target may break off inside an event.  Relayed, that part would be
    # joined to the first event of the next target.
    def __init__(self) -> None:
        """Start with an empty buffer."""
        self._buffer = bytearray()
        self._ends_with_cr = False
        self._count = 0
        self._is_done = False

    @property
    def count(self) -> int:
        """Return the number of events returned, without the final ``[DONE]``."""
        return self._count

    @property
    def done(self) -> bool:
        """Return whether the final ``[DONE]`` was received."""
        return self._is_done

    @property
    def rest(self) -> bytes:
        """Return the bytes after the last complete block."""
        return bytes(self._buffer)

    @property
    def rest_size(self) -> int:
        """Return the number of bytes after the last complete block."""
        return len(self._buffer)

    @property
    def is_at_boundary(self) -> bool:
        """Return whether the stream may end here as complete."""
        return not self._buffer or self._buffer == _BYTE_ORDER_MARK

    @property
    def has_begun_event(self) -> bool:
        """Return whether part of an event was received, and not the rest."""
        return not self.is_at_boundary and not self._buffer.startswith(b':')

    def feed(self, received: bytes) -> list[Block]:
        """Add bytes and return the blocks that they complete.

        Raises ``EventTooLarge`` if an event exceeds the limit.
        """
        blocks: list[Block] = []
        if self._ends_with_cr and received.startswith(b'\n'):
            # The rest of the CRLF whose first byte has ended a block.
            self._ends_with_cr = False
            blocks.append(Block(b'\n'))
            received = received[1:]
        if not received:
            return blocks
        searched = len(self._buffer)
        self._buffer += received
        # Only a line end can complete a block.  Without this check the cost of an
        # event that comes in small pieces is the square of its size.
        if not searched or _LINE_END.search(received):
            self._split(searched, blocks)
        if len(self._buffer) > MAX_EVENT_BYTES:
            raise EventTooLarge(f'over {MAX_EVENT_BYTES} bytes')
        self._ends_with_cr = not self._buffer and received.endswith(b'\r')
        return blocks

    def _split(self, searched: int, blocks: list[Block]) -> None:
        """Take blocks from the buffer; none ends in its ``searched`` bytes."""
        buffered = self._buffer
        start = 0
        while True:
            lines = _BLANK_AND_COMMENT_LINES.match(buffered, start)
            if lines is not None:
                blocks.append(Block(bytes(lines.group())))
                start = lines.end()
            # The first line end of a blank line may be the last byte searched.
            found = _BLOCK_END.search(buffered, max(start, searched - 1))
            if found is None:
                break
            blocks.append(self._parse(bytes(buffered[start : found.end()])))
            start = found.end()
        del buffered[:start]  # noqa: WPS420  in place, without a copy

    def _parse(self, payload: bytes) -> Block:
        number = -1
        is_event = False
        for line in payload.removeprefix(_BYTE_ORDER_MARK).splitlines():
            is_event |= line.partition(b':')[0] == _DATA_FIELD
            if line.startswith(_ID_FIELD):
                number = _parse_id(line)
        if payload.strip() == DONE:
            self._is_done = True
        else:
            self._count += is_event
        return Block(payload, number, is_event)


def is_whole(body: bytes) -> bool:
    """Return whether a stream that was read to its end has ended regularly."""
    splitter = EventSplitter()
    splitter.feed(body)
    return splitter.is_at_boundary


def join(blocks: list[Block]) -> bytes:
    """Return the bytes of blocks."""
    return b''.join(block.payload for block in blocks)


def size_of(blocks: list[Block]) -> int:
    """Return the number of bytes of blocks."""
    return sum(len(block.payload) for block in blocks)


def _parse_id(line: bytes) -> int:
    text = line.removeprefix(_ID_FIELD).strip()
    return int(text) if text.isdigit() else -1
