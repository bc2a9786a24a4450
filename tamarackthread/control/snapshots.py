"""Store snapshots of the machine, and parts of one that is arriving."""

from __future__ import annotations

import asyncio

import attrs

from tamarackthread.control import disk, failures, membership, records, segments
from tamarackthread.generated.messages import ttypes as messages
from tamarackthread.shared import wire

FILE = 'snapshot'
_INCOMING = 'incoming-'


@attrs.frozen
class Meta:
    """Describe one snapshot file; size in bytes."""

    last_index: int = 0
    last_term: int = 0
    size: int = 0
    checksum: int = 0


@attrs.frozen
class Snapshot:
    """A snapshot with the machine's state at its last entry."""

    meta: Meta
    members: membership.Membership
    state: bytes


class SnapshotStore:
    """Keep the newest snapshot in one file."""

    def __init__(self, files: disk.Disk) -> None:
        """Know nothing until ``load``."""
        self._files = files
        self._meta = Meta()
        self._incoming = ('', 0)
        # An own snapshot that is slow to write must not replace a newer one
        # that has arrived meanwhile: the log before it is gone.
        self._lock = asyncio.Lock()

    @property
    def meta(self) -> Meta:
        """Describe the newest durable snapshot; index 0 is none."""
        return self._meta

    async def load(self) -> Snapshot | None:
        """Read the newest snapshot; raise ``LogCorrupt`` on a bad one."""
        try:
            data = await self._files.read(FILE)
        except FileNotFoundError:
            return None
        snapshot = parse(data)
        self._meta = snapshot.meta
        return snapshot

    async def save(
        self,
        last_index: int,
        last_term: int,
        members: membership.Membership,
        state: bytes,
    ) -> None:
        """Put a new snapshot in place of the old one; it lasts on return."""
        opening = messages.LogEntry(
            index=last_index,
            term=last_term,
            kind=segments.Kind.MEMBERS,
            command=members.encode(),
        )
        data = records.encode(wire.encode(opening)) + records.encode(state)
        async with self._lock:
            if last_index > self._meta.last_index:
                await self._files.replace(FILE, data)
                self._meta = _describe(last_index, last_term, data)

    async def chunk(self, offset: int, size: int) -> bytes:
        """Read a part of the newest snapshot's file."""
        return await self._files.read(FILE, offset, size)

    async def receive(self, request: messages.SnapshotRequest) -> int:
        """Keep one arriving part and return the offset wanted next.

        Parts survive a restart, so that a large snapshot over a bad network
        goes on where it broke off.
        """
        name = _incoming_name(request)
        held = await self._held(name)
        if request.offset != held:
            return held
        self._incoming = ('', 0)
        await self._files.append(name, request.chunk)
        self._incoming = (name, held + len(request.chunk))
        return held + len(request.chunk)

    async def complete(
        self, request: messages.SnapshotRequest
    ) -> Snapshot | None:
        """Put the snapshot that has arrived in place; ``None`` if damaged."""
        name = _incoming_name(request)
        data = await self._files.read(name)
        await self._drop_incoming()
        if records.checksum(data) != request.checksum:
            return None
        snapshot = parse(data)
        async with self._lock:
            await self._files.replace(FILE, data)
            self._meta = snapshot.meta
        return snapshot

    async def _held(self, name: str) -> int:
        known, size = self._incoming
        if known == name:
            return size
        if name in await self._files.names():
            return len(await self._files.read(name))
        await self._drop_incoming()
        return 0

    async def _drop_incoming(self) -> None:
        self._incoming = ('', 0)
        for name in await self._files.names():
            if name.startswith(_INCOMING):
                await self._files.remove(name)


def parse(data: bytes) -> Snapshot:
    """Read a snapshot's file; raise ``LogCorrupt`` unless it is whole."""
    scan = records.scan(FILE, data, may_be_torn=False)
    if len(scan.payloads) != 2:
        raise failures.LogCorrupt('snapshot is not whole', FILE, 0)
    opening = wire.decode(messages.LogEntry, scan.payloads[0])
    return Snapshot(
        meta=_describe(opening.index, opening.term, data),
        members=membership.decode(opening.command),
        state=scan.payloads[1],
    )


def _describe(last_index: int, last_term: int, data: bytes) -> Meta:
    return Meta(
        last_index=last_index,
        last_term=last_term,
        size=len(data),
        checksum=records.checksum(data),
    )


def _incoming_name(request: messages.SnapshotRequest) -> str:
    return '{}{}-{}-{}'.format(
        _INCOMING, request.last_index, request.last_term, request.checksum
    )
