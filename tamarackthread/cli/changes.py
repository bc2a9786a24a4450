"""Apply, delete and roll back documents, each as one change with an id."""

from __future__ import annotations

import enum
import uuid

import attrs

from tamarackthread.cli import client, document_files, failures
from tamarackthread.generated.messages import ttypes as messages
from tamarackthread.shared import findings


class Outcome(enum.StrEnum):
    """Tell whether control accepted a change."""

    ACCEPTED = 'accepted'
    UNCHANGED = 'unchanged'
    CONFLICT = 'conflict'


@attrs.frozen
class Result:
    """The outcome of a change.

    ``difference`` is a diff from the version in force, for a conflict only.
    """

    outcome: Outcome
    change_id: str
    version: int
    revision: int
    difference: str = ''


@attrs.frozen
class Edit:
    """A change of one document; an empty body deletes the document."""

    kind: str
    name: str
    body: str
    # The version that was edited, ``None`` if unknown.
    based_on: int | None = None
    # Set only to retry a change whose outcome is unknown.
    change_id: str = ''


def new_change_id() -> str:
    """Generate a unique id for a change."""
    return uuid.uuid4().hex


async def apply(operator: client.Operator, edit: Edit) -> Result:
    """Apply an edit; raise ``InvalidError`` if control rejects the body."""
    change_id = edit.change_id or new_change_id()
    based_on = edit.based_on
    # A retried change is sent without comparing it to the version in force:
    # it may be that version, and control then repeats its first reply.
    if not edit.change_id:
        current = await operator.document(edit.kind, edit.name)
        if current is not None and document_files.is_same_body(
            current.body, edit.body
        ):
            return Result(
                Outcome.UNCHANGED,
                change_id,
                current.version,
                current.revision,
            )
        based_on = _base_version(edit, current)
    change = client.Change(
        change_id=change_id,
        kind=edit.kind,
        name=edit.name,
        based_on=based_on or 0,
        body=edit.body,
    )
    return await _send(operator, change)


async def delete(operator: client.Operator, edit: Edit) -> Result:
    """Delete a document; raise ``DocumentNotFound`` if there is none."""
    if edit.change_id:
        return await apply(operator, edit)
    current = await operator.document(edit.kind, edit.name)
    if current is None:
        raise failures.DocumentNotFound(f'{edit.kind} {edit.name}')
    if edit.based_on is None:
        edit = attrs.evolve(edit, based_on=current.version)
    return await apply(operator, edit)


async def roll_back(
    operator: client.Operator,
    edit: Edit,
    version: int,
) -> Result:
    """Apply the body of an earlier version as the newest version."""
    documents = await versions(operator, edit.kind, edit.name)
    body = None
    for document in documents:
        if document.version == version:
            body = document.body
    if body is None:
        raise failures.DocumentNotFound(
            f'{edit.kind} {edit.name} version {version}',
        )
    based_on = edit.based_on
    if based_on is None:
        based_on = documents[-1].version
    return await apply(
        operator,
        attrs.evolve(edit, body=body, based_on=based_on),
    )


async def versions(
    operator: client.Operator,
    kind: str,
    name: str,
) -> list[messages.Document]:
    """List the stored versions of a document, the oldest first."""
    documents = await operator.versions(kind, name)
    found = {document.version: document for document in documents}
    return [found[version] for version in sorted(found)]


def _base_version(edit: Edit, current: messages.Document | None) -> int:
    if edit.based_on is not None:
        return edit.based_on
    if current is None:
        return 0
    raise failures.BaseUnknown(
        f'{edit.kind} {edit.name} is at version {current.version}; start '
        f'from "{edit.kind} show {edit.name}", or say --based-on',
    )


async def _send(operator: client.Operator, change: client.Change) -> Result:
    try:
        reply = await operator.change(change)
    except failures.ChangeOutcomeUnknown as exc:
        raise failures.ChangeOutcomeUnknown(
            f'{exc}; repeat it with --change-id {change.change_id} '
            f'--based-on {change.based_on}',
        ) from exc
    if reply.status == messages.ChangeStatus.INVALID:
        raise findings.InvalidError(
            findings.Finding(found.place or '$', found.code, found.text)
            for found in reply.findings
        )
    if reply.status == messages.ChangeStatus.CONFLICT:
        return _conflict(change, reply)
    return Result(
        Outcome.ACCEPTED,
        change.change_id,
        reply.version,
        reply.revision,
    )


def _conflict(change: client.Change, reply: messages.ChangeReply) -> Result:
    return Result(
        Outcome.CONFLICT,
        change.change_id,
        reply.version,
        reply.revision,
        document_files.unified_diff(
            document_files.body_or_empty(reply.current),
            change.body,
            f'in force (version {reply.version})',
            f'yours (made from version {change.based_on})',
        ),
    )
