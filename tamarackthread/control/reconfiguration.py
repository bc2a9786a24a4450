"""Change the members of a group, one voter at a time."""

from __future__ import annotations

import logging

import attrs

from tamarackthread.control import (
    failures,
    leader_term,
    membership,
    replica,
    segments,
)
from tamarackthread.generated.messages import ttypes as messages
from tamarackthread.shared import errors, log_events

_log = logging.getLogger('tamarackthread.control.reconfiguration')


def answer(
    state: replica.Replica, request: messages.MemberRequest
) -> messages.MemberReply:
    """Apply a membership request as the leader and list the members."""
    match request.action:
        case 'members':
            return listing(state)
        case 'add':
            add(state, request.node, request.address)
        case 'join':
            join(state, request.node, request.address)
        case 'leave':
            leave(state, request.node)
        case 'remove':
            remove(state, request.node)
        case 'replace':
            replace(state, request.replaces, request.node, request.address)
        case unknown:
            raise errors.RequestUnsupported(
                f'unknown membership action: {unknown}'
            )
    return listing(state)


def add(state: replica.Replica, node: str, address: str) -> None:
    """Add a learner, promoted to voter once it has caught up."""
    _require_no_change(state)
    if state.membership.find(node) is not None:
        raise failures.MemberChangeRefused(f'{node} is already a member')
    learner = membership.Member(node=node, address=address)
    _propose(
        state,
        state.membership.with_member(learner),
        f'added {node} as a learner',
    )


def join(state: replica.Replica, node: str, address: str) -> None:
    """Add a host at its request, replacing an unresponsive voter if any."""
    # A host that is lost for good is still a voter.  With a new voter beside it
    # instead of in its place, the group would tolerate one failure less.
    if state.leader_term is None:
        raise failures.NotLeader(leader=state.leader)
    if state.membership.find(node) is not None:
        return
    unresponsive = _unresponsive_voter(state, state.leader_term)
    if unresponsive:
        replace(state, unresponsive, node, address)
        return
    add(state, node, address)


def leave(state: replica.Replica, node: str) -> None:
    """Remove a host at its request, unless its vote is needed.

    Raises ``MemberChangeRefused`` until the removal is committed.
    """
    _require_no_change(state)
    member = state.membership.find(node)
    if member is None or (member.voter and not state.has_spare_voter):
        return
    _propose(state, state.membership.without(node), f'{node} has left')
    # The next leader may not know of a removal that is not committed yet.
    _require_no_change(state)


def remove(state: replica.Replica, node: str) -> None:
    """Remove a voter or learner."""
    _require_no_change(state)
    if state.membership.find(node) is None:
        raise failures.MemberChangeRefused(f'{node} is not a member')
    remaining = state.membership.without(node)
    if not remaining.voters:
        raise failures.MemberChangeRefused('can not remove the last voter')
    _propose(state, remaining, f'removed {node}')


def replace(state: replica.Replica, old: str, node: str, address: str) -> None:
    """Add a learner that replaces a member once it has caught up.

    With ``old`` equal to ``node``, the member is demoted to a learner and
    promoted again, for instance after a repair of its disk.
    """
    _require_no_change(state)
    former = state.membership.find(old)
    if former is None:
        raise failures.MemberChangeRefused(f'{old} is not a member')
    if old == node:
        _require_other_voter(state, former)
        # Members start as learners, so this demotes the voter of that name.
        learner = membership.Member(
            node=node, address=address or former.address
        )
    else:
        if state.membership.find(node) is not None:
            raise failures.MemberChangeRefused(f'{node} is already a member')
        learner = membership.Member(node=node, address=address, replaces=old)
    _propose(
        state,
        state.membership.with_member(learner),
        f'{node} will replace {old}',
    )


def advance(state: replica.Replica, term: leader_term.LeaderTerm) -> None:
    """Take the next step of a pending membership change, if any."""
    # One step at a time: two uncommitted changes of voters could allow two
    # disjoint quorums.
    if (
        not _is_change_committed(state)
        or term.is_handing_over
        or state.log.is_full
    ):
        return
    for member in state.membership.members:
        changed, reason = _next_step(state, term, member)
        if changed is not None:
            _propose(state, changed, reason)
            return
    _remove_unresponsive(state, term)


def listing(state: replica.Replica) -> messages.MemberReply:
    """List the members with their progress as this member knows it."""
    rows = []
    for member in state.membership.members:
        row = messages.Member(
            node=member.node,
            address=member.address,
            voter=member.voter,
            match_index=0,
            leader=member.node == state.leader,
            reachable=member.node == state.parts.node,
        )
        _fill_progress(state, row)
        rows.append(row)
    return messages.MemberReply(
        members=rows,
        term=state.hard.term,
        commit_index=state.commit_index,
        text='',
    )


def _remove_unresponsive(
    state: replica.Replica, term: leader_term.LeaderTerm
) -> None:
    """Remove an unresponsive voter while more than ``min_voters`` remain."""
    # One that is gone for good would count against the others for ever.
    if not state.has_spare_voter:
        return
    unresponsive = _unresponsive_voter(state, term)
    if unresponsive:
        remaining = state.membership.without(unresponsive)
        _propose(state, remaining, f'removed unresponsive voter {unresponsive}')


def _unresponsive_voter(
    state: replica.Replica, term: leader_term.LeaderTerm
) -> str:
    """Return a voter that exceeds the voter timeout, empty if none does."""
    for voter in state.membership.voters:
        if voter.node == state.parts.node:
            continue
        progress = term.progress.get(voter.node)
        last_contact = term.elected_at
        if progress is not None:
            last_contact = max(last_contact, progress.acked_at)
        if state.now - last_contact > state.parts.times.voter_timeout:
            return voter.node
    return ''


def _fill_progress(state: replica.Replica, row: messages.Member) -> None:
    if row.node == state.parts.node:
        row.match_index = state.log.durable_index
        return
    if state.leader_term is None:
        return
    progress = state.leader_term.progress.get(row.node)
    if progress is None:
        return
    row.match_index = progress.match_index
    row.reachable = progress.acked_at + state.parts.times.lease > state.now


def _next_step(
    state: replica.Replica,
    term: leader_term.LeaderTerm,
    member: membership.Member,
) -> tuple[membership.Membership | None, str]:
    progress = term.progress.get(member.node)
    members = state.membership
    if member.voter and member.replaces:
        replacement = attrs.evolve(member, replaces='')
        remaining = members.with_member(replacement).without(member.replaces)
        return remaining, f'{member.node} replaced {member.replaces}'
    if progress is None or not progress.disk_id:
        return None, ''
    if progress.disk_id != member.disk_id:
        # Votes and entries on the previous disk are lost: the host must catch
        # up as a learner before it counts again.
        learner = attrs.evolve(member, disk_id=progress.disk_id, voter=False)
        return members.with_member(
            learner
        ), f'demoted {member.node} to learner, its disk is new'
    if not member.voter and progress.match_index >= state.commit_index:
        voter = attrs.evolve(member, voter=True)
        return members.with_member(voter), f'promoted {member.node} to voter'
    return None, ''


def _require_other_voter(
    state: replica.Replica, former: membership.Member
) -> None:
    if former.node == state.parts.node:
        raise failures.MemberChangeRefused('the leader can not replace itself')
    if former.voter and len(state.membership.voters) == 1:
        raise failures.MemberChangeRefused('can not remove the last voter')


def _is_change_committed(state: replica.Replica) -> bool:
    term = state.leader_term
    if term is None:
        return False
    # Until an entry of its own term is committed, a leader may not know of a
    # change started by its predecessor.
    newest = max(state.members.newest_index, term.first_index)
    return newest <= state.commit_index


def _require_no_change(state: replica.Replica) -> None:
    if state.leader_term is None:
        raise failures.NotLeader(leader=state.leader)
    if not _is_change_committed(state):
        raise failures.MemberChangeRefused(
            'another membership change is in progress'
        )


def _propose(
    state: replica.Replica, members: membership.Membership, reason: str
) -> None:
    state.append_own(segments.Kind.MEMBERS, members.encode())
    log_events.emit(
        _log,
        log_events.Event.MEMBERS,
        'members: %s: %s',
        state.parts.group,
        reason,
        group=state.parts.group,
        voters=[voter.node for voter in members.voters],
    )
