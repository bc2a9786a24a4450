"""Keep the earlier versions of documents, so that one can be rolled back to."""

from __future__ import annotations

import collections
import collections.abc

from tamarackthread.generated.messages import ttypes as messages

VERSIONS_LIMIT = 50
BYTES_LIMIT = 24 * 1024 * 1024


class DocumentHistory:
    """Hold up to 50 earlier versions a document and 24 MB in all."""

    def __init__(self) -> None:
        """Start with no versions."""
        # Oldest first over all documents, which is what is forgotten first.
        self._versions: collections.OrderedDict[int, messages.Document] = (
            collections.OrderedDict()
        )
        self._by_key: dict[tuple[str, str], list[int]] = {}
        self._bytes = 0

    def add(self, document: messages.Document) -> None:
        """Keep a version that has just been replaced."""
        self._versions[document.revision] = document
        self._bytes += len(document.body)
        revisions = self._by_key.setdefault(_key(document), [])
        revisions.append(document.revision)
        if len(revisions) > VERSIONS_LIMIT:
            self._drop(revisions[0])
        while self._bytes > BYTES_LIMIT:
            self._drop(next(iter(self._versions)))

    def versions_of(self, kind: str, name: str) -> list[messages.Document]:
        """List the earlier versions of one document, the oldest first."""
        revisions = self._by_key.get((kind, name), ())
        return [self._versions[revision] for revision in revisions]

    def all_versions(self) -> list[messages.Document]:
        """List all versions that are kept, the oldest first."""
        return list(self._versions.values())

    def restore(
        self,
        documents: collections.abc.Iterable[messages.Document],
    ) -> None:
        """Take the versions of a snapshot."""
        self._versions.clear()
        self._by_key.clear()
        self._bytes = 0
        for document in documents:
            self.add(document)

    def _drop(self, revision: int) -> None:
        document = self._versions.pop(revision)
        self._bytes -= len(document.body)
        revisions = self._by_key[_key(document)]
        revisions.remove(revision)
        if not revisions:
            self._by_key.pop(_key(document))


def _key(document: messages.Document) -> tuple[str, str]:
    return document.kind, document.name
