"""Hold the documents of a node and the lease under which it acts on them.

All times are on the loop's clock.  A lease that covers a revision below the
node's own is as good as any: it was granted before the newer revision was
accepted, and ends within one lease time of it.
"""

from __future__ import annotations

import asyncio

from tamarackthread.generated.messages import ttypes as messages
from tamarackthread.shared import catalogue, feed_server

MILLISECONDS = 1000


class LeasedCatalogue:
    """Take over replies of the feed without ever going back."""

    def __init__(self) -> None:
        """Start at revision 0 without a lease."""
        self._started_at = asyncio.get_running_loop().time()
        self._documents = catalogue.Catalogue()
        self._staged: list[messages.Document] = []
        self._staged_floor: int | None = None
        self._staged_revision = 0
        self._lease_ends_at = self._started_at
        self._lease_revision = 0
        self._backed_at: float | None = None

    @property
    def documents(self) -> catalogue.Catalogue:
        """Give the documents that this node holds."""
        return self._documents

    @property
    def after(self) -> int:
        """Give the revision to ask from, within a snapshot its last page."""
        if self._staged_floor is not None:
            return self._staged_revision
        return self._documents.revision

    @property
    def floor(self) -> int | None:
        """Give the floor of the snapshot that is half fetched, if any."""
        return self._staged_floor

    def lease_remaining(self) -> float:
        """Give the seconds that the lease still runs, 0 once it has ended."""
        now = asyncio.get_running_loop().time()
        return max(self._lease_ends_at - now, 0)

    def is_current(self, lease_seconds: float | None = None) -> bool:
        """Tell whether this node may take new work.

        It must hold a lease that a leader stood behind after this process
        started.  An older one could have been granted before a change that
        this node had already acted on in its life before, and it would go
        back behind it.  ``lease_seconds`` shortens the lease further.
        """
        if not self.lease_remaining() or self._backed_at is None:
            return False
        if self._backed_at < self._started_at:
            return False
        if lease_seconds is None:
            return True
        now = asyncio.get_running_loop().time()
        return now - self._backed_at <= lease_seconds

    def grant(self) -> feed_server.Grant:
        """Give the lease to pass on, never longer than this node's own."""
        if not self.lease_remaining() or self._backed_at is None:
            return feed_server.Grant()
        now = asyncio.get_running_loop().time()
        return feed_server.Grant(
            remaining=self._lease_ends_at - now,
            age=now - self._backed_at,
            revision=self._lease_revision,
        )

    def take(self, reply: messages.FeedReply, sent_at: float) -> bool:
        """Take documents and lease of a reply; say if the lease grew."""
        if reply.snapshot:
            self._stage(reply)
        elif reply.revision > self._documents.revision:
            self.abandon_snapshot()
            for document in reply.documents or ():
                self._documents.put(document)
            self._documents.advance(reply.revision)
        return self._take_lease(reply, sent_at)

    def abandon_snapshot(self) -> None:
        """Forget the pages of a snapshot that was fetched in part."""
        self._staged.clear()
        self._staged_floor = None
        self._staged_revision = 0

    def _stage(self, reply: messages.FeedReply) -> None:
        if reply.floor != self._staged_floor:
            self.abandon_snapshot()
            self._staged_floor = reply.floor
        self._staged.extend(reply.documents or ())
        self._staged_revision = max(self._staged_revision, reply.revision)
        if reply.more:
            return
        if self._staged_revision > self._documents.revision:
            newest = _newest(self._staged)
            self._documents.replace(newest, reply.revision, reply.floor)
        self.abandon_snapshot()

    def _take_lease(self, reply: messages.FeedReply, sent_at: float) -> bool:
        if not reply.lease_ms:
            return False
        if (reply.lease_revision or 0) > self._documents.revision:
            return False
        ends_at = sent_at + reply.lease_ms / MILLISECONDS
        if ends_at <= self._lease_ends_at:
            return False
        backed_at = sent_at - (reply.age_ms or 0) / MILLISECONDS
        self._lease_ends_at = ends_at
        self._lease_revision = reply.lease_revision or 0
        self._backed_at = max(self._backed_at or backed_at, backed_at)
        return True


def _newest(documents: list[messages.Document]) -> list[messages.Document]:
    """Leave out what changed again while the pages were fetched."""
    ordered: dict[tuple[str, str], messages.Document] = {}
    for document in documents:
        key = (document.kind, document.name)
        ordered.pop(key, None)
        ordered[key] = document
    return list(ordered.values())
