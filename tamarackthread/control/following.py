"""Answer a leader's append requests."""

from __future__ import annotations

from tamarackthread.control import failures, replica
from tamarackthread.generated.messages import ttypes as messages


async def answer(
    state: replica.Replica, request: messages.AppendRequest
) -> messages.AppendReply:
    """Append a leader's entries and reply once they are durable.

    Raises ``DiskFull`` if there is no room for them.
    """
    if request.term < state.hard.term or request.term == 0:
        return _reply(state, request, success=False)
    state.adopt_term(request.term)
    state.follow(request.leader)
    await state.hard.persist()
    if state.hard.term != request.term:
        return _reply(state, request, success=False)
    if request.release_lease:
        _release_lease(state, request)
    conflict = _conflict(state, request)
    if conflict:
        return _reply(state, request, success=False, conflict=conflict)
    if request.entries:
        await state.log.synced(_append_missing(state, request))
    if state.hard.term != request.term:
        return _reply(state, request, success=False)
    match_index = request.previous_index + len(request.entries)
    state.record_match(match_index)
    state.commit(request.commit_index)
    return _reply(state, request, success=True, last_index=match_index)


def _release_lease(
    state: replica.Replica, request: messages.AppendRequest
) -> None:
    """Allow an election at once, because the leader released its lease."""
    state.timer.forget_leader()
    if request.campaign and state.is_voter:
        state.timer.expire()


def _conflict(state: replica.Replica, request: messages.AppendRequest) -> int:
    """Return the index from which the logs may differ, 0 if they match."""
    previous = request.previous_index
    # Committed entries match every later leader's log; their terms may be
    # unknown here after compaction.
    if previous <= state.commit_index:
        return 0
    if previous > state.log.last_index:
        return state.log.last_index + 1
    if state.log.term_at(previous) == request.previous_term:
        return 0
    return max(state.log.first_of_term(previous), state.commit_index + 1)


def _append_missing(
    state: replica.Replica, request: messages.AppendRequest
) -> int:
    """Append entries not held yet and return the ticket of their sync."""
    # A duplicated or delayed request must not truncate later entries, so
    # that entries already held are skipped.
    if state.log.is_full:
        raise failures.DiskFull
    missing = [
        entry for entry in request.entries if entry.index > state.commit_index
    ]
    while missing and _is_held(state, missing[0]):
        missing.pop(0)
    if missing and missing[0].index <= state.log.last_index:
        state.truncate(missing[0].index)
    return state.append(missing)


def _is_held(state: replica.Replica, entry: messages.LogEntry) -> bool:
    return state.log.term_at(entry.index) == entry.term


def _reply(
    state: replica.Replica,
    request: messages.AppendRequest,
    success: bool,
    last_index: int | None = None,
    conflict: int = 0,
) -> messages.AppendReply:
    return messages.AppendReply(
        term=state.hard.term,
        success=success,
        last_index=state.log.last_index if last_index is None else last_index,
        conflict_index=conflict,
        round=request.round,
        disk_id=state.hard.disk_id,
    )
