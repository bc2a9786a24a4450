"""Define a group's file storage and implement it in a local folder."""

from __future__ import annotations

import abc
import asyncio
import collections.abc
import concurrent.futures
import contextlib
import errno
import os
import pathlib
import typing

from tamarackthread.control import failures

_FULL_ERRNOS = frozenset((errno.ENOSPC, errno.EDQUOT))
_MAX_THREADS = 2
_TEMPORARY_SUFFIX = '.new'

_Result = typing.TypeVar('_Result')


class Disk(abc.ABC):
    """Files of one group in one flat folder.

    Appended data is durable once ``sync`` returns; ``replace``, ``truncate``
    and ``remove`` are durable on return.  A write that raises ``DiskFull`` or
    ``DiskFailed`` leaves the file unchanged.
    """

    @abc.abstractmethod
    async def append(self, name: str, data: bytes) -> None:
        """Append to a file, creating it if needed."""

    @abc.abstractmethod
    async def sync(self, name: str) -> None:
        """Return once all data appended to the file is durable."""

    @abc.abstractmethod
    async def read(self, name: str, offset: int = 0, size: int = -1) -> bytes:
        """Read bytes; raises ``FileNotFoundError``."""

    @abc.abstractmethod
    async def replace(self, name: str, data: bytes) -> None:
        """Replace a whole file atomically."""

    @abc.abstractmethod
    async def truncate(self, name: str, size: int) -> None:
        """Truncate a file to a size in bytes."""

    @abc.abstractmethod
    async def remove(self, name: str) -> None:
        """Remove a file if it exists."""

    @abc.abstractmethod
    async def names(self) -> list[str]:
        """List the file names in sorted order."""

    @abc.abstractmethod
    def free_bytes(self) -> int:
        """Return the free space for unprivileged processes; never blocks."""

    async def close(self) -> None:  # noqa: B027
        """Release the disk's resources."""


class FolderDisk(Disk):
    """Store files in a folder, with all blocking calls in threads.

    A stalled disk blocks these threads but not the event loop, so that
    heartbeats continue and the stall is detected.
    """

    def __init__(self, folder: pathlib.Path) -> None:
        """Create the folder if needed."""
        folder.mkdir(parents=True, exist_ok=True)
        self._folder = folder
        self._threads = concurrent.futures.ThreadPoolExecutor(
            max_workers=_MAX_THREADS, thread_name_prefix=f'disk-{folder.name}'
        )
        self._unsynced_names: set[str] = set()

    async def append(self, name: str, data: bytes) -> None:
        """Append to the file; a partial write is truncated again."""
        await self._run(lambda: self._append(name, data))

    async def sync(self, name: str) -> None:
        """Sync the file, and after its creation also the folder."""
        await self._run(lambda: self._sync(name))

    async def read(self, name: str, offset: int = 0, size: int = -1) -> bytes:
        """Read bytes from the folder."""
        return await self._run(lambda: self._read(name, offset, size))

    async def replace(self, name: str, data: bytes) -> None:
        """Write and sync a temporary file, then rename it."""
        await self._run(lambda: self._replace(name, data))

    async def truncate(self, name: str, size: int) -> None:
        """Truncate and sync the file."""
        await self._run(lambda: self._truncate(name, size))

    async def remove(self, name: str) -> None:
        """Unlink the file and sync the folder."""
        await self._run(lambda: self._remove(name))

    async def names(self) -> list[str]:
        """List the file names without temporary files."""
        return await self._run(self._names)

    def free_bytes(self) -> int:
        """Query the file system, which needs no disk access."""
        stats = os.statvfs(self._folder)
        return stats.f_bavail * stats.f_frsize

    async def close(self) -> None:
        """Stop the threads without waiting for a stalled disk."""
        self._threads.shutdown(wait=False, cancel_futures=True)

    async def _run(
        self, work: collections.abc.Callable[[], _Result]
    ) -> _Result:
        loop = asyncio.get_running_loop()
        try:
            return await loop.run_in_executor(self._threads, work)
        except FileNotFoundError:
            raise
        except OSError as exc:
            if exc.errno in _FULL_ERRNOS:
                raise failures.DiskFull(str(exc)) from exc
            raise failures.DiskFailed(str(exc)) from exc

    def _append(self, name: str, data: bytes) -> None:
        path = self._folder / name
        if not path.exists():
            self._unsynced_names.add(name)
        with path.open('ab', buffering=0) as opened:
            size = opened.tell()
            try:
                _write_all(opened.fileno(), data)
            except OSError:
                opened.truncate(size)
                raise

    def _sync(self, name: str) -> None:
        with (self._folder / name).open('rb') as opened:
            os.fsync(opened.fileno())
        if name in self._unsynced_names:
            self._sync_folder()
            self._unsynced_names.discard(name)

    def _read(self, name: str, offset: int, size: int) -> bytes:
        with (self._folder / name).open('rb') as opened:
            opened.seek(offset)
            return opened.read(size)

    def _replace(self, name: str, data: bytes) -> None:
        temporary = self._folder / (name + _TEMPORARY_SUFFIX)
        try:
            with temporary.open('wb', buffering=0) as opened:
                _write_all(opened.fileno(), data)
                os.fsync(opened.fileno())
        except OSError:
            with contextlib.suppress(OSError):
                temporary.unlink()
            raise
        temporary.replace(self._folder / name)
        self._sync_folder()

    def _truncate(self, name: str, size: int) -> None:
        with (self._folder / name).open('rb+', buffering=0) as opened:
            opened.truncate(size)
            os.fsync(opened.fileno())

    def _remove(self, name: str) -> None:
        (self._folder / name).unlink(missing_ok=True)
        self._sync_folder()

    def _names(self) -> list[str]:
        found = (path.name for path in self._folder.iterdir())
        return sorted(
            name for name in found if not name.endswith(_TEMPORARY_SUFFIX)
        )

    def _sync_folder(self) -> None:
        descriptor = os.open(self._folder, os.O_RDONLY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)


def _write_all(descriptor: int, data: bytes) -> None:
    remaining = memoryview(data)
    while remaining:
        written = os.write(descriptor, remaining)
        remaining = remaining[written:]
