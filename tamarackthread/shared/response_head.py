"""Find the end of a response's head, and check it against the grammar of HTTP.

RFC 9112, sections 2 to 5: https://www.rfc-editor.org/rfc/rfc9112

The parser of aiohttp's client takes any three digits for a status, and versions
of other protocols; it joins folded lines, and takes control bytes for values.
"""

from __future__ import annotations

import re

import aiohttp

_TEXT = rb'[\t\x20-\x7E\x80-\xFF]*'
# No request asks for another protocol, so a switch to one is no answer.
_STATUS_LINE = re.compile(
    rb'HTTP/1\.[0-9] (?!101)[1-5][0-9]{2}(?: %b)?\r?' % _TEXT
)
_FIELD_LINE = re.compile(rb"[!#$%%&'*+.^_`|~0-9A-Za-z-]+:%b\r?" % _TEXT)
_HEAD = re.compile(
    rb'%b\n(?:%b\n)*\r?\n' % (_STATUS_LINE.pattern, _FIELD_LINE.pattern)
)
_END = re.compile(rb'\n\r?\n')
# All of an end but its last byte may lie in the pieces before.
_LONGEST_END = 3


class MalformedHead(aiohttp.ClientError):
    """Head of a response breaks the grammar of HTTP."""


class HeadReader:
    """Take the bytes of heads, one after the other, in pieces."""

    def __init__(self) -> None:
        """Start without bytes."""
        self._received = bytearray()

    def feed(self, data: bytes) -> int:
        """Return how many bytes of a piece belong to the current head.

        What follows belongs to the next one.  Raises ``MalformedHead`` if the
        head has ended and is malformed.
        """
        size_before = len(self._received)
        self._received += data
        start = max(0, size_before + 1 - _LONGEST_END)
        end = _END.search(self._received, start)
        if end is None:
            return len(data)
        head = bytes(self._received[: end.end()])
        self._received.clear()
        if _HEAD.fullmatch(head) is None:
            line = _find_malformed_line(head)
            raise MalformedHead(f'line {line} of the head is malformed')
        return len(head) - size_before


def _find_malformed_line(head: bytes) -> int:
    """Return the number of the first malformed line, from 1."""
    pattern = _STATUS_LINE
    lines = head.split(b'\n')
    for number, line in enumerate(lines, start=1):
        if pattern.fullmatch(line) is None:
            return number
        pattern = _FIELD_LINE
    return len(lines)
