"""Commit a command on behalf of an operator who waits for the answer."""

from __future__ import annotations

import asyncio

from tamarackthread.control import consensus, failures
from tamarackthread.shared import errors

# An operator turns to another host after a second without an answer.  Less
# than that is spent on a leader that is being elected.
TIMEOUT_SECONDS = 0.85
PAUSE_SECONDS = 0.04


class ChangeUnsettled(errors.CodedError):
    """Change may or may not be in force; sending it again is safe."""

    code = 'TT7103'
    status = 503


async def commit(
    group: consensus.Consensus,
    command: bytes,
    until: float,
) -> bytes:
    """Propose until the command is committed and return its result.

    A second copy must change nothing: where an answer is lost the command is
    proposed again.  Raises ``ChangeUnsettled`` when patience ends, at a moment
    of the loop's clock.
    """
    loop = asyncio.get_running_loop()
    failure: errors.CodedError = failures.NotLeader('no leader is known')
    while loop.time() < until:
        left = until - loop.time()
        try:
            done = await group.submit(command, left)
        except failures.CommandTooLarge:
            raise
        except errors.CodedError as exc:
            failure = exc
            await asyncio.sleep(PAUSE_SECONDS)
            continue
        return done.result
    raise ChangeUnsettled(f'{failure.code} {failure}')
