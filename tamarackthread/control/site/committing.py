"""Commit commands on behalf of operators."""

from __future__ import annotations

import asyncio

from tamarackthread.control import consensus, failures
from tamarackthread.shared import errors

# Less than the second after which an operator tries another host.
TIMEOUT_SECONDS = 0.85
RETRY_PAUSE_SECONDS = 0.04


class ChangeUnsettled(errors.CodedError):
    """Change may or may not be in force; repeating it is safe."""

    code = 'TT7103'
    status = 503


async def commit(
    group: consensus.Consensus,
    command: bytes,
    until: float,
) -> bytes:
    """Propose an idempotent command until it is committed; return its result.

    Raises ``ChangeUnsettled`` at ``until``, a time of the loop's clock, or as soon
    as this host stops.
    """
    loop = asyncio.get_running_loop()
    failure: errors.CodedError = failures.NotLeader('no leader is known')
    while loop.time() < until:
        remaining = until - loop.time()
        try:
            entry = await group.submit(command, remaining)
        except failures.CommandTooLarge:
            raise
        except failures.ConsensusStopped as exc:
            # This host is stopping: another can be asked at once.
            raise ChangeUnsettled(str(exc)) from exc
        except errors.CodedError as exc:
            failure = exc
            await asyncio.sleep(RETRY_PAUSE_SECONDS)
            continue
        return entry.result
    raise ChangeUnsettled(f'{failure.code} {failure}')
