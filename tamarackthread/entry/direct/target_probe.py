"""Tell whether a target that broke off an answer is gone."""

from __future__ import annotations

import asyncio

# Longer than a handshake between regions; a host refuses at once.
PROBE_SECONDS = 0.35


async def is_gone(address: str) -> bool:
    """Tell whether nothing listens at a target's HOST:PORT any more.

    An address that doesn't answer in time may be that of a target that goes on.
    """
    host, _, port = address.rpartition(':')
    try:
        async with asyncio.timeout(PROBE_SECONDS):
            _, writer = await asyncio.open_connection(host, int(port))
    except TimeoutError:
        return False
    except OSError:
        return True
    writer.close()
    return False
