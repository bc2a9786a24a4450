"""Close a connection with a reset."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct

# Linger for zero seconds: the kernel drops unsent bytes and sends a reset.
_NO_LINGER = struct.pack('ii', 1, 0)


def reset(transport: asyncio.BaseTransport | None) -> None:
    """Reset a connection, also one whose regular close has begun."""
    if not isinstance(transport, asyncio.Transport):
        return
    raw = transport.get_extra_info('socket')
    # The socket of a lost connection is closed already.
    with contextlib.suppress(OSError):
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _NO_LINGER)
    transport.abort()
