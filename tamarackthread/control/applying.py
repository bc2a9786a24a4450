"""Apply committed entries to the machine, and snapshot it from time to time."""

from __future__ import annotations

import asyncio
import logging
import math

from tamarackthread.control import failures, replica, segments, snapshots

_SLICE_ENTRIES = 128
_SAVE_RETRY_SECONDS = 10.0
_log = logging.getLogger('tamarackthread.control.applying')


class Applier:
    """Drive the machine with the log, a slice at a time.

    A member that is tens of thousands of entries behind applies them between
    its other work, so that it goes on answering heartbeats.
    """

    def __init__(self, state: replica.Replica) -> None:
        """Begin at the empty state."""
        self._state = state
        self._machine = state.parts.machine
        self._applied_index = 0
        self._bytes_since = 0
        self._waiters: list[tuple[int, asyncio.Future[None]]] = []
        self._save_after = -math.inf
        self._saving: asyncio.Task[None] | None = None

    @property
    def applied_index(self) -> int:
        """Return the index that the machine's state is at."""
        return self._applied_index

    def restore(self, snapshot: snapshots.Snapshot | None) -> None:
        """Put the machine at a snapshot, or at the empty state."""
        state = snapshot.state if snapshot else b''
        self._machine.restore(state)
        self._applied_index = snapshot.meta.last_index if snapshot else 0
        self._bytes_since = 0
        self._wake()

    async def wait(self, index: int) -> None:
        """Return once the machine has applied an index."""
        if index <= self._applied_index:
            return
        waiter = asyncio.get_running_loop().create_future()
        self._waiters.append((index, waiter))
        await waiter

    def close(self, reason: Exception) -> None:
        """Raise the reason in all who wait, and drop a snapshot half made."""
        for _index, waiter in self._waiters:
            if not waiter.done():
                waiter.set_exception(reason)
        self._waiters = []
        if self._saving is not None:
            self._saving.cancel()

    async def run(self) -> None:
        """Apply whatever is committed, until cancelled."""
        while True:
            if self._applied_index >= self._state.commit_index:
                self._state.committed.clear()
                await self._state.committed.wait()
                continue
            self._apply_slice()
            self._wake()
            self._save_if_due()
            await asyncio.sleep(0)

    def _apply_slice(self) -> None:
        stop = min(
            self._state.commit_index, self._applied_index + _SLICE_ENTRIES
        )
        while self._applied_index < stop:
            self._apply(self._applied_index + 1)

    def _apply(self, index: int) -> None:
        entry = self._state.log.entry(index)
        result = b''
        if entry.kind == segments.Kind.COMMAND:
            result = self._machine.apply(index, entry.command)
        self._applied_index = index
        self._bytes_since += len(entry.command)
        term = self._state.leader_term
        if term is not None and entry.term == term.term:
            term.complete_proposal(index, result)

    def _wake(self) -> None:
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
        since = self._applied_index - self._state.snapshots.meta.last_index
        is_due = (
            since >= times.snapshot_entries
            or self._bytes_since >= times.snapshot_bytes
        )
        is_saving = self._saving is not None and not self._saving.done()
        if not is_due or is_saving or self._state.now < self._save_after:
            return
        self._bytes_since = 0
        self._saving = asyncio.create_task(self._save())

    async def _save(self) -> None:
        index = self._applied_index
        term = self._state.log.term_at(index)
        data = self._machine.snapshot()
        members = self._state.members.at(index)
        try:
            await self._state.snapshots.save(index, term or 0, members, data)
        except (failures.DiskFull, failures.DiskFailed) as exc:
            self._save_after = self._state.now + _SAVE_RETRY_SECONDS
            _log.error('snapshot: not written, will try again: %s', exc)
            return
        self._compact(index)

    def _compact(self, index: int) -> None:
        """Forget entries that the snapshot covers, but for a short tail.

        The tail spares members that are a little behind a whole snapshot.
        """
        times = self._state.parts.times
        if self._state.log.size_bytes <= times.snapshot_bytes:
            index -= times.trailing_entries
        self._state.log.compact(index)
        self._state.members.compact(index)
