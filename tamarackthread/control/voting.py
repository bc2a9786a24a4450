"""Answer vote requests."""

from __future__ import annotations

from tamarackthread.control import replica
from tamarackthread.generated.messages import ttypes as messages


async def answer(
    state: replica.Replica, request: messages.VoteRequest
) -> messages.VoteReply:
    """Grant or reject a vote; a granted vote is persisted before the reply."""
    if request.pre_vote:
        return _reply(state, _can_pre_vote(state, request))
    # While a leader may hold a lease through this voter, a higher term is not
    # adopted: two leaders could hold a lease at once.
    if has_active_leader(state):
        return _reply(state, granted=False)
    state.adopt_term(request.term)
    if _can_vote(state, request):
        state.hard.vote_for(request.candidate)
        state.timer.reset()
    await state.hard.persist()
    granted = (state.hard.term, state.hard.vote) == (
        request.term,
        request.candidate,
    )
    return _reply(state, granted)


def has_active_leader(state: replica.Replica) -> bool:
    """Return whether a leader's lease may depend on this voter."""
    if state.role.leads and state.leader_term is not None:
        return not state.leader_term.is_handing_over
    return state.timer.is_leader_active


def is_up_to_date(
    state: replica.Replica, last_term: int, last_index: int
) -> bool:
    """Return whether a candidate's log is at least as new as this one."""
    return (last_term, last_index) >= (
        state.log.last_term,
        state.log.last_index,
    )


def _can_pre_vote(
    state: replica.Replica, request: messages.VoteRequest
) -> bool:
    if has_active_leader(state) or request.term <= state.hard.term:
        return False
    return is_up_to_date(state, request.last_term, request.last_index)


def _can_vote(state: replica.Replica, request: messages.VoteRequest) -> bool:
    if request.term < state.hard.term:
        return False
    if state.hard.vote not in {'', request.candidate}:
        return False
    if state.role.leads:
        return False
    return is_up_to_date(state, request.last_term, request.last_index)


def _reply(state: replica.Replica, granted: bool) -> messages.VoteReply:
    return messages.VoteReply(
        term=state.hard.term, granted=granted, disk_id=state.hard.disk_id
    )
