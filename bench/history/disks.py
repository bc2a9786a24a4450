"""Fake a disk that is slow, stalls, fills up, and forgets unsynced bytes."""

from __future__ import annotations

import asyncio
import math
import random

from tamarackthread.control import disk, failures

_LOOK_SECONDS = 0.05
_SECTOR = 512
_PLENTY = 1 << 30


class Platter:
    """What outlasts a crash, with what is not synced yet."""

    def __init__(self, rng: random.Random) -> None:
        """Begin empty and quick."""
        self.seen: dict[str, bytes] = {}
        self.lasting: dict[str, bytes] = {}
        self.delay = 0.001
        self.stalled_until = -math.inf
        self.is_full = False
        self.is_failing = False
        self.generation = 0
        self._rng = rng

    def mount(self) -> Mount:
        """Return the disk as the next process on this host sees it."""
        self.generation += 1
        return Mount(self, self.generation)

    def crash(self) -> None:
        """Lose unsynced bytes, but for as much as had reached the disk."""
        self.generation += 1
        for name, seen in list(self.seen.items()):
            lasting = self.lasting.get(name)
            if lasting is None and self._rng.random() < 0.5:
                self.seen.pop(name)
                continue
            kept = self._tear(lasting or b'', seen)
            self.seen[name] = kept
            self.lasting[name] = kept

    def wipe(self) -> None:
        """Lose everything, as when the disk is exchanged."""
        self.generation += 1
        self.seen = {}
        self.lasting = {}

    def _tear(self, lasting: bytes, seen: bytes) -> bytes:
        if not seen.startswith(lasting):
            return lasting
        tail = seen[len(lasting) :]
        kept = bytearray(tail[: self._rng.randint(0, len(tail))])
        if len(kept) > _SECTOR and self._rng.random() < 0.5:
            kept = kept[:-_SECTOR] + bytes(_SECTOR)
        return lasting + bytes(kept)


class Mount(disk.Disk):
    """A disk for one life of a process; after a crash it's of no use."""

    def __init__(self, platter: Platter, generation: int) -> None:
        """Work on a platter until it crashes."""
        self._platter = platter
        self._generation = generation

    async def append(self, name: str, data: bytes) -> None:
        """Add bytes, which last only once synced."""
        await self._wait(writes=True)
        held = self._platter.seen.get(name, b'')
        self._platter.seen[name] = held + data

    async def sync(self, name: str) -> None:
        """Make what was there at the call last."""
        self._require_alive()
        held = self._platter.seen[name]
        await self._wait()
        if self._platter.is_failing:
            raise failures.DiskFailed('input/output error')
        self._platter.lasting[name] = held

    async def read(self, name: str, offset: int = 0, size: int = -1) -> bytes:
        """Read bytes."""
        self._require_alive()
        held = self._platter.seen.get(name)
        if held is None:
            raise FileNotFoundError(name)
        return held[offset:] if size < 0 else held[offset : offset + size]

    async def replace(self, name: str, data: bytes) -> None:
        """Put a whole file in place, lasting on return."""
        await self._wait(writes=True)
        self._platter.seen[name] = data
        self._platter.lasting[name] = data

    async def truncate(self, name: str, size: int) -> None:
        """Cut a file."""
        await self._wait()
        self._platter.seen[name] = self._platter.seen[name][:size]
        self._platter.lasting[name] = self._platter.seen[name]

    async def remove(self, name: str) -> None:
        """Remove a file."""
        await self._wait()
        self._platter.seen.pop(name, None)
        self._platter.lasting.pop(name, None)

    async def names(self) -> list[str]:
        """List the files."""
        self._require_alive()
        return sorted(self._platter.seen)

    def free_bytes(self) -> int:
        """Return plenty, or nothing."""
        return 0 if self._platter.is_full else _PLENTY

    async def _wait(self, writes: bool = False) -> None:
        loop = asyncio.get_running_loop()
        self._require_alive()
        await asyncio.sleep(self._platter.delay)
        while loop.time() < self._platter.stalled_until:
            await asyncio.sleep(_LOOK_SECONDS)
        self._require_alive()
        if writes and self._platter.is_full:
            raise failures.DiskFull

    def _require_alive(self) -> None:
        if self._generation != self._platter.generation:
            raise failures.DiskFailed('the process is gone')
