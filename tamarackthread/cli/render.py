"""Lay answers out for people and for scripts."""

from __future__ import annotations

import collections.abc
import datetime
import json
import typing

from tamarackthread.cli import changes, document_files
from tamarackthread.generated.messages import ttypes as messages

MILLISECONDS = 1000
_GAP = '  '

Rows = collections.abc.Sequence[collections.abc.Sequence[typing.Any]]


def as_json(value: typing.Any) -> str:
    """Write one value as JSON on one line."""
    return json.dumps(value, ensure_ascii=False)


def table(heads: collections.abc.Sequence[str], rows: Rows) -> str:
    """Lay rows out under heads, each column as wide as it needs."""
    lines = [tuple(heads), *(tuple(str(cell) for cell in row) for row in rows)]
    widths = [max(len(cell) for cell in column) for column in zip(*lines)]
    return '\n'.join(
        _GAP.join(
            cell.ljust(width) for cell, width in zip(line, widths)
        ).rstrip()
        for line in lines
    )


def yes(value: bool) -> str:
    """Write a truth value in a word."""
    return 'yes' if value else 'no'


def moment(unix_ms: int) -> str:
    """Write a time of the wall clock in UTC, to the millisecond."""
    found = datetime.datetime.fromtimestamp(
        unix_ms / MILLISECONDS,
        datetime.UTC,
    )
    return found.isoformat(timespec='milliseconds').replace('+00:00', 'Z')


def document_values(document: messages.Document) -> dict[str, typing.Any]:
    """Give a document as plain values; the body of a deletion is null."""
    return {
        'kind': document.kind,
        'name': document.name,
        'version': document.version,
        'revision': document.revision,
        'body': json.loads(document.body) if document.body else None,
    }


def result_values(result: changes.Result) -> dict[str, typing.Any]:
    """Give the result of a change as plain values."""
    return {
        'outcome': str(result.outcome),
        'change_id': result.change_id,
        'version': result.version,
        'revision': result.revision,
        'difference': result.difference,
    }


def result_text(result: changes.Result, title: str) -> str:
    """Say what became of a change."""
    if result.outcome == changes.Outcome.CONFLICT:
        return (
            f'{title}: conflict, version {result.version} is in force\n'
            f'{result.difference}'
        )
    return (
        f'{title}: {result.outcome}, version {result.version}, '
        f'revision {result.revision}'
    )


def status_values(status: messages.StatusReply) -> dict[str, typing.Any]:
    """Give a status as plain values."""
    return {
        'revision': status.revision,
        'nodes': status.nodes,
        'in_force': status.in_force,
        'in_force_everywhere': bool(status.in_force_everywhere),
        'waiting_seconds': (status.waiting_ms or 0) / MILLISECONDS,
        'leader': status.leader or '',
        'term': status.term or 0,
        'laggards': [
            {
                'node': laggard.node,
                'zone': laggard.zone,
                'revision': laggard.revision,
            }
            for laggard in status.laggards or ()
        ],
    }


def status_text(status: messages.StatusReply, revision: int) -> str:
    """Say how far a revision is in force, and who lags."""
    asked = revision or status.revision
    lines = [
        f'revision {asked} in force on {status.in_force} '
        f'of {status.nodes} nodes',
        f'everywhere: {yes(bool(status.in_force_everywhere))}',
        f'newest revision {status.revision}, leader {status.leader}, '
        f'term {status.term}',
    ]
    for laggard in status.laggards or ():
        lines.append(
            f'behind: {laggard.node} ({laggard.zone}) '
            f'at revision {laggard.revision}',
        )
    return '\n'.join(lines)


def audit_values(record: messages.AuditRecord) -> dict[str, typing.Any]:
    """Give an audit record as plain values."""
    return {
        'revision': record.revision,
        'time': moment(record.unix_ms or 0),
        'actor': record.actor,
        'origin': record.origin,
        'kind': record.kind,
        'name': record.name,
        'outcome': record.outcome,
        'change_id': record.change_id,
        'before': json.loads(record.before) if record.before else None,
        'after': json.loads(record.after) if record.after else None,
    }


def audit_text(record: messages.AuditRecord, with_difference: bool) -> str:
    """Say who changed what and when, on one line or with the difference."""
    line = (
        f'{record.revision} {moment(record.unix_ms or 0)} '
        f'{record.actor}@{record.origin} {record.kind} {record.name} '
        f'{record.outcome}'
    )
    if not with_difference:
        return line
    shown = document_files.difference(
        record.before or '',
        record.after or '',
        'before',
        'after',
    )
    return f'{line}\n{shown}'


def members_values(reply: messages.MemberReply) -> dict[str, typing.Any]:
    """Give the members of a group as plain values."""
    return {
        'term': reply.term,
        'commit_index': reply.commit_index,
        'members': [
            {
                'node': member.node,
                'address': member.address,
                'voter': bool(member.voter),
                'leader': bool(member.leader),
                'reachable': bool(member.reachable),
                'match_index': member.match_index,
            }
            for member in reply.members or ()
        ],
    }


def members_text(
    groups: collections.abc.Mapping[str, messages.MemberReply],
) -> str:
    """Show the members of each group in one table."""
    rows = []
    for group, reply in groups.items():
        rows.extend(_member_rows(group, reply))
    heads = ('group', 'node', 'address', 'part', 'leads', 'reachable', 'index')
    return table(heads, rows)


def _member_rows(group: str, reply: messages.MemberReply) -> Rows:
    return [
        (
            group,
            member.node,
            member.address,
            'voter' if member.voter else 'learner',
            yes(bool(member.leader)),
            yes(bool(member.reachable)),
            member.match_index,
        )
        for member in reply.members or ()
    ]
