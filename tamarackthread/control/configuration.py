"""Replicated state machine of the configuration group.

A revision is the log index of the change that made it, so revisions grow.
"""

from __future__ import annotations

import collections.abc
import logging
import types

from tamarackthread.control import (
    audit_trail,
    decisions,
    document_history,
    leases,
    references,
    state_machine,
    reply_cache,
)
from tamarackthread.generated.messages import ttypes as messages
from tamarackthread.shared import catalogue, errors, wire

ACCEPTED = 'accepted'
CONFLICT = 'conflict'
INVALID = 'invalid'
_OUTCOMES: types.MappingProxyType[int, str] = types.MappingProxyType(
    {
        messages.ChangeStatus.ACCEPTED: ACCEPTED,
        messages.ChangeStatus.CONFLICT: CONFLICT,
        messages.ChangeStatus.INVALID: INVALID,
    },
)
MAX_ELAPSED_MS = 365 * 24 * 3_600_000
_CHANGE_TEXT_FIELDS = ('change_id', 'actor', 'origin', 'kind', 'name', 'body')
_log = logging.getLogger('tamarackthread.control')

Watcher = collections.abc.Callable[[int], None]


class Configuration(state_machine.StateMachine):
    """Hold documents, audit trail, cached replies, leases and decisions."""

    def __init__(self, audit_records: int = audit_trail.RECORDS_LIMIT) -> None:
        """Start empty; ``audit_records`` bounds the audit trail."""
        self._audit_records = audit_records
        self._watchers: list[Watcher] = []
        self._reset()

    @property
    def documents(self) -> catalogue.Catalogue:
        """Return the current documents."""
        return self._documents

    @property
    def history(self) -> document_history.DocumentHistory:
        """Return the earlier versions of documents."""
        return self._history

    @property
    def audit_trail(self) -> audit_trail.AuditTrail:
        """Return the audit trail."""
        return self._trail

    @property
    def lease_table(self) -> leases.LeaseTable:
        """Return the table of leases."""
        return self._table

    @property
    def decisions(self) -> decisions.Decisions:
        """Return the decisions on map switches."""
        return self._decisions

    def watch(self, watcher: Watcher) -> None:
        """Call ``watcher`` with each new revision after it is applied."""
        self._watchers.append(watcher)

    def apply(self, index: int, command: bytes) -> bytes:
        """Apply a command; a malformed one gets a failure reply."""
        try:
            parsed = wire.decode(messages.ConfigCommand, command)
        except errors.FrameInvalid as exc:
            _log.error('control: command %d is malformed, %s', index, exc)
            return wire.encode(_failure(exc))
        _set_defaults(parsed)
        self._clock_ms += min(max(parsed.elapsed_ms or 0, 0), MAX_ELAPSED_MS)
        self._replies.evict_expired(self._clock_ms)
        return wire.encode(self._dispatch(index, parsed))

    def snapshot(self) -> bytes:
        """Serialise the state."""
        return wire.encode(
            messages.ConfigSnapshot(
                clock_ms=self._clock_ms,
                floor=self._documents.floor,
                revision=self._documents.revision,
                documents=list(self._documents.everything()),
                history=self._history.all_versions(),
                audit=self._trail.everything(),
                answers=self._replies.everything(),
                leases=self._table.everything(),
                decisions=self._decisions.everything(),
            ),
        )

    def restore(self, data: bytes) -> None:
        """Restore the state of a snapshot; empty data is the empty state.

        Raises ``SnapshotUnreadable`` for malformed data.
        """
        self._reset()
        if data:
            with state_machine.reading_snapshot():
                self._restore(wire.decode(messages.ConfigSnapshot, data))
        self._notify()

    def _reset(self) -> None:
        self._clock_ms = 0
        self._documents = catalogue.Catalogue()
        self._history = document_history.DocumentHistory()
        self._trail = audit_trail.AuditTrail(self._audit_records)
        self._replies = reply_cache.ReplyCache()
        self._table = leases.LeaseTable()
        self._decisions = decisions.Decisions(self._table)

    def _restore(self, state: messages.ConfigSnapshot) -> None:
        self._clock_ms = state.clock_ms
        self._documents.replace(state.documents, state.revision, state.floor)
        self._history.restore(state.history)
        self._trail.replace(state.audit)
        self._replies.replace(state.answers)
        self._table.replace(state.leases)
        self._decisions.replace(state.decisions)

    def _dispatch(
        self,
        index: int,
        command: messages.ConfigCommand,
    ) -> messages.Reply:
        if command.change is not None:
            reply = self._change(index, command)
            return messages.Reply(change=reply)
        if command.lease is not None:
            return messages.Reply(lease=self._table.apply(command.lease))
        if command.decision is not None:
            decided = self._decisions.decide(command.decision)
            return messages.Reply(decision=decided)
        return _failure(errors.RequestUnsupported('empty command'))

    def _change(
        self,
        index: int,
        command: messages.ConfigCommand,
    ) -> messages.ChangeReply:
        change = command.change
        cached = self._replies.find(change)
        if cached is not None:
            if not cached.repeated:
                self._record(index, command, INVALID)
            return cached
        reply = self._judge(change, command.findings or [])
        self._record(index, command, _OUTCOMES[reply.status])
        if reply.status == messages.ChangeStatus.ACCEPTED:
            self._accept(index, change, reply)
        reply.revision = self._documents.revision
        self._replies.keep(change, reply, self._clock_ms)
        if reply.status == messages.ChangeStatus.ACCEPTED:
            self._notify()
        return reply

    def _judge(
        self,
        change: messages.ChangeRequest,
        findings: list[messages.Finding],
    ) -> messages.ChangeReply:
        latest = self._documents.latest(change.kind, change.name)
        version = 0 if latest is None else latest.version
        based_on = change.based_on or 0
        deleted = latest is None or not latest.body
        if based_on != version and not (deleted and based_on == 0):
            return messages.ChangeReply(
                status=messages.ChangeStatus.CONFLICT,
                version=version,
                current=latest,
                findings=findings,
                repeated=False,
            )
        findings = findings + references.check(self._documents, change)
        status = messages.ChangeStatus.ACCEPTED
        if findings:
            status = messages.ChangeStatus.INVALID
        return messages.ChangeReply(
            status=status,
            version=version,
            findings=findings,
            repeated=False,
        )

    def _accept(
        self,
        index: int,
        change: messages.ChangeRequest,
        reply: messages.ChangeReply,
    ) -> None:
        latest = self._documents.latest(change.kind, change.name)
        # Without a tombstone, the version starts above every earlier one, so
        # that a stale ``based_on`` never matches the new document.
        previous_version = self._documents.floor
        if latest is not None:
            previous_version = latest.version
            self._history.add(latest)
        reply.version = previous_version + 1
        self._documents.put(
            messages.Document(
                kind=change.kind,
                name=change.name,
                version=reply.version,
                body=change.body,
                revision=index,
            ),
        )
        self._documents.advance(index)

    def _record(
        self,
        index: int,
        command: messages.ConfigCommand,
        outcome: str,
    ) -> None:
        change = command.change
        held = self._documents.latest(change.kind, change.name)
        self._trail.append(
            messages.AuditRecord(
                revision=index,
                actor=change.actor,
                origin=change.origin,
                kind=change.kind,
                name=change.name,
                change_id=change.change_id,
                before='' if held is None else held.body,
                after=change.body,
                outcome=outcome,
                unix_ms=command.unix_ms,
            ),
        )

    def _notify(self) -> None:
        for watcher in self._watchers:
            watcher(self._documents.revision)


def _failure(exc: errors.CodedError) -> messages.Reply:
    return messages.Reply(
        failure=messages.Failure(code=exc.code, text=str(exc)),
    )


def _set_defaults(command: messages.ConfigCommand) -> None:
    """Set missing fields to empty values; an error would halt every member."""
    command.findings = command.findings or []
    command.unix_ms = command.unix_ms or 0
    if command.change is not None:
        _set_part_defaults(command.change, _CHANGE_TEXT_FIELDS, ('based_on',))
    if command.lease is not None:
        _set_part_defaults(
            command.lease, ('name', 'holder'), ('lease_ms', 'fence')
        )
    if command.decision is not None:
        _set_part_defaults(
            command.decision,
            ('group', 'decision', 'body'),
            ('fence', 'switch_id'),
        )


def _set_part_defaults(
    part: messages.ChangeRequest
    | messages.LeaseRequest
    | messages.DecisionRequest,
    texts: tuple[str, ...],
    numbers: tuple[str, ...],
) -> None:
    for name in texts:
        setattr(part, name, getattr(part, name) or '')
    for name in numbers:
        setattr(part, name, getattr(part, name) or 0)
