"""Keep earlier versions of documents for rollbacks."""

from __future__ import annotations

import collections
import collections.abc

from tamarackthread.generated.messages import ttypes as messages

MAX_VERSIONS = 50
MAX_BYTES = 24 * 1024 * 1024


class DocumentHistory:
    """Earlier versions, limited per document and by total size."""

    def __init__(self) -> None:
        """Start without versions."""
        # In eviction order: oldest first across all documents.
        self._versions: collections.OrderedDict[int, messages.Document] = (
            collections.OrderedDict()
        )
        self._revisions: dict[tuple[str, str], list[int]] = {}
        self._bytes = 0

    def add(self, document: messages.Document) -> None:
        """Add a replaced version, evicting the oldest ones over the limits."""
        self._versions[document.revision] = document
        self._bytes += len(document.body)
        revisions = self._revisions.setdefault(_key(document), [])
        revisions.append(document.revision)
        if len(revisions) > MAX_VERSIONS:
            self._evict(revisions[0])
        while self._bytes > MAX_BYTES:
            self._evict(next(iter(self._versions)))

    def versions_of(self, kind: str, name: str) -> list[messages.Document]:
        """List the earlier versions of a document, oldest first."""
        revisions = self._revisions.get((kind, name), ())
        return [self._versions[revision] for revision in revisions]

    def all_versions(self) -> list[messages.Document]:
        """List all versions, oldest first."""
        return list(self._versions.values())

    def restore(
        self,
        documents: collections.abc.Iterable[messages.Document],
    ) -> None:
        """Replace all versions by those of a snapshot."""
        self._versions.clear()
        self._revisions.clear()
        self._bytes = 0
        for document in documents:
            self.add(document)

    def _evict(self, revision: int) -> None:
        document = self._versions.pop(revision)
        self._bytes -= len(document.body)
        revisions = self._revisions[_key(document)]
        revisions.remove(revision)
        if not revisions:
            self._revisions.pop(_key(document))


def _key(document: messages.Document) -> tuple[str, str]:
    return document.kind, document.name
