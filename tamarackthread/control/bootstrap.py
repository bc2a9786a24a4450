"""Bootstrap a new group on blank disks, exactly once.

A wiped host must not start an empty group: only the first configured member
bootstraps, and only if all configured members answer and are blank.
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
    """Write the first membership if this node is to bootstrap the group."""
    configured = state.parts.bootstrap
    if not configured or state.parts.node != min(configured):
        return
    others = [node for node in sorted(configured) if node != state.parts.node]
    disk_ids = await asyncio.gather(*(_probe(state, node) for node in others))
    if None in disk_ids or not state.is_blank:
        return
    disk_ids_by_node = dict(zip(others, disk_ids, strict=True))
    disk_ids_by_node[state.parts.node] = state.hard.disk_id
    await _write_membership(state, disk_ids_by_node)


async def _write_membership(
    state: replica.Replica, disk_ids_by_node: dict[str, bytes]
) -> None:
    members = membership.Membership()
    for node, disk_id in disk_ids_by_node.items():
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
    _log.info(
        'consensus: formed %s of %s', state.parts.group, list(disk_ids_by_node)
    )


def probe(state: replica.Replica) -> messages.Request:
    """Build a request that any member answers without a change of state."""
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
    """Return a node's disk id if the node answers and is blank."""
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
