"""Stand for election when the leader is lost."""

from __future__ import annotations

import asyncio
import collections.abc
import logging

from tamarackthread.control import (
    bootstrap,
    failures,
    member_role,
    membership,
    replica,
    voting,
)
from tamarackthread.generated.messages import ttypes as messages
from tamarackthread.shared import errors

_log = logging.getLogger('tamarackthread.control.election')


async def run(
    state: replica.Replica,
    lead: collections.abc.Callable[[], collections.abc.Awaitable[None]],
) -> None:
    """Wait for the election timer, run elections and ``lead`` when elected."""
    while True:
        await state.timer.wait()
        state.timer.back_off()
        state.lose_leader()
        try:
            elected = await _run_election(state)
        except failures.DiskFull as exc:
            # A vote that can't be persisted must not count.  The member stays
            # a follower and retries after its next election timeout.
            _log.error(
                'election: %s can not store its vote: %s', state.parts.node, exc
            )
            state.step_down('own disk is full')
            continue
        if elected:
            await lead()


async def check(state: replica.Replica, leader: str) -> None:
    """Probe a leader whose connection closed; stand soon if it is gone."""
    times = state.parts.times
    # A killed process closes its connections; a partitioned or suspended one
    # doesn't, so that only the full election timeout detects it.
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


async def _run_election(state: replica.Replica) -> bool:
    if state.is_blank:
        await bootstrap.attempt(state)
    if not _can_stand(state):
        return False
    return await _win_pre_vote(state) and await _win_vote(state)


def _can_stand(state: replica.Replica) -> bool:
    if not state.is_voter or state.log.is_full:
        return False
    return not state.log.is_stalled(state.now)


async def _win_pre_vote(state: replica.Replica) -> bool:
    """Run a pre-vote, which leaves the term unchanged."""
    # Otherwise a member back from a partition would depose a working leader by
    # its higher term.
    term = state.hard.term
    granted = await _collect_votes(
        state, _build_request(state, term + 1, pre_vote=True)
    )
    return granted and term == state.hard.term


async def _win_vote(state: replica.Replica) -> bool:
    if state.role.state != member_role.FOLLOWER or not _can_stand(state):
        return False
    # A heartbeat may have arrived during the pre-vote.  The leader's lease
    # then depends on this member, and its own vote would break it.
    if voting.has_active_leader(state):
        return False
    term = state.hard.term + 1
    state.adopt_term(term)
    state.hard.vote_for(state.parts.node)
    state.role.move('stand')
    # Persist the own vote before counting it: after a crash this member could
    # otherwise vote twice in the term.
    await state.hard.persist()
    granted = False
    if state.hard.term == term:
        granted = await _collect_votes(state, _build_request(state, term))
    if state.hard.term != term or state.role.state != member_role.CANDIDATE:
        return False
    if not granted:
        state.step_down('election lost')
    return granted


async def _collect_votes(
    state: replica.Replica, request: messages.VoteRequest
) -> bool:
    """Ask all other voters in parallel; return once a quorum has granted."""
    members = state.membership
    tasks = [
        asyncio.create_task(_request_vote(state, voter, request))
        for voter in members.voters
        if voter.node != state.parts.node
    ]
    votes = 1
    pending = set(tasks)
    try:
        while pending and votes < members.quorum:
            done, pending = await asyncio.wait(
                pending, return_when=asyncio.FIRST_COMPLETED
            )
            votes += sum(task.result() for task in done)
    finally:
        for task in tasks:
            task.cancel()
    return votes >= members.quorum


async def _request_vote(
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
    # A wiped disk has lost its votes and its log.  Counting its vote could
    # elect a leader that lacks committed entries.
    if vote.disk_id != voter.disk_id:
        _log.warning(
            'election: ignored vote of %s from another disk', voter.node
        )
        return 0
    return int(vote.granted)


def _build_request(
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
