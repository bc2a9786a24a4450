"""Answer reads of documents and of the audit trail."""

from __future__ import annotations

from tamarackthread.control import configuration
from tamarackthread.generated.messages import ttypes as messages

PAGE_BYTES = 256 * 1024
DOCUMENT_OVERHEAD_BYTES = 64
AUDIT_LIMIT = 1000


def read(
    machine: configuration.Configuration,
    request: messages.ReadRequest,
) -> messages.ReadReply:
    """List one document, its history, or one page of a kind by name."""
    if request.name:
        found = _named(machine, request)
        more = False
    else:
        found, more = _page(machine, request)
    return messages.ReadReply(
        documents=found,
        revision=machine.documents.revision,
        more=more,
    )


def audit(
    machine: configuration.Configuration,
    request: messages.AuditRequest,
) -> messages.AuditReply:
    """List audit records after a revision."""
    limit = request.limit or AUDIT_LIMIT
    records = machine.trail.after(request.after or 0, limit)
    return messages.AuditReply(records=records)


def _named(
    machine: configuration.Configuration,
    request: messages.ReadRequest,
) -> list[messages.Document]:
    latest = machine.documents.latest(request.kind, request.name)
    if latest is None:
        return []
    if not request.history:
        return [latest] if latest.body else []
    earlier = machine.history.versions_of(request.kind, request.name)
    return _newest_within_page([*earlier, latest])


def _newest_within_page(
    versions: list[messages.Document],
) -> list[messages.Document]:
    taken = 0
    for position, document in enumerate(reversed(versions)):
        taken += len(document.body) + DOCUMENT_OVERHEAD_BYTES
        if position and taken > PAGE_BYTES:
            return versions[len(versions) - position :]
    return versions


def _page(
    machine: configuration.Configuration,
    request: messages.ReadRequest,
) -> tuple[list[messages.Document], bool]:
    after = request.after or ''
    following = sorted(
        (
            document
            for document in machine.documents.each(request.kind)
            if document.name > after
        ),
        key=lambda document: document.name,
    )
    taken = 0
    for position, document in enumerate(following):
        taken += len(document.body) + DOCUMENT_OVERHEAD_BYTES
        if position and taken > PAGE_BYTES:
            return following[:position], True
    return following, False
