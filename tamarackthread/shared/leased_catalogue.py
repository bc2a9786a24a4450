"""Hold a node's documents and its lease.  A lease for an older revision stays
valid: it ends at most one lease time after the newer one was accepted.
"""

from __future__ import annotations

import asyncio

from tamarackthread.generated.messages import ttypes as messages
from tamarackthread.shared import catalogue, feed_server

MILLISECONDS = 1000


class LeasedCatalogue:
    """Documents and lease of a node; the revision never decreases."""

    def __init__(self) -> None:
        """Start at revision 0 without a lease."""
        self._started_at = asyncio.get_running_loop().time()
        self._documents = catalogue.Catalogue()
        self._snapshot_documents: list[messages.Document] = []
        self._snapshot_floor: int | None = None
        self._snapshot_revision = 0
        self._lease_ends_at = self._started_at
        self._lease_revision = 0
        self._confirmed_at: float | None = None

    @property
    def documents(self) -> catalogue.Catalogue:
        """Return the documents."""
        return self._documents

    @property
    def after(self) -> int:
        """Return the revision to poll from, in a snapshot its last page's."""
        if self._snapshot_floor is not None:
            return self._snapshot_revision
        return self._documents.revision

    @property
    def floor(self) -> int | None:
        """Return the floor of a partly fetched snapshot, if any."""
        return self._snapshot_floor

    def lease_remaining(self) -> float:
        """Return the remaining seconds of the lease, 0 if expired."""
        now = asyncio.get_running_loop().time()
        return max(self._lease_ends_at - now, 0)

    def is_ready(self, lease_seconds: float | None = None) -> bool:
        """Return whether a leader has confirmed the lease after this start and, if
        given, within the last ``lease_seconds``.
        """
        if not self.lease_remaining() or self._confirmed_at is None:
            return False
        # An older lease may predate revisions that this node applied before its
        # restart.
        if self._confirmed_at < self._started_at:
            return False
        if lease_seconds is None:
            return True
        now = asyncio.get_running_loop().time()
        return now - self._confirmed_at <= lease_seconds

    def grant(self) -> feed_server.Grant:
        """Return the lease to grant to children, no longer than the own."""
        if not self.lease_remaining() or self._confirmed_at is None:
            return feed_server.Grant()
        now = asyncio.get_running_loop().time()
        return feed_server.Grant(
            remaining=self._lease_ends_at - now,
            age=now - self._confirmed_at,
            revision=self._lease_revision,
        )

    def apply_reply(self, reply: messages.FeedReply, sent_at: float) -> bool:
        """Apply a reply; return whether it extended the lease."""
        if reply.snapshot:
            self._add_snapshot_page(reply)
        elif reply.revision > self._documents.revision:
            self.abandon_snapshot()
            for document in reply.documents or ():
                self._documents.put(document)
            self._documents.advance(reply.revision)
        return self._take_lease(reply, sent_at)

    def abandon_snapshot(self) -> None:
        """Discard the pages of a partly fetched snapshot."""
        self._snapshot_documents.clear()
        self._snapshot_floor = None
        self._snapshot_revision = 0

    def _add_snapshot_page(self, reply: messages.FeedReply) -> None:
        if reply.floor != self._snapshot_floor:
            self.abandon_snapshot()
            self._snapshot_floor = reply.floor
        self._snapshot_documents.extend(reply.documents or ())
        self._snapshot_revision = max(self._snapshot_revision, reply.revision)
        if reply.more:
            return
        if self._snapshot_revision > self._documents.revision:
            latest = _latest_versions(self._snapshot_documents)
            self._documents.replace(latest, reply.revision, reply.floor)
        self.abandon_snapshot()

    def _take_lease(self, reply: messages.FeedReply, sent_at: float) -> bool:
        if not reply.lease_ms:
            return False
        if (reply.lease_revision or 0) > self._documents.revision:
            return False
        ends_at = sent_at + reply.lease_ms / MILLISECONDS
        if ends_at <= self._lease_ends_at:
            return False
        confirmed_at = sent_at - (reply.age_ms or 0) / MILLISECONDS
        self._lease_ends_at = ends_at
        self._lease_revision = reply.lease_revision or 0
        self._confirmed_at = max(
            self._confirmed_at or confirmed_at, confirmed_at
        )
        return True


def _latest_versions(
    documents: list[messages.Document],
) -> list[messages.Document]:
    """Return the last version of each document in the snapshot's pages."""
    ordered: dict[tuple[str, str], messages.Document] = {}
    for document in documents:
        key = (document.kind, document.name)
        ordered.pop(key, None)
        ordered[key] = document
    return list(ordered.values())
