"""Answer reads of documents and of the audit trail."""

from __future__ import annotations

from tamarackthread.control import configuration
from tamarackthread.generated.messages import ttypes as messages

MAX_PAGE_BYTES = 256 * 1024
DOCUMENT_OVERHEAD_BYTES = 64
DEFAULT_AUDIT_LIMIT = 1000


def read(
    machine: configuration.Configuration,
    request: messages.ReadRequest,
) -> messages.ReadReply:
    """Return one document, its history, or a page of a kind by name."""
    if request.name:
        selected = _read_one(machine, request)
        more = False
    else:
        selected, more = _read_page(machine, request)
    return messages.ReadReply(
        documents=selected,
        revision=machine.documents.revision,
        more=more,
    )


def audit(
    machine: configuration.Configuration,
    request: messages.AuditRequest,
) -> messages.AuditReply:
    """Return audit records after a revision."""
    limit = request.limit or DEFAULT_AUDIT_LIMIT
    records = machine.audit_trail.after(request.after or 0, limit)
    return messages.AuditReply(records=records)


def _read_one(
    machine: configuration.Configuration,
    request: messages.ReadRequest,
) -> list[messages.Document]:
    latest = machine.documents.latest(request.kind, request.name)
    if latest is None:
        return []
    if not request.history:
        return [latest] if latest.body else []
    versions = machine.history.versions_of(request.kind, request.name)
    return _newest_page([*versions, latest])


def _newest_page(
    versions: list[messages.Document],
) -> list[messages.Document]:
    size = 0
    for position, document in enumerate(reversed(versions)):
        size += len(document.body) + DOCUMENT_OVERHEAD_BYTES
        if position and size > MAX_PAGE_BYTES:
            return versions[len(versions) - position :]
    return versions


def _read_page(
    machine: configuration.Configuration,
    request: messages.ReadRequest,
) -> tuple[list[messages.Document], bool]:
    after = request.after or ''
    remaining = sorted(
        (
            document
            for document in machine.documents.each(request.kind)
            if document.name > after
        ),
        key=lambda document: document.name,
    )
    size = 0
    for position, document in enumerate(remaining):
        size += len(document.body) + DOCUMENT_OVERHEAD_BYTES
        if position and size > MAX_PAGE_BYTES:
            return remaining[:position], True
    return remaining, False
