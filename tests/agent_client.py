"""Ask a target with the client of an agent."""

import contextlib
import types

from tamarackthread.agent import target


@contextlib.asynccontextmanager
async def asking(address):
    """Yield a client that asks the target at HOST:PORT."""
    client = target.TargetClient(
        types.SimpleNamespace(
            connection_limit=4,
            idle_connection_seconds=9,
            connect_timeout_seconds=9,
            target_url=f'http://{address}',
        )
    )
    await client.start()
    try:
        yield client
    finally:
        await client.stop()
