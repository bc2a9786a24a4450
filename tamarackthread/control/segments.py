"""Store a log's entries in append-only files.

Truncation is an entry as well, so that a crash leaves either the old or the
new log.
"""

from __future__ import annotations

import collections.abc
import enum
import logging

import attrs

from tamarackthread.control import disk, failures, records
from tamarackthread.generated.messages import ttypes as messages
from tamarackthread.shared import wire

PREFIX = 'log-'
_log = logging.getLogger('tamarackthread.control.segments')


class Kind(enum.IntEnum):
    """The kinds of log entries."""

    COMMAND = 0
    NOOP = 1
    MEMBERS = 2
    TRUNCATE = 3  # on disk only: removes the entries from this index on


@attrs.define
class _Segment:
    name: str
    size: int = 0
    last_index: int = 0


class Segments:
    """A sequence of segment files of limited size."""

    def __init__(self, files: disk.Disk, segment_bytes: int) -> None:
        """Start without files until ``load``."""
        self._files = files
        self._segment_bytes = segment_bytes
        self._segments: list[_Segment] = []
        self._next_number = 1

    async def load(self) -> list[messages.LogEntry]:
        """Read the stored entries and truncate a torn tail.

        Raises ``LogCorrupt`` for any other damage.
        """
        names = [
            name
            for name in await self._files.names()
            if name.startswith(PREFIX)
        ]
        entries: list[messages.LogEntry] = []
        for name in names:
            segment = _Segment(name)
            self._segments.append(segment)
            await self._load_segment(
                segment, entries, is_last=name == names[-1]
            )
        if names:
            self._next_number = int(names[-1].removeprefix(PREFIX)) + 1
        return entries

    async def append(
        self, entries: collections.abc.Sequence[messages.LogEntry]
    ) -> None:
        """Write entries as one frame and sync it.

        After ``DiskFull`` nothing was written and the call may be repeated;
        not after ``DiskFailed``, as the kernel may have dropped dirty pages.
        """
        payload = wire.encode(messages.AppendRequest(entries=list(entries)))
        frame = records.encode(payload)
        segment = self._active_segment()
        await self._files.append(segment.name, frame)
        segment.size += len(frame)
        for entry in entries:
            segment.last_index = max(segment.last_index, entry.index)
        await self._sync(segment.name)

    async def compact(self, index: int) -> None:
        """Remove the files without entries after ``index``."""
        while len(self._segments) > 1 and self._segments[0].last_index <= index:
            await self._files.remove(self._segments[0].name)
            self._segments.pop(0)

    async def _load_segment(
        self,
        segment: _Segment,
        entries: list[messages.LogEntry],
        is_last: bool,
    ) -> None:
        data = await self._files.read(segment.name)
        scan = records.scan(segment.name, data, may_be_torn=is_last)
        segment.size = scan.good_bytes
        for payload in scan.payloads:
            for entry in wire.decode(messages.AppendRequest, payload).entries:
                segment.last_index = max(segment.last_index, entry.index)
                _apply(entry, entries, segment.name)
        if scan.good_bytes < len(data):
            _log.warning(
                'log: cut torn tail of %s: %d bytes after byte %d',
                segment.name,
                len(data) - scan.good_bytes,
                scan.good_bytes,
            )
            await self._files.truncate(segment.name, scan.good_bytes)

    def _active_segment(self) -> _Segment:
        if self._segments and self._segments[-1].size < self._segment_bytes:
            return self._segments[-1]
        segment = _Segment(f'{PREFIX}{self._next_number:016d}')
        self._next_number += 1
        self._segments.append(segment)
        return segment

    async def _sync(self, name: str) -> None:
        try:
            await self._files.sync(name)
        except failures.DiskFull as exc:
            raise failures.DiskFailed(str(exc)) from exc


def _apply(
    entry: messages.LogEntry, entries: list[messages.LogEntry], name: str
) -> None:
    if entry.kind == Kind.TRUNCATE:
        while entries and entries[-1].index >= entry.index:
            entries.pop()
        return
    if entries and entry.index != entries[-1].index + 1:
        raise failures.LogCorrupt(
            f'entry {entry.index} does not follow entry {entries[-1].index}',
            name,
            0,
        )
    entries.append(entry)
