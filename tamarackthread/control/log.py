"""Hold a group's log in memory and write it to disk behind one task."""

from __future__ import annotations

import asyncio
import collections.abc
import logging

from tamarackthread.control import failures, segments, timing
from tamarackthread.generated.messages import ttypes as messages

_FULL_RETRY_SECONDS = 1.0
_log = logging.getLogger('tamarackthread.control.log')


class Log:
    """The entries after a snapshot, with what of them has been synced.

    Changes take effect in memory at once and return a ticket; ``synced``
    waits until that change lasts.  What is waiting when a sync ends goes into
    the next one together.
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
        self._pushed = 0
        self._synced = 0
        self._waiters: list[tuple[int, asyncio.Future[None]]] = []
        self._writing_since: float | None = None
        self._full = False
        self._compact_index = 0

    @property
    def base_index(self) -> int:
        """Return the index before the first entry held."""
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
        """Return the index up to which entries would outlast a crash."""
        return self._durable_index

    @property
    def size_bytes(self) -> int:
        """Return the bytes of the commands held in memory."""
        return self._bytes

    @property
    def is_full(self) -> bool:
        """Say whether the last write found no room on disk."""
        return self._full

    def is_stalled(self, now: float) -> bool:
        """Say whether one write has taken longer than a disk may take."""
        since = self._writing_since
        return since is not None and now - since > self._limits.stall_timeout

    def term_at(self, index: int) -> int | None:
        """Return an entry's term, or ``None`` where nothing is held."""
        if index == self._base_index:
            return self._base_term
        if index < self._base_index or index > self.last_index:
            return None
        return self._entries[index - self._base_index - 1].term

    def first_of_term(self, index: int) -> int:
        """Return the first held index of the term that ``index`` is in."""
        term = self.term_at(index)
        while index > self._base_index + 1 and self.term_at(index - 1) == term:
            index -= 1
        return index

    def batch(self, start: int) -> list[messages.LogEntry]:
        """Return entries from ``start`` on, bounded by count and bytes."""
        chosen: list[messages.LogEntry] = []
        room = self._limits.batch_bytes
        place = start - self._base_index - 1
        stop = min(len(self._entries), place + self._limits.batch_entries)
        while place < stop:
            entry = self._entries[place]
            room -= len(entry.command)
            if chosen and room < 0:
                break
            chosen.append(entry)
            place += 1
        return chosen

    def entry(self, index: int) -> messages.LogEntry:
        """Return one held entry."""
        return self._entries[index - self._base_index - 1]

    async def load(self, snapshot_index: int, snapshot_term: int) -> None:
        """Read the entries on disk that continue the snapshot."""
        entries = await self._store.load()
        self._base_index = snapshot_index
        self._base_term = snapshot_term
        if entries and entries[0].index > snapshot_index + 1:
            raise failures.LogCorrupt(
                f'entries {snapshot_index + 1} to {entries[0].index - 1} '
                'are missing',
                segments.PREFIX,
            )
        continued = _continue(entries, snapshot_index, snapshot_term)
        self._entries.extend(continued)
        self._bytes = sum(len(entry.command) for entry in continued)
        self._durable_index = self.last_index
        if entries and not continued:
            self._push([_truncation(0)])

    def append(
        self, entries: collections.abc.Sequence[messages.LogEntry]
    ) -> int:
        """Add entries after the last one and return a ticket."""
        for entry in entries:
            self._bytes += len(entry.command)
        self._entries.extend(entries)
        return self._push(entries)

    def truncate(self, index: int) -> None:
        """Void the entries from ``index`` on."""
        place = index - self._base_index - 1
        if place < 0:
            raise ValueError(f'entry {index} is in the snapshot')
        for entry in self._entries[place:]:
            self._bytes -= len(entry.command)
        self._entries = self._entries[:place]
        self._durable_index = min(self._durable_index, index - 1)
        self._push([_truncation(index)])

    def reset(self, index: int, term: int) -> None:
        """Continue after a snapshot that another member has sent.

        Entries that agree with the snapshot's last entry are kept: they may
        have been acknowledged.
        """
        if self.term_at(index) == term:
            self.compact(index)
            return
        self._entries = []
        self._bytes = 0
        self._base_index = index
        self._base_term = term
        self._durable_index = index
        self._push([_truncation(0)])

    def compact(self, index: int) -> None:
        """Forget entries up to ``index``, which a durable snapshot covers."""
        term = self.term_at(index)
        if term is None or index <= self._base_index:
            return
        place = index - self._base_index
        for entry in self._entries[:place]:
            self._bytes -= len(entry.command)
        self._entries = self._entries[place:]
        self._base_index = index
        self._base_term = term
        self._durable_index = max(self._durable_index, index)
        self._compact_index = index
        self._work.set()

    async def synced(self, ticket: int) -> None:
        """Return once all changes up to the ticket last.

        Raises ``DiskFull`` if they can't be written for now; they stay in
        line and are written when there is room again.
        """
        if ticket <= self._synced:
            return
        if self._full:
            raise failures.DiskFull
        waiter = asyncio.get_running_loop().create_future()
        self._waiters.append((ticket, waiter))
        await waiter

    def close(self, reason: Exception) -> None:
        """Raise the reason in all who wait for a sync."""
        for _ticket, waiter in self._waiters:
            if not waiter.done():
                waiter.set_exception(reason)
        self._waiters = []

    async def write_forever(self) -> None:
        """Write what waits, one sync at a time; be the log's only writer."""
        while True:
            await self._work.wait()
            self._work.clear()
            while self._pending:
                await self._write_some()
            await self._store.compact(self._compact_index)

    def _push(
        self, entries: collections.abc.Sequence[messages.LogEntry]
    ) -> int:
        self._pending.extend(entries)
        self._pushed += len(entries)
        self._work.set()
        return self._pushed

    async def _write_some(self) -> None:
        batch = self._next_batch()
        self._writing_since = asyncio.get_running_loop().time()
        await self._write(batch)
        self._writing_since = None
        self._pending = self._pending[len(batch) :]
        self._synced += len(batch)
        self._durable_index = self.last_index
        if self._pending:
            floor = max(self._pending[0].index - 1, self._base_index)
            self._durable_index = min(self.last_index, floor)
        self._wake()
        self._on_synced()

    def _next_batch(self) -> list[messages.LogEntry]:
        room = self._limits.segment_bytes
        batch: list[messages.LogEntry] = []
        for entry in self._pending:
            room -= len(entry.command or b'')
            if batch and room < 0:
                break
            batch.append(entry)
        return batch

    async def _write(self, batch: list[messages.LogEntry]) -> None:
        while True:
            try:
                await self._store.append(batch)
            except failures.DiskFull as exc:
                self._refuse(exc)
                await asyncio.sleep(_FULL_RETRY_SECONDS)
                continue
            self._full = False
            return

    def _refuse(self, exc: failures.DiskFull) -> None:
        if not self._full:
            _log.error('log: disk is full, changes are refused: %s', exc)
        self._full = True
        self._writing_since = None
        self.close(failures.DiskFull(str(exc)))

    def _wake(self) -> None:
        waiting = []
        for ticket, waiter in self._waiters:
            if ticket > self._synced:
                waiting.append((ticket, waiter))
                continue
            if not waiter.done():
                waiter.set_result(None)
        self._waiters = waiting


def _truncation(index: int) -> messages.LogEntry:
    return messages.LogEntry(
        index=index, term=0, kind=segments.Kind.TRUNCATE, command=b''
    )


def _continue(
    entries: list[messages.LogEntry], index: int, term: int
) -> list[messages.LogEntry]:
    """Return the entries after a snapshot, none if they contradict it.

    A crash between installing a snapshot and voiding the log leaves entries
    that end before the snapshot or disagree with it; they are not in force.
    """
    if not entries or entries[-1].index <= index:
        return []
    if entries[0].index == index + 1:
        return entries
    place = index - entries[0].index
    if entries[place].term != term:
        return []
    return entries[place + 1 :]
