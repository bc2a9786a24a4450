"""Give up the vote of a member whose host is stopping."""

from __future__ import annotations

import asyncio
import collections.abc

from tamarackthread.control import replica
from tamarackthread.generated.messages import ttypes as messages
from tamarackthread.shared import errors

HandOver = collections.abc.Callable[[], collections.abc.Awaitable[None]]


async def run(state: replica.Replica, hand_over: HandOver) -> None:
    """Have the leader remove this voter while enough others remain.

    A voter that has left counts against the others until it is found
    unresponsive; a second loss before that could take the quorum for good.
    """
    times = state.parts.times
    # Long enough for an election, should the leader be lost as well.
    deadline = state.now + 2 * times.election_max
    while state.is_voter and state.has_spare_voter and state.now < deadline:
        if state.role.leads:
            await hand_over()
        elif await _ask_leader(state):
            return
        await asyncio.sleep(times.heartbeat / 2)


async def _ask_leader(state: replica.Replica) -> bool:
    """Ask the leader to remove this member; return whether it has."""
    if not state.leader:
        return False
    request = messages.MemberRequest(
        group=state.parts.group,
        action='leave',
        node=state.parts.node,
        address='',
        replaces='',
    )
    try:
        await state.parts.transport.call(
            state.leader,
            messages.Request(member=request),
            state.parts.times.heartbeat_timeout,
        )
    except errors.CodedError:
        return False
    return True
