"""Leave out headers that concern only one connection.

RFC 9110, section 7.6.1: https://www.rfc-editor.org/rfc/rfc9110#section-7.6.1
"""

from __future__ import annotations

from tamarackthread.entry.direct import calls

_CONNECTION = 'connection'
_HOP_BY_HOP = frozenset(
    (
        _CONNECTION,
        'keep-alive',
        'proxy-connection',
        'transfer-encoding',
        'content-length',
        'te',
        'trailer',
        'upgrade',
        'expect',
    ),
)


def end_to_end(headers: calls.Headers) -> calls.Headers:
    """Return a caller's headers without those of its connection.

    The entry adds its own headers afterwards, so that a caller who names them
    in its Connection header takes none of them away.
    """
    dropped = set(_HOP_BY_HOP)
    for header, text in headers:
        if header.lower() == _CONNECTION:
            dropped.update(part.strip().lower() for part in text.split(','))
    return tuple(
        (name, value) for name, value in headers if name.lower() not in dropped
    )
