"""Apply, delete and roll back documents.

Each function makes one change with one id; a caller that repeats it after an
unknown outcome passes the same id and gets the first answer.
"""

from __future__ import annotations

import enum
import uuid

import attrs

from tamarackthread.cli import client, document_files, failures
from tamarackthread.generated.messages import ttypes as messages
from tamarackthread.shared import findings


class Outcome(enum.StrEnum):
    """Say what became of a change."""

    ACCEPTED = 'accepted'
    UNCHANGED = 'unchanged'
    CONFLICT = 'conflict'


@attrs.frozen
class Result:
    """The outcome of a change.

    ``difference`` leads from what is in force to what was asked for; it is
    empty unless the outcome is a conflict.
    """

    outcome: Outcome
    change_id: str
    version: int
    revision: int
    difference: str = ''


@attrs.frozen
class Wish:
    """What an operator wants a document to become.

    ``based_on`` is the version that the wish was made from, ``None`` if that
    is unknown.  An empty body deletes.  A ``change_id`` is given only to
    repeat a change whose outcome is unknown.
    """

    kind: str
    name: str
    body: str
    based_on: int | None = None
    change_id: str = ''


def new_change_id() -> str:
    """Make an id that no other change has."""
    return uuid.uuid4().hex


async def apply(operator: client.Operator, wish: Wish) -> Result:
    """Make a change; raise ``InvalidError`` if control refuses the body."""
    change_id = wish.change_id or new_change_id()
    based_on = wish.based_on
    # A repeated change is sent without a look at what is in force: it may
    # itself be in force, and its first answer is what the operator lost.
    if not wish.change_id:
        current = await operator.document(wish.kind, wish.name)
        if current is not None and document_files.same(current.body, wish.body):
            return Result(
                Outcome.UNCHANGED,
                change_id,
                current.version,
                current.revision,
            )
        based_on = _base(wish, current)
    change = client.Change(
        change_id=change_id,
        kind=wish.kind,
        name=wish.name,
        based_on=based_on or 0,
        body=wish.body,
    )
    return await _send(operator, change)


async def delete(operator: client.Operator, wish: Wish) -> Result:
    """Delete a document; raise ``DocumentNotFound`` if there is none."""
    if wish.change_id:
        return await apply(operator, wish)
    current = await operator.document(wish.kind, wish.name)
    if current is None:
        raise failures.DocumentNotFound(f'{wish.kind} {wish.name}')
    if wish.based_on is None:
        wish = attrs.evolve(wish, based_on=current.version)
    return await apply(operator, wish)


async def roll_back(
    operator: client.Operator,
    wish: Wish,
    version: int,
) -> Result:
    """Make an earlier version's body the newest version."""
    past = await versions(operator, wish.kind, wish.name)
    body = None
    for document in past:
        if document.version == version:
            body = document.body
    if body is None:
        raise failures.DocumentNotFound(
            f'{wish.kind} {wish.name} version {version}',
        )
    based_on = wish.based_on
    if based_on is None:
        based_on = past[-1].version
    return await apply(
        operator,
        attrs.evolve(wish, body=body, based_on=based_on),
    )


async def versions(
    operator: client.Operator,
    kind: str,
    name: str,
) -> list[messages.Document]:
    """List all kept versions of a document, the oldest first."""
    past = await operator.versions(kind, name)
    found = {document.version: document for document in past}
    return [found[version] for version in sorted(found)]


def _base(wish: Wish, current: messages.Document | None) -> int:
    if wish.based_on is not None:
        return wish.based_on
    if current is None:
        return 0
    raise failures.BaseUnknown(
        f'{wish.kind} {wish.name} is at version {current.version}; start '
        f'from "{wish.kind} show {wish.name}", or say --based-on',
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
        document_files.difference(
            document_files.body_of(reply.current),
            change.body,
            f'in force (version {reply.version})',
            f'yours (made from version {change.based_on})',
        ),
    )
