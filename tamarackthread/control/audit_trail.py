"""Keep the audit trail of attempted changes, accepted and refused.

The trail is part of the replicated state, so that it is the same on every
control host and no later change can alter it.  It forgets its oldest records
beyond a limit; operators export them before.
"""

from __future__ import annotations

import bisect
import collections.abc
import operator

from tamarackthread.generated.messages import ttypes as messages

RECORDS_LIMIT = 100_000
BYTES_LIMIT = 32 * 1024 * 1024
PAGE_BYTES = 256 * 1024
RECORD_OVERHEAD_BYTES = 128


class AuditTrail:
    """Hold audit records in the order of their revisions."""

    def __init__(self, limit: int = RECORDS_LIMIT) -> None:
        """Keep at most ``limit`` records and 32 MB of bodies."""
        self._limit = limit
        self._records: collections.deque[messages.AuditRecord] = (
            collections.deque()
        )
        self._bytes = 0

    def append(self, record: messages.AuditRecord) -> None:
        """Add the newest record and forget the oldest beyond the limits."""
        self._records.append(record)
        self._bytes += size_of(record)
        while len(self._records) > self._limit or self._bytes > BYTES_LIMIT:
            self._bytes -= size_of(self._records.popleft())

    def after(self, revision: int, limit: int) -> list[messages.AuditRecord]:
        """List records after a revision, at most one page of them."""
        records = tuple(self._records)
        start = bisect.bisect_right(
            records,
            revision,
            key=operator.attrgetter('revision'),
        )
        page: list[messages.AuditRecord] = []
        taken = 0
        for record in records[start : start + max(limit, 0)]:
            taken += size_of(record)
            if page and taken > PAGE_BYTES:
                break
            page.append(record)
        return page

    def everything(self) -> list[messages.AuditRecord]:
        """List all records that are kept."""
        return list(self._records)

    def replace(
        self,
        records: collections.abc.Iterable[messages.AuditRecord],
    ) -> None:
        """Take the records of a snapshot."""
        self._records.clear()
        self._bytes = 0
        for record in records:
            self.append(record)


def size_of(record: messages.AuditRecord) -> int:
    """Estimate the bytes that a record takes."""
    return len(record.before) + len(record.after) + RECORD_OVERHEAD_BYTES
