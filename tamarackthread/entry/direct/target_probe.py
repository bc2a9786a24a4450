"""Tell whether a target that broke off an answer is still listening."""

from __future__ import annotations

import asyncio

# Longer than a handshake between regions; a crashed target refuses at once.
PROBE_SECONDS = 0.35


async def is_listening(address: str) -> bool:
    """Tell whether a target at HOST:PORT accepts a connection."""
    host, _, port = address.rpartition(':')
    try:
        async with asyncio.timeout(PROBE_SECONDS):
            _, writer = await asyncio.open_connection(host, int(port))
    except (OSError, ValueError):
        return False
    writer.close()
    return True
