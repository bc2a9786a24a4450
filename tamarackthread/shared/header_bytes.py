"""Write header values byte for byte, as they were read."""

from __future__ import annotations

import collections.abc
import re

from aiohttp import http_writer

# Any of them in a header would begin another one.
_FORBIDDEN = re.compile('[\r\n\0]')
_serialize_text = http_writer._serialize_headers

_Headers = collections.abc.Mapping[str, str]


def install() -> None:
    """Let aiohttp's clients and servers write all bytes of header values."""
    # aiohttp reads bytes that are no UTF-8 as halves of surrogate pairs, and
    # leaves those out when it writes.  It has no other hook for this.
    http_writer._serialize_headers = serialize


def serialize(status_line: str, headers: _Headers) -> bytes:
    """Encode a head; raise ``ValueError`` for line breaks in it."""
    if all(value.isascii() for value in headers.values()):
        return _serialize_text(status_line, headers)
    lines = [status_line]
    lines.extend(f'{name}: {value}' for name, value in headers.items())
    for line in lines:
        if _FORBIDDEN.search(line):
            raise ValueError('a header contains a line break')
    head = '\r\n'.join(lines)
    return f'{head}\r\n\r\n'.encode(errors='surrogateescape')
