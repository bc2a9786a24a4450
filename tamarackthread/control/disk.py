"""Keep a group's files: the interface, and the folder on a real disk."""

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

_FULL = frozenset((errno.ENOSPC, errno.EDQUOT))
_WORKERS = 2
_SUFFIX = '.new'

_Result = typing.TypeVar('_Result')


class Disk(abc.ABC):
    """Hold the files of one group in one flat folder.

    What was appended lasts only once ``sync`` has returned; ``replace``,
    ``truncate`` and ``remove`` return when they last.  Writes raise
    ``DiskFull`` or ``DiskFailed``, and leave the file as it was.
    """

    @abc.abstractmethod
    async def append(self, name: str, data: bytes) -> None:
        """Add bytes to the end of a file, creating it if needed."""

    @abc.abstractmethod
    async def sync(self, name: str) -> None:
        """Return once all that was appended to the file will last."""

    @abc.abstractmethod
    async def read(self, name: str, offset: int = 0, size: int = -1) -> bytes:
        """Read bytes; raise ``FileNotFoundError`` if there is no file."""

    @abc.abstractmethod
    async def replace(self, name: str, data: bytes) -> None:
        """Put a whole file in place of the old one, or leave the old one."""

    @abc.abstractmethod
    async def truncate(self, name: str, size: int) -> None:
        """Cut a file to a size in bytes."""

    @abc.abstractmethod
    async def remove(self, name: str) -> None:
        """Remove a file if it is there."""

    @abc.abstractmethod
    async def names(self) -> list[str]:
        """List the files in order of their names."""

    @abc.abstractmethod
    def free_bytes(self) -> int:
        """Return the room left for ordinary processes, without waiting."""

    async def close(self) -> None:  # noqa: B027
        """Give up what the disk holds open."""


class FolderDisk(Disk):
    """Keep files in a folder; every wait for the disk is in a thread.

    A disk that stalls holds these threads and never the event loop, so that
    heartbeats go on and the stall is noticed.
    """

    def __init__(self, folder: pathlib.Path) -> None:
        """Create the folder if it isn't there."""
        folder.mkdir(parents=True, exist_ok=True)
        self._folder = folder
        self._threads = concurrent.futures.ThreadPoolExecutor(
            max_workers=_WORKERS, thread_name_prefix=f'disk-{folder.name}'
        )
        self._unlisted: set[str] = set()

    async def append(self, name: str, data: bytes) -> None:
        """Add bytes, and cut them off again if the disk took only some."""
        await self._run(lambda: self._append(name, data))

    async def sync(self, name: str) -> None:
        """Sync the file, and its folder the first time."""
        await self._run(lambda: self._sync(name))

    async def read(self, name: str, offset: int = 0, size: int = -1) -> bytes:
        """Read bytes from the folder."""
        return await self._run(lambda: self._read(name, offset, size))

    async def replace(self, name: str, data: bytes) -> None:
        """Write a second file, sync it and rename it over the first."""
        await self._run(lambda: self._replace(name, data))

    async def truncate(self, name: str, size: int) -> None:
        """Cut the file and sync it."""
        await self._run(lambda: self._truncate(name, size))

    async def remove(self, name: str) -> None:
        """Unlink the file and sync the folder."""
        await self._run(lambda: self._remove(name))

    async def names(self) -> list[str]:
        """List whole files; one whose replacement broke off is left out."""
        return await self._run(self._names)

    def free_bytes(self) -> int:
        """Ask the file system, which knows it without a disk access."""
        room = os.statvfs(self._folder)
        return room.f_bavail * room.f_frsize

    async def close(self) -> None:
        """Let the threads end, without waiting for a stalled disk."""
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
            if exc.errno in _FULL:
                raise failures.DiskFull(str(exc)) from exc
            raise failures.DiskFailed(str(exc)) from exc

    def _append(self, name: str, data: bytes) -> None:
        path = self._folder / name
        if not path.exists():
            self._unlisted.add(name)
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
        if name in self._unlisted:
            self._sync_folder()
            self._unlisted.discard(name)

    def _read(self, name: str, offset: int, size: int) -> bytes:
        with (self._folder / name).open('rb') as opened:
            opened.seek(offset)
            return opened.read(size)

    def _replace(self, name: str, data: bytes) -> None:
        fresh = self._folder / (name + _SUFFIX)
        try:
            with fresh.open('wb', buffering=0) as opened:
                _write_all(opened.fileno(), data)
                os.fsync(opened.fileno())
        except OSError:
            with contextlib.suppress(OSError):
                fresh.unlink()
            raise
        fresh.replace(self._folder / name)
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
        return sorted(name for name in found if not name.endswith(_SUFFIX))

    def _sync_folder(self) -> None:
        descriptor = os.open(self._folder, os.O_RDONLY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)


def _write_all(descriptor: int, data: bytes) -> None:
    left = memoryview(data)
    while left:
        written = os.write(descriptor, left)
        left = left[written:]
