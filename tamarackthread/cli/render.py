"""Format replies as text and as JSON values."""

from __future__ import annotations

import collections.abc
import datetime
import json
import typing

from tamarackthread.cli import changes, document_files
from tamarackthread.generated.messages import ttypes as messages

MILLISECONDS = 1000
_COLUMN_GAP = '  '

Rows = collections.abc.Sequence[collections.abc.Sequence[typing.Any]]


def as_json(value: typing.Any) -> str:
    """Serialize a value as JSON on one line."""
    return json.dumps(value, ensure_ascii=False)


def table(headers: collections.abc.Sequence[str], rows: Rows) -> str:
    """Format a table with column widths that fit the cells."""
    lines = [
        tuple(headers),
        *(tuple(str(cell) for cell in row) for row in rows),
    ]
    widths = [max(len(cell) for cell in column) for column in zip(*lines)]
    return '\n'.join(
        _COLUMN_GAP.join(
            cell.ljust(width) for cell, width in zip(line, widths)
        ).rstrip()
        for line in lines
    )


def yes_no(value: bool) -> str:
    """Format a truth value as ``yes`` or ``no``."""
    return 'yes' if value else 'no'


def utc_time(unix_ms: int) -> str:
    """Format Unix milliseconds as an ISO 8601 time in UTC."""
    found = datetime.datetime.fromtimestamp(
        unix_ms / MILLISECONDS,
        datetime.UTC,
    )
    return found.isoformat(timespec='milliseconds').replace('+00:00', 'Z')


def document_values(document: messages.Document) -> dict[str, typing.Any]:
    """Convert a document to JSON values; a deletion has a null body."""
    return {
        'kind': document.kind,
        'name': document.name,
        'version': document.version,
        'revision': document.revision,
        'body': json.loads(document.body) if document.body else None,
    }


def result_values(result: changes.Result) -> dict[str, typing.Any]:
    """Convert the result of a change to JSON values."""
    return {
        'outcome': str(result.outcome),
        'change_id': result.change_id,
        'version': result.version,
        'revision': result.revision,
        'difference': result.difference,
    }


def result_text(result: changes.Result, title: str) -> str:
    """Format the result of a change."""
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
    """Convert a status to JSON values."""
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
    """Format how many nodes have a revision in force, and the laggards."""
    asked = revision or status.revision
    lines = [
        f'revision {asked} in force on {status.in_force} '
        f'of {status.nodes} nodes',
        f'everywhere: {yes_no(bool(status.in_force_everywhere))}',
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
    """Convert an audit record to JSON values."""
    return {
        'revision': record.revision,
        'time': utc_time(record.unix_ms or 0),
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
    """Format an audit record as one line, optionally with a diff."""
    line = (
        f'{record.revision} {utc_time(record.unix_ms or 0)} '
        f'{record.actor}@{record.origin} {record.kind} {record.name} '
        f'{record.outcome}'
    )
    if not with_difference:
        return line
    shown = document_files.unified_diff(
        record.before or '',
        record.after or '',
        'before',
        'after',
    )
    return f'{line}\n{shown}'


def members_values(reply: messages.MemberReply) -> dict[str, typing.Any]:
    """Convert the members of a group to JSON values."""
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
    """Format the members of all groups as one table."""
    rows = []
    for group, reply in groups.items():
        rows.extend(_member_rows(group, reply))
    headers = (
        'group',
        'node',
        'address',
        'part',
        'leads',
        'reachable',
        'index',
    )
    return table(headers, rows)


def _member_rows(group: str, reply: messages.MemberReply) -> Rows:
    return [
        (
            group,
            member.node,
            member.address,
            'voter' if member.voter else 'learner',
            yes_no(bool(member.leader)),
            yes_no(bool(member.reachable)),
            member.match_index,
        )
        for member in reply.members or ()
    ]
