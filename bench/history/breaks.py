"""Break the replicated log on purpose, to see that the checker notices.

Each break puts something in place of one safeguard for as long as its context
lasts.  Nothing of this is reachable from the product.
"""

from __future__ import annotations

import contextlib
import typing
from unittest import mock

import attrs

from tamarackthread.control import (
    configuration,
    election_timer,
    following,
    hard_state,
    leader_term,
    reconfiguration,
    replica,
    replication,
    reply_cache,
    segments,
    timing,
    voting,
)
from tamarackthread.generated.messages import ttypes as messages

_persist = hard_state.HardState.persist
_load_state = hard_state.HardState.load
_lease_until = leader_term.LeaderTerm.lease_until
_handle_reply = replication.PeerReplicator._handle_reply
_judge = configuration.Configuration._judge


@attrs.frozen
class Break:
    """One safeguard taken out, and what callers would suffer from it.

    ``seed`` is one that is known to show it, until a schedule changes.
    """

    name: str
    about: str
    owner: typing.Any
    attribute: str
    substitute: typing.Any
    seed: int = 1

    def apply(self) -> contextlib.AbstractContextManager[typing.Any]:
        """Take the safeguard out until the context ends."""
        return mock.patch.object(self.owner, self.attribute, self.substitute)


async def _sync_nothing(_self: segments.Segments, _name: str) -> None:
    """Return at once."""


async def _persist_first_only(self: hard_state.HardState) -> None:
    if not self.term:
        await _persist(self)


def _reset_only(self: election_timer.ElectionTimer) -> None:
    self.reset()


async def _load_with_old_disk_id(
    self: hard_state.HardState, fresh: bytes
) -> None:
    await _load_state(self, bytes(len(fresh)))


def _endless_lease(
    _self: leader_term.LeaderTerm, _members: typing.Any, now: float
) -> float:
    return now + 1


def _lease_while_released(
    self: leader_term.LeaderTerm, members: typing.Any, now: float
) -> float:
    was_handing_over = self._is_handing_over
    self._is_handing_over = False
    until = _lease_until(self, members, now)
    self._is_handing_over = was_handing_over
    return until


def _long_lease(times: timing.Timing) -> float:
    return times.election_max


def _handle_from_answer(
    self: replication.PeerReplicator,
    request: typing.Any,
    reply: typing.Any,
    _sent_at: float,
) -> None:
    _handle_reply(self, request, reply, self._state.now)


def _vote_again(state: replica.Replica, request: typing.Any) -> bool:
    state.hard._vote = ''  # noqa: SLF001
    return request.term >= state.hard.term and voting.is_up_to_date(
        state, request.last_term, request.last_index
    )


def _durable_alone(
    _self: leader_term.LeaderTerm, _members: typing.Any, durable: int
) -> int:
    return durable


def _agree(state: replica.Replica, request: typing.Any) -> int:
    if request.previous_index > state.log.last_index:
        return state.log.last_index + 1
    return 0


def _append_and_truncate(state: replica.Replica, request: typing.Any) -> int:
    fresh = [
        entry for entry in request.entries if entry.index > state.commit_index
    ]
    if fresh and fresh[0].index <= state.log.last_index:
        state.truncate(fresh[0].index)
    return state.append(fresh)


def _judge_any_base(
    self: configuration.Configuration,
    change: messages.ChangeRequest,
    findings: typing.Any,
) -> typing.Any:
    latest = self._documents.latest(change.kind, change.name)
    eased = messages.ChangeRequest(
        change_id=change.change_id,
        kind=change.kind,
        name=change.name,
        based_on=latest.version if latest else 0,
        body=change.body,
    )
    return _judge(self, eased, findings)


ALL: tuple[Break, ...] = (
    Break(
        'skip-log-sync',
        'entries are acknowledged when written, not when synced',
        segments.Segments,
        '_sync',
        _sync_nothing,
        seed=1,
    ),
    Break(
        'skip-vote-sync',
        'terms and votes are answered and forgotten by a crash',
        hard_state.HardState,
        'persist',
        _persist_first_only,
        seed=96,
    ),
    Break(
        'drop-lease-check',
        'a leader counts on its lease without a quorum that answers',
        leader_term.LeaderTerm,
        'lease_until',
        _endless_lease,
        seed=2,
    ),
    Break(
        'lease-outlives-voters',
        'the lease is longer than the voters stay silent',
        timing.Timing,
        'lease',
        property(_long_lease),
        seed=1,
    ),
    Break(
        'lease-after-release',
        'a leader uses its lease after telling the voters that it is void',
        leader_term.LeaderTerm,
        'lease_until',
        _lease_while_released,
        seed=6,
    ),
    Break(
        'lease-from-answer',
        "the lease counts from a heartbeat's answer, not from its sending",
        replication.PeerReplicator,
        '_handle_reply',
        _handle_from_answer,
        seed=1,
    ),
    Break(
        'vote-against-lease',
        'a vote is given although a leader was heard a moment ago',
        voting,
        'has_active_leader',
        lambda _state: False,
        seed=5,
    ),
    Break(
        'vote-after-restart',
        'a restarted voter forgets that it may have heard a leader',
        election_timer.ElectionTimer,
        'start',
        _reset_only,
        seed=9,
    ),
    Break(
        'vote-for-short-log',
        'a candidate without committed entries gets votes',
        voting,
        'is_up_to_date',
        lambda *_arguments: True,
        seed=2,
    ),
    Break(
        'vote-twice',
        'each candidate of a term gets the vote',
        voting,
        '_can_vote',
        _vote_again,
        seed=165,
    ),
    Break(
        'commit-without-quorum',
        'what the leader alone has synced is committed',
        leader_term.LeaderTerm,
        'quorum_index',
        _durable_alone,
        seed=5,
    ),
    Break(
        'trust-wiped-disk',
        'a wiped host votes and acknowledges as its old self',
        hard_state.HardState,
        'load',
        _load_with_old_disk_id,
        seed=55,
    ),
    Break(
        'skip-log-matching',
        'entries are taken although those before them differ',
        following,
        '_conflict',
        _agree,
        seed=1,
    ),
    Break(
        'void-on-repeat',
        'a doubled or late request voids the entries after it',
        following,
        '_append_missing',
        _append_and_truncate,
        seed=38,
    ),
    Break(
        'change-two-at-once',
        'members change while another change is not committed',
        reconfiguration,
        '_is_change_committed',
        lambda _state: True,
        seed=2,
    ),
    Break(
        'ignore-based-on',
        'a change is accepted whatever version it was based on',
        configuration.Configuration,
        '_judge',
        _judge_any_base,
        seed=1,
    ),
    Break(
        'forget-answers',
        'a resent change is taken for a new one',
        reply_cache.ReplyCache,
        'find',
        lambda *_arguments: None,
        seed=6,
    ),
    Break(
        'answers-not-in-snapshot',
        'answers to earlier changes are left out of snapshots',
        reply_cache.ReplyCache,
        'everything',
        lambda _self: [],
    ),
)
