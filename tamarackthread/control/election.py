"""Stand for election when no leader is heard."""

from __future__ import annotations

import asyncio
import collections.abc
import logging

from tamarackthread.control import (
    bootstrap,
    failures,
    membership,
    replica,
    role,
    voting,
)
from tamarackthread.generated.messages import ttypes as messages
from tamarackthread.shared import errors

_log = logging.getLogger('tamarackthread.control.election')


async def run(
    state: replica.Replica,
    lead: collections.abc.Callable[[], collections.abc.Awaitable[None]],
) -> None:
    """Follow, stand when the leader is silent, and ``lead`` when elected."""
    while True:
        await state.timer.wait()
        state.timer.back_off()
        try:
            elected = await _stand(state)
        except failures.DiskFull as exc:
            # The vote can't be made to last, so this member doesn't stand;
            # it goes on following, and tries again when its turn comes.
            _log.error('election: %s can not stand: %s', state.parts.node, exc)
            state.step_down('own disk is full')
            continue
        if elected:
            await lead()


async def check(state: replica.Replica, leader: str) -> None:
    """Ask a leader whose connection has closed; stand soon if it is gone.

    A process that was killed closes its connections at once, and its host
    refuses new ones.  Silence alone would show it only after ``election_min``,
    for which nobody would own what a leader owns.  A leader that still runs
    answers, and nothing changes; one that is cut off or suspended closes
    nothing, so that the usual wait goes on.
    """
    times = state.parts.times
    if not times.short_election_max or leader != state.leader:
        return
    try:
        await state.parts.transport.call(
            leader, bootstrap.probe(state), times.election_min / 2
        )
    except errors.RequestTimeout:
        return
    except errors.CodedError:
        if leader == state.leader and not state.role.leads:
            state.timer.shorten()


async def _stand(state: replica.Replica) -> bool:
    if state.is_blank:
        await bootstrap.attempt(state)
    if not _may_stand(state):
        return False
    return await _would_win(state) and await _win(state)


def _may_stand(state: replica.Replica) -> bool:
    if not state.is_voter or state.log.is_full:
        return False
    return not state.log.is_stalled(state.now)


async def _would_win(state: replica.Replica) -> bool:
    """Ask for votes without a new term.

    A member that was cut off would otherwise come back with a higher term
    and depose a leader that all others hear.
    """
    term = state.hard.term
    granted = await _collect(state, _request(state, term + 1, pre_vote=True))
    return granted and term == state.hard.term


async def _win(state: replica.Replica) -> bool:
    if state.role.state != role.FOLLOWER or not _may_stand(state):
        return False
    # The leader may have been heard again while the others were asked.  Its
    # lease then rests on this member too, whose own vote would break it.
    if voting.has_active_leader(state):
        return False
    term = state.hard.term + 1
    state.adopt_term(term, state.parts.node)
    state.role.move('stand')
    # The own vote must last like any other: after a crash this member could
    # vote for somebody else in the same term.
    await state.hard.persist()
    granted = False
    if state.hard.term == term:
        granted = await _collect(state, _request(state, term))
    if state.hard.term != term or state.role.state != role.CANDIDATE:
        return False
    if not granted:
        state.step_down('too few votes')
    return granted


async def _collect(
    state: replica.Replica, request: messages.VoteRequest
) -> bool:
    """Ask all other voters at once; return as soon as a quorum agrees."""
    members = state.membership
    asked = [
        asyncio.create_task(_ask(state, voter, request))
        for voter in members.voters
        if voter.node != state.parts.node
    ]
    votes = 1
    waiting = set(asked)
    try:
        while waiting and votes < members.quorum:
            done, waiting = await asyncio.wait(
                waiting, return_when=asyncio.FIRST_COMPLETED
            )
            votes += sum(task.result() for task in done)
    finally:
        for task in asked:
            task.cancel()
    return votes >= members.quorum


async def _ask(
    state: replica.Replica,
    voter: membership.Member,
    request: messages.VoteRequest,
) -> int:
    timeout = state.parts.times.election_min / 2
    try:
        reply = await state.parts.transport.call(
            voter.node, messages.Request(vote=request), timeout
        )
    except errors.CodedError:
        return 0
    vote = reply.vote
    if vote is None:
        return 0
    if vote.term > state.hard.term:
        state.adopt_term(vote.term)
    # A host whose disk was wiped has forgotten its votes and its log.  Its
    # vote as its old self could elect a leader without the last changes.
    if vote.disk_id != voter.disk_id:
        _log.warning('election: %s votes from another disk', voter.node)
        return 0
    return int(vote.granted)


def _request(
    state: replica.Replica, term: int, pre_vote: bool = False
) -> messages.VoteRequest:
    return messages.VoteRequest(
        group=state.parts.group,
        term=term,
        candidate=state.parts.node,
        last_index=state.log.last_index,
        last_term=state.log.last_term,
        pre_vote=pre_vote,
        disk_id=state.hard.disk_id,
    )
