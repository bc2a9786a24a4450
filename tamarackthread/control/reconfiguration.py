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
    """Do what an operator asks and list the members.

    Only the leader changes members; others raise ``NotLeader``.
    """
    match request.action:
        case 'members':
            return listing(state)
        case 'add':
            add(state, request.node, request.address)
        case 'join':
            join(state, request.node, request.address)
        case 'remove':
            remove(state, request.node)
        case 'replace':
            replace(state, request.replaces, request.node, request.address)
        case unknown:
            raise errors.RequestUnsupported(f'members: {unknown}')
    return listing(state)


def add(state: replica.Replica, node: str, address: str) -> None:
    """Add a learner, to be made a voter once it has caught up."""
    _require_settled(state)
    if state.membership.find(node) is not None:
        raise failures.MemberChangeRefused(f'{node} is a member already')
    fresh = membership.Member(node=node, address=address)
    _write(
        state,
        state.membership.with_member(fresh),
        f'{node} is added as a learner',
    )


def join(state: replica.Replica, node: str, address: str) -> None:
    """Add a host that asks for it; it takes a silent voter's place if any.

    A host that was replaced for good never says so.  Its successor would make
    one voter more, of which one is always lost, and the next loss would stop
    the group.  A voter that was only silent asks to join when it is back.
    """
    if state.leader_term is None:
        raise failures.NotLeader(leader=state.leader)
    if state.membership.find(node) is not None:
        return
    silent = _silent_voter(state, state.leader_term)
    if silent:
        replace(state, silent, node, address)
        return
    add(state, node, address)


def remove(state: replica.Replica, node: str) -> None:
    """Remove a member, voter or learner."""
    _require_settled(state)
    if state.membership.find(node) is None:
        raise failures.MemberChangeRefused(f'{node} is not a member')
    left = state.membership.without(node)
    if not left.voters:
        raise failures.MemberChangeRefused('the last voter stays')
    _write(state, left, f'{node} is removed')


def replace(state: replica.Replica, old: str, node: str, address: str) -> None:
    """Add a learner that takes an old member's place once it has caught up.

    With the same node on both sides the member gives up its vote and earns it
    again: that is how a host returns after its disk was put right.
    """
    _require_settled(state)
    former = state.membership.find(old)
    if former is None:
        raise failures.MemberChangeRefused(f'{old} is not a member')
    if old == node:
        _require_other_voter(state, former)
        fresh = membership.Member(node=node, address=address or former.address)
    else:
        if state.membership.find(node) is not None:
            raise failures.MemberChangeRefused(f'{node} is a member already')
        fresh = membership.Member(node=node, address=address, replaces=old)
    _write(
        state,
        state.membership.with_member(fresh),
        f'{node} is to replace {old}',
    )


def advance(state: replica.Replica, term: leader_term.LeaderTerm) -> None:
    """Take the next step towards the members that were asked for.

    The wish is in the log, so that the next leader goes on with it.  A step
    waits until the one before is committed: two changes of voters at once
    could leave two quorums that share no member.
    """
    if not _is_settled(state) or term.is_handing_over or state.log.is_full:
        return
    for member in state.membership.members:
        wanted, why = _next_step(state, term, member)
        if wanted is not None:
            _write(state, wanted, why)
            return
    _let_go(state, term)


def listing(state: replica.Replica) -> messages.MemberReply:
    """Describe the members as this one sees them."""
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


def _let_go(state: replica.Replica, term: leader_term.LeaderTerm) -> None:
    """Remove a voter that is silent, while enough others are left.

    A voter more than the group needs is one that may be lost.  One that was
    taken away for good would count against the others for ever.
    """
    least = state.parts.times.min_voters
    if not least or len(state.membership.voters) <= least:
        return
    silent = _silent_voter(state, term)
    if silent:
        left = state.membership.without(silent)
        _write(state, left, f'{silent} is silent and is let go')


def _silent_voter(state: replica.Replica, term: leader_term.LeaderTerm) -> str:
    """Return a voter that has not answered for long, empty if there is none."""
    for voter in state.membership.voters:
        if voter.node == state.parts.node:
            continue
        held = term.progress.get(voter.node)
        heard_at = term.elected_at
        if held is not None:
            heard_at = max(heard_at, held.acked_at)
        if state.now - heard_at > state.parts.times.voter_timeout:
            return voter.node
    return ''


def _fill_progress(state: replica.Replica, row: messages.Member) -> None:
    if row.node == state.parts.node:
        row.match_index = state.log.durable_index
        return
    if state.leader_term is None:
        return
    held = state.leader_term.progress.get(row.node)
    if held is None:
        return
    row.match_index = held.match_index
    row.reachable = held.acked_at + state.parts.times.lease > state.now


def _next_step(
    state: replica.Replica,
    term: leader_term.LeaderTerm,
    member: membership.Member,
) -> tuple[membership.Membership | None, str]:
    held = term.progress.get(member.node)
    members = state.membership
    if member.voter and member.replaces:
        settled = attrs.evolve(member, replaces='')
        left = members.with_member(settled).without(member.replaces)
        return left, f'{member.node} has replaced {member.replaces}'
    if held is None or not held.disk_id:
        return None, ''
    if held.disk_id != member.disk_id:
        # The host came back with another disk and none of its promises.  It
        # counts again only after it has caught up as a learner.
        learner = attrs.evolve(member, disk_id=held.disk_id, voter=False)
        return members.with_member(learner), f'{member.node} has a new disk'
    if not member.voter and held.match_index >= state.commit_index:
        voter = attrs.evolve(member, voter=True)
        return members.with_member(
            voter
        ), f'{member.node} has caught up and votes'
    return None, ''


def _require_other_voter(
    state: replica.Replica, former: membership.Member
) -> None:
    if former.node == state.parts.node:
        raise failures.MemberChangeRefused('the leader can not rejoin itself')
    if former.voter and len(state.membership.voters) == 1:
        raise failures.MemberChangeRefused('the last voter stays')


def _is_settled(state: replica.Replica) -> bool:
    term = state.leader_term
    if term is None:
        return False
    # Without a committed entry of its own term a leader may not know of a
    # change of members that an older leader has begun.
    oldest = max(state.members.newest_index, term.first_index)
    return oldest <= state.commit_index


def _require_settled(state: replica.Replica) -> None:
    if state.leader_term is None:
        raise failures.NotLeader(leader=state.leader)
    if not _is_settled(state):
        raise failures.MemberChangeRefused('another change is under way')


def _write(
    state: replica.Replica, members: membership.Membership, why: str
) -> None:
    state.append_own(segments.Kind.MEMBERS, members.encode())
    log_events.tell(
        _log,
        log_events.Event.MEMBERS,
        'members: %s: %s',
        state.parts.group,
        why,
        group=state.parts.group,
        voters=[voter.node for voter in members.voters],
    )
