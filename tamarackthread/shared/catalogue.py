"""Keep the newest version of each document in the order of revisions.

Control hosts, relays and nodes share this class, so that each of them can
serve the documents after any revision.  Deletions are kept as documents with
an empty body, up to a limit; a reader from before that limit gets the whole
state as a snapshot.
"""

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
    """Documents in the order of revisions, and the revision they lead to.

    ``floor`` is the revision up to which deletions are forgotten.  With
    ``snapshot`` set, what no page names does not exist.
    """

    revision: int
    documents: list[messages.Document]
    snapshot: bool
    more: bool
    floor: int


class Catalogue:
    """Hold documents by kind and name, ordered by revision."""

    def __init__(self) -> None:
        """Start empty at revision 0."""
        # A document that changes is taken out and put at the end, so that
        # the dictionary's own order is the order of revisions.
        self._documents: dict[Key, messages.Document] = {}
        self._deletions = 0
        self._revision = 0
        self._floor = 0

    @property
    def revision(self) -> int:
        """Give the revision that the documents are at; it never falls."""
        return self._revision

    @property
    def floor(self) -> int:
        """Give the revision up to which deletions are forgotten."""
        return self._floor

    def __len__(self) -> int:
        """Count the documents, deletions included."""
        return len(self._documents)

    def put(self, document: messages.Document) -> bool:
        """Take a document unless a newer one is held; say whether it was."""
        key = (document.kind, document.name)
        held = self._documents.get(key)
        if held is not None and held.revision >= document.revision:
            return False
        self._documents.pop(key, None)
        if held is not None and not held.body:
            self._deletions -= 1
        self._documents[key] = document
        self._deletions += not document.body
        self._forget_deletions()
        return True

    def advance(self, revision: int) -> None:
        """Note that all documents up to a revision are held."""
        self._revision = max(self._revision, revision)

    def latest(self, kind: str, name: str) -> messages.Document | None:
        """Find a document by its key, also one that was deleted."""
        return self._documents.get((kind, name))

    def get(self, kind: str, name: str) -> messages.Document | None:
        """Find a document that exists."""
        found = self._documents.get((kind, name))
        return found if found is not None and found.body else None

    def each(self, kind: str) -> collections.abc.Iterator[messages.Document]:
        """Yield the existing documents of a kind, oldest change first."""
        for document in tuple(self._documents.values()):
            if document.kind == kind and document.body:
                yield document

    def everything(self) -> collections.abc.Iterator[messages.Document]:
        """Yield all documents in the order of revisions, deletions too."""
        yield from tuple(self._documents.values())

    def after(self, revision: int, snapshot_floor: int | None = None) -> Page:
        """Build the page that follows a revision.

        ``snapshot_floor`` is the floor of the snapshot that the reader is in
        the middle of; once the floor has moved it starts again from the
        first page, for a deletion may have been forgotten in between.
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
        """Take a whole state, given in the order of revisions."""
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

    def _forget_deletions(self) -> None:
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
    taken = 0
    for position, document in enumerate(newer):
        taken += len(document.body) + DOCUMENT_OVERHEAD_BYTES
        if taken > PAGE_BYTES and position:
            return newer[:position]
    return newer
