"""Hold a group's log in memory and sync it to disk in a single writer."""

from __future__ import annotations

import asyncio
import collections.abc
import logging

from tamarackthread.control import failures, segments, timing
from tamarackthread.generated.messages import ttypes as messages

_FULL_RETRY_SECONDS = 1.0
_log = logging.getLogger('tamarackthread.control.log')


class Log:
    """The entries after the snapshot, with group commit to disk.

    Changes take effect in memory at once and return a ticket, on which
    ``synced`` waits.  Entries pending during a sync share the next one.
    """

    def __init__(
        self,
        store: segments.Segments,
        limits: timing.Timing,
        on_synced: collections.abc.Callable[[], None],
    ) -> None:
        """Call ``on_synced`` whenever ``durable_index`` may have grown."""
        self._store = store
        self._limits = limits
        self._on_synced = on_synced
        self._entries: list[messages.LogEntry] = []
        self._base_index = 0
        self._base_term = 0
        self._bytes = 0
        self._durable_index = 0
        self._pending: list[messages.LogEntry] = []
        self._work = asyncio.Event()
        self._last_ticket = 0
        self._synced_ticket = 0
        self._waiters: list[tuple[int, asyncio.Future[None]]] = []
        self._writing_since: float | None = None
        self._is_full = False
        self._compact_index = 0

    @property
    def base_index(self) -> int:
        """Return the index before the first entry in memory."""
        return self._base_index

    @property
    def last_index(self) -> int:
        """Return the index of the last entry."""
        return self._base_index + len(self._entries)

    @property
    def last_term(self) -> int:
        """Return the term of the last entry."""
        return self.term_at(self.last_index) or 0

    @property
    def durable_index(self) -> int:
        """Return the index of the last entry synced to disk."""
        return self._durable_index

    @property
    def size_bytes(self) -> int:
        """Return the total size of the commands in memory."""
        return self._bytes

    @property
    def is_full(self) -> bool:
        """Return whether the last write failed for lack of space."""
        return self._is_full

    def is_stalled(self, now: float) -> bool:
        """Return whether the present write exceeds the stall timeout."""
        since = self._writing_since
        return since is not None and now - since > self._limits.stall_timeout

    def term_at(self, index: int) -> int | None:
        """Return an entry's term, ``None`` if it is not in memory."""
        if index == self._base_index:
            return self._base_term
        if index < self._base_index or index > self.last_index:
            return None
        return self._entries[index - self._base_index - 1].term

    def first_of_term(self, index: int) -> int:
        """Return the first index in memory with the term of ``index``."""
        term = self.term_at(index)
        while index > self._base_index + 1 and self.term_at(index - 1) == term:
            index -= 1
        return index

    def batch(self, start: int) -> list[messages.LogEntry]:
        """Return entries from ``start`` on, limited by count and bytes."""
        batch: list[messages.LogEntry] = []
        remaining_bytes = self._limits.batch_bytes
        offset = start - self._base_index - 1
        end = min(len(self._entries), offset + self._limits.batch_entries)
        while offset < end:
            entry = self._entries[offset]
            remaining_bytes -= len(entry.command)
            if batch and remaining_bytes < 0:
                break
            batch.append(entry)
            offset += 1
        return batch

    def entry(self, index: int) -> messages.LogEntry:
        """Return an entry in memory."""
        return self._entries[index - self._base_index - 1]

    async def load(self, snapshot_index: int, snapshot_term: int) -> None:
        """Read the stored entries that follow the snapshot."""
        entries = await self._store.load()
        self._base_index = snapshot_index
        self._base_term = snapshot_term
        if entries and entries[0].index > snapshot_index + 1:
            raise failures.LogCorrupt(
                f'entries {snapshot_index + 1} to {entries[0].index - 1} '
                'are missing',
                segments.PREFIX,
            )
        following = _entries_after(entries, snapshot_index, snapshot_term)
        self._entries.extend(following)
        self._bytes = sum(len(entry.command) for entry in following)
        self._durable_index = self.last_index
        if entries and not following:
            self._enqueue([_truncation(0)])

    def append(
        self, entries: collections.abc.Sequence[messages.LogEntry]
    ) -> int:
        """Append entries and return a ticket."""
        for entry in entries:
            self._bytes += len(entry.command)
        self._entries.extend(entries)
        return self._enqueue(entries)

    def truncate(self, index: int) -> None:
        """Remove the entries from ``index`` on."""
        offset = index - self._base_index - 1
        if offset < 0:
            raise ValueError(f'entry {index} is covered by the snapshot')
        for entry in self._entries[offset:]:
            self._bytes -= len(entry.command)
        self._entries = self._entries[:offset]
        self._durable_index = min(self._durable_index, index - 1)
        self._enqueue([_truncation(index)])

    def reset(self, index: int, term: int) -> None:
        """Continue after an installed snapshot."""
        # Entries after the snapshot that match it may have been acknowledged.
        if self.term_at(index) == term:
            self.compact(index)
            return
        self._entries = []
        self._bytes = 0
        self._base_index = index
        self._base_term = term
        self._durable_index = index
        self._enqueue([_truncation(0)])

    def compact(self, index: int) -> None:
        """Drop entries up to ``index``, which a durable snapshot covers."""
        term = self.term_at(index)
        if term is None or index <= self._base_index:
            return
        offset = index - self._base_index
        for entry in self._entries[:offset]:
            self._bytes -= len(entry.command)
        self._entries = self._entries[offset:]
        self._base_index = index
        self._base_term = term
        self._durable_index = max(self._durable_index, index)
        self._compact_index = index
        self._work.set()

    async def synced(self, ticket: int) -> None:
        """Return once all changes up to the ticket are durable.

        Raises ``DiskFull`` if they can't be written for now; they stay queued
        and are written once there is space.
        """
        if ticket <= self._synced_ticket:
            return
        if self._is_full:
            raise failures.DiskFull
        waiter = asyncio.get_running_loop().create_future()
        self._waiters.append((ticket, waiter))
        await waiter

    def close(self, reason: Exception) -> None:
        """Fail all waiters with ``reason``."""
        for _ticket, waiter in self._waiters:
            if not waiter.done():
                waiter.set_exception(reason)
        self._waiters = []

    async def write_forever(self) -> None:
        """Write pending entries, one sync at a time, as the only writer."""
        while True:
            await self._work.wait()
            self._work.clear()
            while self._pending:
                await self._write_next()
            await self._store.compact(self._compact_index)

    def _enqueue(
        self, entries: collections.abc.Sequence[messages.LogEntry]
    ) -> int:
        self._pending.extend(entries)
        self._last_ticket += len(entries)
        self._work.set()
        return self._last_ticket

    async def _write_next(self) -> None:
        batch = self._next_batch()
        self._writing_since = asyncio.get_running_loop().time()
        await self._write(batch)
        self._writing_since = None
        self._pending = self._pending[len(batch) :]
        self._synced_ticket += len(batch)
        self._durable_index = self.last_index
        if self._pending:
            durable = max(self._pending[0].index - 1, self._base_index)
            self._durable_index = min(self.last_index, durable)
        self._wake_waiters()
        self._on_synced()

    def _next_batch(self) -> list[messages.LogEntry]:
        remaining_bytes = self._limits.segment_bytes
        batch: list[messages.LogEntry] = []
        for entry in self._pending:
            remaining_bytes -= len(entry.command or b'')
            if batch and remaining_bytes < 0:
                break
            batch.append(entry)
        return batch

    async def _write(self, batch: list[messages.LogEntry]) -> None:
        while True:
            try:
                await self._store.append(batch)
            except failures.DiskFull as exc:
                self._report_full(exc)
                await asyncio.sleep(_FULL_RETRY_SECONDS)
                continue
            self._is_full = False
            return

    def _report_full(self, exc: failures.DiskFull) -> None:
        if not self._is_full:
            _log.error('log: disk is full, changes are refused: %s', exc)
        self._is_full = True
        self._writing_since = None
        self.close(failures.DiskFull(str(exc)))

    def _wake_waiters(self) -> None:
        remaining = []
        for ticket, waiter in self._waiters:
            if ticket > self._synced_ticket:
                remaining.append((ticket, waiter))
                continue
            if not waiter.done():
                waiter.set_result(None)
        self._waiters = remaining


def _truncation(index: int) -> messages.LogEntry:
    return messages.LogEntry(
        index=index, term=0, kind=segments.Kind.TRUNCATE, command=b''
    )


def _entries_after(
    entries: list[messages.LogEntry], index: int, term: int
) -> list[messages.LogEntry]:
    """Return the entries after a snapshot, none if they contradict it."""
    # A crash between installing a snapshot and truncating the log leaves
    # entries that end before the snapshot or disagree with it.
    if not entries or entries[-1].index <= index:
        return []
    if entries[0].index == index + 1:
        return entries
    offset = index - entries[0].index
    if entries[offset].term != term:
        return []
    return entries[offset + 1 :]
