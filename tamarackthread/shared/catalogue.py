"""Store the newest version of each document in order of revision."""

from __future__ import annotations

import collections.abc

import attrs

from tamarackthread.generated.messages import ttypes as messages

PAGE_BYTES = 256 * 1024
DOCUMENT_OVERHEAD_BYTES = 48
DELETIONS_LIMIT = 4096
DELETIONS_KEPT = 2048

Key = tuple[str, str]


@attrs.frozen
class Page:
    """Documents up to a revision.  ``floor`` is that of the newest dropped
    deletion; in a snapshot, documents on no page do not exist.
    """

    revision: int
    documents: list[messages.Document]
    snapshot: bool
    more: bool
    floor: int


class Catalogue:
    """Documents by kind and name; deletions are kept with an empty body, up to a
    limit, and readers from before that need a snapshot.
    """

    def __init__(self) -> None:
        """Start empty at revision 0."""
        # A changed document is moved to the end, so that the dictionary is
        # in order of revision.
        self._documents: dict[Key, messages.Document] = {}
        self._deletions = 0
        self._revision = 0
        self._floor = 0

    @property
    def revision(self) -> int:
        """Return the revision of the documents; it never decreases."""
        return self._revision

    @property
    def floor(self) -> int:
        """Return the revision of the newest deletion that was dropped."""
        return self._floor

    def __len__(self) -> int:
        """Return the number of documents, including deletions."""
        return len(self._documents)

    def put(self, document: messages.Document) -> bool:
        """Store a document unless it is stale; return whether it was stored."""
        key = (document.kind, document.name)
        stored = self._documents.get(key)
        if stored is not None and stored.revision >= document.revision:
            return False
        self._documents.pop(key, None)
        if stored is not None and not stored.body:
            self._deletions -= 1
        self._documents[key] = document
        self._deletions += not document.body
        self._drop_deletions()
        return True

    def advance(self, revision: int) -> None:
        """Raise the revision, once all documents up to it are stored."""
        self._revision = max(self._revision, revision)

    def latest(self, kind: str, name: str) -> messages.Document | None:
        """Return a document by its key, including a deletion."""
        return self._documents.get((kind, name))

    def get(self, kind: str, name: str) -> messages.Document | None:
        """Return a document, or ``None`` if it is missing or deleted."""
        found = self._documents.get((kind, name))
        return found if found is not None and found.body else None

    def each(self, kind: str) -> collections.abc.Iterator[messages.Document]:
        """Yield the documents of a kind in order of revision, without deletions."""
        for document in tuple(self._documents.values()):
            if document.kind == kind and document.body:
                yield document

    def everything(self) -> collections.abc.Iterator[messages.Document]:
        """Yield all documents and deletions in order of revision."""
        yield from tuple(self._documents.values())

    def after(self, revision: int, snapshot_floor: int | None = None) -> Page:
        """Build the page after a revision.  If the floor has moved from the one
        at which the reader's snapshot began, the snapshot starts over.
        """
        snapshot = snapshot_floor is not None or revision < self._floor
        if snapshot and snapshot_floor != self._floor:
            revision = 0
        newer = self._newer(revision)
        chosen = _first_page(newer)
        more = len(chosen) < len(newer)
        reached = chosen[-1].revision if more else self._revision
        return Page(reached, chosen, snapshot, more, self._floor)

    def replace(
        self,
        documents: collections.abc.Iterable[messages.Document],
        revision: int,
        floor: int,
    ) -> None:
        """Replace the whole state by documents in order of revision."""
        self._documents = {}
        self._deletions = 0
        self._floor = floor
        for document in documents:
            self._documents[(document.kind, document.name)] = document
            self._deletions += not document.body
        self.advance(revision)

    def _newer(self, revision: int) -> list[messages.Document]:
        newer = []
        for document in reversed(self._documents.values()):
            if document.revision <= revision:
                break
            newer.append(document)
        newer.reverse()
        return newer

    def _drop_deletions(self) -> None:
        if self._deletions <= DELETIONS_LIMIT:
            return
        for key, document in tuple(self._documents.items()):
            if document.body:
                continue
            self._documents.pop(key)
            self._deletions -= 1
            self._floor = document.revision
            if self._deletions <= DELETIONS_KEPT:
                return


def _first_page(newer: list[messages.Document]) -> list[messages.Document]:
    size = 0
    for position, document in enumerate(newer):
        size += len(document.body) + DOCUMENT_OVERHEAD_BYTES
        if size > PAGE_BYTES and position:
            return newer[:position]
    return newer
