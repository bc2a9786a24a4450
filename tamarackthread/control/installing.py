"""Receive a leader's snapshot and continue from it."""

from __future__ import annotations

import asyncio
import collections.abc
import logging

from tamarackthread.control import replica, snapshots
from tamarackthread.generated.messages import ttypes as messages

_log = logging.getLogger('tamarackthread.control.installing')


class Installer:
    """Take the parts of a snapshot, one at a time, and install the whole."""

    def __init__(
        self,
        state: replica.Replica,
        restore: collections.abc.Callable[[snapshots.Snapshot], None],
    ) -> None:
        """Call ``restore`` with each snapshot installed."""
        self._state = state
        self._restore = restore
        # A doubled part would otherwise be added to the file twice.
        self._lock = asyncio.Lock()

    async def answer(
        self, request: messages.SnapshotRequest
    ) -> messages.SnapshotReply:
        """Take one part; the answer says which one is wanted next."""
        state = self._state
        if request.term < state.hard.term:
            return self._reply(0, installed=False)
        state.adopt_term(request.term)
        state.follow(request.leader)
        await state.hard.persist()
        async with self._lock:
            return await self._take(request)

    async def _take(
        self, request: messages.SnapshotRequest
    ) -> messages.SnapshotReply:
        if request.last_index <= self._state.commit_index:
            return self._reply(request.total, installed=True)
        wanted = await self._state.snapshots.receive(request)
        if wanted < request.total:
            return self._reply(wanted, installed=False)
        snapshot = await self._state.snapshots.complete(request)
        if snapshot is None:
            _log.warning('snapshot: arrived damaged, asking for it again')
            return self._reply(0, installed=False)
        self._install(snapshot)
        return self._reply(request.total, installed=True)

    def _install(self, snapshot: snapshots.Snapshot) -> None:
        self._state.adopt_snapshot(snapshot)
        self._restore(snapshot)
        _log.info(
            'snapshot: %s of %s installed entry %d',
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
