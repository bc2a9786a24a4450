"""Form a new group out of blank disks, exactly once.

A wiped host has a blank disk too, and settings that name the same members.
Were it to begin a group on its own word, the accepted state would be replaced
by nothing.  So a group is formed only by the first of the members named in
the settings, and only when every one of them answers and is blank.
"""

from __future__ import annotations

import asyncio
import logging

from tamarackthread.control import membership, replica, segments
from tamarackthread.generated.messages import ttypes as messages
from tamarackthread.shared import errors

FIRST_TERM = 1
_log = logging.getLogger('tamarackthread.control.bootstrap')


async def attempt(state: replica.Replica) -> None:
    """Write the first members if this node is to form the group."""
    named = state.parts.bootstrap
    if not named or state.parts.node != min(named):
        return
    others = [node for node in sorted(named) if node != state.parts.node]
    answers = await asyncio.gather(*(_probe(state, node) for node in others))
    if None in answers or not state.is_blank:
        return
    disks = dict(zip(others, answers, strict=True))
    disks[state.parts.node] = state.hard.disk_id
    await _found(state, disks)


async def _found(state: replica.Replica, disks: dict[str, bytes]) -> None:
    members = membership.Membership()
    for node, disk_id in disks.items():
        members = members.with_member(
            membership.Member(
                node=node,
                address=state.parts.bootstrap[node],
                disk_id=disk_id,
                voter=True,
            )
        )
    entry = messages.LogEntry(
        index=1,
        term=FIRST_TERM,
        kind=segments.Kind.MEMBERS,
        command=members.encode(),
    )
    state.adopt_term(FIRST_TERM)
    ticket = state.append([entry])
    await state.hard.persist()
    await state.log.synced(ticket)
    _log.info('consensus: formed %s of %s', state.parts.group, list(disks))


def probe(state: replica.Replica) -> messages.Request:
    """Build a request that any member answers and that changes nothing."""
    return messages.Request(
        append=messages.AppendRequest(
            group=state.parts.group,
            term=0,
            leader=state.parts.node,
            previous_index=0,
            previous_term=0,
            entries=[],
            commit_index=0,
            round=0,
        )
    )


async def _probe(state: replica.Replica, node: str) -> bytes | None:
    """Return a node's disk id if it answers and is blank."""
    try:
        reply = await state.parts.transport.call(
            node,
            probe(state),
            state.parts.times.election_min / 2,
        )
    except errors.CodedError:
        return None
    answer = reply.append
    if answer is None or answer.term or answer.last_index:
        return None
    return answer.disk_id
