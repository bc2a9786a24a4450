"""Store snapshots of the machine and the chunks of an incoming one."""

from __future__ import annotations

import asyncio

import attrs

from tamarackthread.control import disk, failures, membership, records, segments
from tamarackthread.generated.messages import ttypes as messages
from tamarackthread.shared import wire

FILE = 'snapshot'
_INCOMING_PREFIX = 'incoming-'


@attrs.frozen
class Meta:
    """The metadata of a snapshot file; ``size`` is in bytes."""

    last_index: int = 0
    last_term: int = 0
    size: int = 0
    checksum: int = 0


@attrs.frozen
class Snapshot:
    """A snapshot of the machine's state and the membership."""

    meta: Meta
    members: membership.Membership
    state: bytes


class SnapshotStore:
    """Store the newest snapshot in one file."""

    def __init__(self, files: disk.Disk) -> None:
        """Start empty until ``load``."""
        self._files = files
        self._meta = Meta()
        self._incoming = ('', 0)
        # A slow local snapshot must not replace a newer one from the leader,
        # up to which the log is already compacted.
        self._lock = asyncio.Lock()

    @property
    def meta(self) -> Meta:
        """Return the metadata of the newest durable snapshot, or zeros."""
        return self._meta

    async def load(self) -> Snapshot | None:
        """Read the newest snapshot; raises ``LogCorrupt``."""
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
        """Store a new snapshot; durable on return."""
        header = messages.LogEntry(
            index=last_index,
            term=last_term,
            kind=segments.Kind.MEMBERS,
            command=members.encode(),
        )
        data = records.encode(wire.encode(header)) + records.encode(state)
        async with self._lock:
            if last_index > self._meta.last_index:
                await self._files.replace(FILE, data)
                self._meta = _build_meta(last_index, last_term, data)

    async def chunk(self, offset: int, size: int) -> bytes:
        """Read a chunk of the newest snapshot's file."""
        return await self._files.read(FILE, offset, size)

    async def receive(self, request: messages.SnapshotRequest) -> int:
        """Append an incoming chunk and return the next offset."""
        # Chunks survive a restart, so that a large transfer is resumed.
        name = _incoming_name(request)
        received = await self._received_bytes(name)
        if request.offset != received:
            return received
        self._incoming = ('', 0)
        await self._files.append(name, request.chunk)
        self._incoming = (name, received + len(request.chunk))
        return received + len(request.chunk)

    async def complete(
        self, request: messages.SnapshotRequest
    ) -> Snapshot | None:
        """Return the received snapshot, or ``None`` if it is damaged.

        Stores it unless a newer one is stored.
        """
        name = _incoming_name(request)
        data = await self._files.read(name)
        await self._drop_incoming()
        if records.checksum(data) != request.checksum:
            return None
        snapshot = parse(data)
        async with self._lock:
            # The log may already be compacted up to a newer one.
            if snapshot.meta.last_index > self._meta.last_index:
                await self._files.replace(FILE, data)
                self._meta = snapshot.meta
        return snapshot

    async def _received_bytes(self, name: str) -> int:
        current, size = self._incoming
        if current == name:
            return size
        if name in await self._files.names():
            return len(await self._files.read(name))
        await self._drop_incoming()
        return 0

    async def _drop_incoming(self) -> None:
        self._incoming = ('', 0)
        for name in await self._files.names():
            if name.startswith(_INCOMING_PREFIX):
                await self._files.remove(name)


def parse(data: bytes) -> Snapshot:
    """Parse a snapshot file; raises ``LogCorrupt``."""
    scan = records.scan(FILE, data, may_be_torn=False)
    if len(scan.payloads) != 2:
        raise failures.LogCorrupt('snapshot is incomplete', FILE, 0)
    header = wire.decode(messages.LogEntry, scan.payloads[0])
    return Snapshot(
        meta=_build_meta(header.index, header.term, data),
        members=membership.decode(header.command),
        state=scan.payloads[1],
    )


def _build_meta(last_index: int, last_term: int, data: bytes) -> Meta:
    return Meta(
        last_index=last_index,
        last_term=last_term,
        size=len(data),
        checksum=records.checksum(data),
    )


def _incoming_name(request: messages.SnapshotRequest) -> str:
    return '{}{}-{}-{}'.format(
        _INCOMING_PREFIX,
        request.last_index,
        request.last_term,
        request.checksum,
    )
