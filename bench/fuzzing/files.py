"""Fuzz a control host's files: corruption is refused, never read as truth."""

from __future__ import annotations

import asyncio
import random
import typing

from bench.fuzzing import mutations, report
from tamarackthread.control import (
    disk,
    hard_state,
    membership,
    segments,
    snapshots,
)
from tamarackthread.generated.messages import ttypes as messages

_SEGMENT_BYTES = 2000
_MOST_FRAMES = 30
_MOST_COMMAND_BYTES = 200


class TruthChanged(Exception):
    """Damaged files were read as something that was never written."""


class SyncedLost(Exception):
    """Entries that were synced vanished without a word."""


class MemoryDisk(disk.Disk):
    """Hold files in memory, all of them synced at once."""

    def __init__(self) -> None:
        """Begin empty."""
        self.files: dict[str, bytes] = {}

    async def append(self, name: str, data: bytes) -> None:
        """Add bytes."""
        self.files[name] = self.files.get(name, b'') + data

    async def sync(self, name: str) -> None:
        """Have nothing to do."""

    async def read(self, name: str, offset: int = 0, size: int = -1) -> bytes:
        """Read bytes as a file would."""
        if name not in self.files:
            raise FileNotFoundError(name)
        held = self.files[name][offset:]
        return held if size < 0 else held[:size]

    async def replace(self, name: str, data: bytes) -> None:
        """Set a file."""
        self.files[name] = data

    async def truncate(self, name: str, size: int) -> None:
        """Cut a file."""
        self.files[name] = self.files[name][:size]

    async def remove(self, name: str) -> None:
        """Drop a file."""
        self.files.pop(name, None)

    async def names(self) -> list[str]:
        """List the files."""
        return sorted(self.files)

    def free_bytes(self) -> int:
        """Have room."""
        return 1 << 40


def fuzz_logs(seed: int, runs: int) -> report.Report:
    """Load logs of which one file was damaged.

    What is read must be a beginning of what was written.  A flipped bit must
    be refused; only a cut or zeroed tail of the last file may pass as torn.
    """
    counted = report.Report('log files')
    for number in range(runs):
        rng = random.Random(f'logs {seed} {number}')
        with counted.run(number):
            asyncio.run(_damage_log(rng))
    return counted


def fuzz_states(seed: int, runs: int) -> report.Report:
    """Load damaged files of term and vote, and damaged snapshots."""
    counted = report.Report('state files')
    for number in range(runs):
        rng = random.Random(f'states {seed} {number}')
        with counted.run(number):
            asyncio.run(_damage_state(rng))
        with counted.run(number):
            asyncio.run(_damage_snapshot(rng))
    return counted


async def _damage_log(rng: random.Random) -> None:
    files = MemoryDisk()
    written = await _write_log(rng, files)
    name = rng.choice(await files.names())
    mutate = rng.choice(mutations.ALL)
    before = files.files[name]
    files.files[name] = mutate(rng, before)
    changed = files.files[name] != before
    found = await segments.Segments(files, _SEGMENT_BYTES).load()
    read = _plain(found)
    if read != written[: len(read)]:
        raise TruthChanged(f'{mutate.__name__} in {name}')
    torn_ways = (mutations.cut, mutations.zero, mutations.remove)
    if changed and len(read) < len(written) and mutate not in torn_ways:
        raise SyncedLost(f'{mutate.__name__} in {name}')


async def _write_log(
    rng: random.Random, files: MemoryDisk
) -> list[tuple[typing.Any, ...]]:
    store = segments.Segments(files, _SEGMENT_BYTES)
    await store.load()
    written: list[messages.LogEntry] = []
    for _ in range(rng.randint(1, _MOST_FRAMES)):
        batch = [
            messages.LogEntry(
                index=len(written) + number + 1,
                term=1,
                kind=segments.Kind.COMMAND,
                command=rng.randbytes(rng.randint(0, _MOST_COMMAND_BYTES)),
            )
            for number in range(rng.randint(1, 3))
        ]
        written.extend(batch)
        await store.append(batch)
    return _plain(written)


def _plain(
    entries: list[messages.LogEntry],
) -> list[tuple[typing.Any, ...]]:
    return [
        (entry.index, entry.term, int(entry.kind), entry.command)
        for entry in entries
    ]


async def _damage_state(rng: random.Random) -> None:
    files = MemoryDisk()
    held = hard_state.HardState(files)
    await held.load(rng.randbytes(hard_state.DISK_ID_BYTES))
    held.advance(rng.randint(1, 1 << 40))
    held.vote_for('control-1')
    await held.persist()
    before = files.files[hard_state.FILE]
    files.files[hard_state.FILE] = mutations.some(rng, before)
    again = hard_state.HardState(files)
    await again.load(b'')
    if (again.term, again.vote) != (held.term, held.vote):
        raise TruthChanged('term or vote')


async def _damage_snapshot(rng: random.Random) -> None:
    files = MemoryDisk()
    store = snapshots.SnapshotStore(files)
    state = rng.randbytes(rng.randint(0, mutations.SECTOR))
    await store.save(9, 2, membership.Membership(), state)
    before = files.files[snapshots.FILE]
    files.files[snapshots.FILE] = mutations.some(rng, before)
    loaded = await snapshots.SnapshotStore(files).load()
    if loaded is None or loaded.state != state:
        raise TruthChanged('snapshot')
