"""Apply committed log entries to the state machine and snapshot it."""

from __future__ import annotations

import asyncio
import logging
import math

from tamarackthread.control import failures, replica, segments, snapshots

_BATCH_ENTRIES = 128
_SAVE_RETRY_SECONDS = 10.0
_log = logging.getLogger('tamarackthread.control.applying')


class Applier:
    """Apply the log in batches, so that catching up delays no heartbeat."""

    def __init__(self, state: replica.Replica) -> None:
        """Start at the empty state."""
        self._state = state
        self._machine = state.parts.machine
        self._applied_index = 0
        self._bytes_since_snapshot = 0
        self._waiters: list[tuple[int, asyncio.Future[None]]] = []
        self._retry_at = -math.inf
        self._save_task: asyncio.Task[None] | None = None

    @property
    def applied_index(self) -> int:
        """Return the index of the last applied entry."""
        return self._applied_index

    def restore(self, snapshot: snapshots.Snapshot | None) -> None:
        """Restore a snapshot, or the empty state for ``None``."""
        state = snapshot.state if snapshot else b''
        self._machine.restore(state)
        self._applied_index = snapshot.meta.last_index if snapshot else 0
        self._bytes_since_snapshot = 0
        self._wake_waiters()

    async def wait(self, index: int) -> None:
        """Return once the machine has applied an index."""
        if index <= self._applied_index:
            return
        waiter = asyncio.get_running_loop().create_future()
        self._waiters.append((index, waiter))
        await waiter

    def close(self, reason: Exception) -> None:
        """Fail all waiters with ``reason`` and cancel a running snapshot."""
        for _index, waiter in self._waiters:
            if not waiter.done():
                waiter.set_exception(reason)
        self._waiters = []
        if self._save_task is not None:
            self._save_task.cancel()

    async def run(self) -> None:
        """Apply committed entries until cancelled."""
        while True:
            if self._applied_index >= self._state.commit_index:
                self._state.committed.clear()
                await self._state.committed.wait()
                continue
            self._apply_batch()
            self._wake_waiters()
            self._save_if_due()
            await asyncio.sleep(0)

    def _apply_batch(self) -> None:
        stop = min(
            self._state.commit_index, self._applied_index + _BATCH_ENTRIES
        )
        while self._applied_index < stop:
            self._apply(self._applied_index + 1)

    def _apply(self, index: int) -> None:
        entry = self._state.log.entry(index)
        result = b''
        if entry.kind == segments.Kind.COMMAND:
            result = self._machine.apply(index, entry.command)
        self._applied_index = index
        self._bytes_since_snapshot += len(entry.command)
        term = self._state.leader_term
        if term is not None and entry.term == term.term:
            term.complete_proposal(index, result)

    def _wake_waiters(self) -> None:
        waiting = []
        for index, waiter in self._waiters:
            if index > self._applied_index:
                waiting.append((index, waiter))
                continue
            if not waiter.done():
                waiter.set_result(None)
        self._waiters = waiting

    def _save_if_due(self) -> None:
        times = self._state.parts.times
        entries_since = (
            self._applied_index - self._state.snapshots.meta.last_index
        )
        is_due = (
            entries_since >= times.snapshot_entries
            or self._bytes_since_snapshot >= times.snapshot_bytes
        )
        is_saving = self._save_task is not None and not self._save_task.done()
        if not is_due or is_saving or self._state.now < self._retry_at:
            return
        self._bytes_since_snapshot = 0
        self._save_task = asyncio.create_task(self._save())

    async def _save(self) -> None:
        index = self._applied_index
        term = self._state.log.term_at(index)
        data = self._machine.snapshot()
        members = self._state.members.at(index)
        try:
            await self._state.snapshots.save(index, term or 0, members, data)
        except (failures.DiskFull, failures.DiskFailed) as exc:
            self._retry_at = self._state.now + _SAVE_RETRY_SECONDS
            _log.error('snapshot: write failed, will retry: %s', exc)
            return
        self._compact(index)

    def _compact(self, index: int) -> None:
        """Compact the log, keeping trailing entries for lagging members."""
        times = self._state.parts.times
        if self._state.log.size_bytes <= times.snapshot_bytes:
            index -= times.trailing_entries
        self._state.log.compact(index)
        self._state.members.compact(index)
