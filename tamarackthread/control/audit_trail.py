"""Replicated audit trail of attempted changes, accepted or not."""

from __future__ import annotations

import bisect
import collections.abc
import operator

from tamarackthread.generated.messages import ttypes as messages

MAX_RECORDS = 100_000
MAX_BYTES = 32 * 1024 * 1024
PAGE_BYTES = 256 * 1024
RECORD_OVERHEAD_BYTES = 128


class AuditTrail:
    """Hold audit records ordered by revision."""

    def __init__(self, limit: int = MAX_RECORDS) -> None:
        """Hold at most ``limit`` records and ``MAX_BYTES`` bytes."""
        self._limit = limit
        self._records: collections.deque[messages.AuditRecord] = (
            collections.deque()
        )
        self._bytes = 0

    def append(self, record: messages.AuditRecord) -> None:
        """Append a record and evict the oldest beyond the limits."""
        self._records.append(record)
        self._bytes += size_of(record)
        while len(self._records) > self._limit or self._bytes > MAX_BYTES:
            self._bytes -= size_of(self._records.popleft())

    def after(self, revision: int, limit: int) -> list[messages.AuditRecord]:
        """Return at most ``limit`` records after a revision, within a page."""
        records = tuple(self._records)
        start = bisect.bisect_right(
            records,
            revision,
            key=operator.attrgetter('revision'),
        )
        page: list[messages.AuditRecord] = []
        page_bytes = 0
        for record in records[start : start + max(limit, 0)]:
            page_bytes += size_of(record)
            if page and page_bytes > PAGE_BYTES:
                break
            page.append(record)
        return page

    def everything(self) -> list[messages.AuditRecord]:
        """Return all records."""
        return list(self._records)

    def replace(
        self,
        records: collections.abc.Iterable[messages.AuditRecord],
    ) -> None:
        """Replace all records by those of a snapshot."""
        self._records.clear()
        self._bytes = 0
        for record in records:
            self.append(record)


def size_of(record: messages.AuditRecord) -> int:
    """Estimate the memory that a record uses, in bytes."""
    return len(record.before) + len(record.after) + RECORD_OVERHEAD_BYTES
