"""Install a snapshot sent by the leader."""

from __future__ import annotations

import asyncio
import collections.abc
import logging

from tamarackthread.control import replica, snapshots
from tamarackthread.generated.messages import ttypes as messages

_log = logging.getLogger('tamarackthread.control.installing')


class Installer:
    """Collect the chunks of a snapshot and install it."""

    def __init__(
        self,
        state: replica.Replica,
        restore: collections.abc.Callable[[snapshots.Snapshot], None],
    ) -> None:
        """Call ``restore`` with each installed snapshot."""
        self._state = state
        self._restore = restore
        # A duplicated chunk would otherwise be appended twice.
        self._lock = asyncio.Lock()

    async def answer(
        self, request: messages.SnapshotRequest
    ) -> messages.SnapshotReply:
        """Store one chunk and reply with the next offset."""
        state = self._state
        if request.term < state.hard.term:
            return self._reply(0, installed=False)
        state.adopt_term(request.term)
        state.follow(request.leader)
        await state.hard.persist()
        async with self._lock:
            return await self._receive(request)

    async def _receive(
        self, request: messages.SnapshotRequest
    ) -> messages.SnapshotReply:
        if request.last_index <= self._state.commit_index:
            return self._reply(request.total, installed=True)
        next_offset = await self._state.snapshots.receive(request)
        if next_offset < request.total:
            return self._reply(next_offset, installed=False)
        snapshot = await self._state.snapshots.complete(request)
        if snapshot is None:
            _log.warning('snapshot: checksum mismatch; requesting it again')
            return self._reply(0, installed=False)
        self._install(snapshot)
        return self._reply(request.total, installed=True)

    def _install(self, snapshot: snapshots.Snapshot) -> None:
        # While the disk was slow, entries after the snapshot may have been
        # committed, which an older state and log would drop.
        if snapshot.meta.last_index <= self._state.commit_index:
            return
        self._state.adopt_snapshot(snapshot)
        self._restore(snapshot)
        _log.info(
            'snapshot: %s of group %s installed a snapshot at entry %d',
            self._state.parts.node,
            self._state.parts.group,
            snapshot.meta.last_index,
        )

    def _reply(
        self, next_offset: int, installed: bool
    ) -> messages.SnapshotReply:
        return messages.SnapshotReply(
            term=self._state.hard.term,
            next_offset=next_offset,
            installed=installed,
        )
