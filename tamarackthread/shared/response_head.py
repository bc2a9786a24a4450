"""Find the end of a response's head, and check its status line.

RFC 9112, section 4: https://www.rfc-editor.org/rfc/rfc9112#section-4

The parser of aiohttp's client takes any three digits for a status, and versions
of other protocols.
"""

from __future__ import annotations

import re

import aiohttp

_TEXT = rb'[\t\x20-\x7E\x80-\xFF]*'
# No request asks for another protocol, so a switch to one is no answer.
_STATUS_LINE = re.compile(
    rb'HTTP/1\.[0-9] (?!101)[1-5][0-9]{2}(?: %b)?\r?' % _TEXT
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
        status_line = head.partition(b'\n')[0]
        if _STATUS_LINE.fullmatch(status_line) is None:
            raise MalformedHead(
                "status line of the target's answer is malformed"
            )
        return len(head) - size_before
