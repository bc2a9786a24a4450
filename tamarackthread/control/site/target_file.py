"""Store the site's targets on disk for the next start of this host.

Without the file, all targets would be unknown for an announcement interval
after all control hosts restarted.  What is read back is only a hint: any newer
announcement overrides it, and it expires soon.
"""

from __future__ import annotations

import asyncio
import collections.abc
import json
import logging

import attrs

from tamarackthread.control import disk, failures
from tamarackthread.shared import fields
from tamarackthread.shared.site import announcements

NAME = 'targets.json'
# Minimum interval between writes.
WRITE_SECONDS = 0.5
_UNREADABLE = (ValueError, TypeError, KeyError, AttributeError)
_log = logging.getLogger('tamarackthread.control')

Announcements = collections.abc.Iterable[announcements.Announcement]
KnownTargets = collections.abc.Callable[[], Announcements]


class TargetFile:
    """Store the targets that take calls."""

    def __init__(self, files: disk.Disk) -> None:
        """Access the disk only from ``load`` on."""
        self._files = files
        self._written: frozenset[announcements.Announcement] = frozenset()

    async def load(self) -> list[announcements.Announcement]:
        """Return the stored targets, or none if the file is unreadable.

        Sequence numbers are lowered by one, so that none of them replaces what
        another process knows of the same start.
        """
        try:
            body = await self._files.read(NAME)
        except FileNotFoundError:
            return []
        except failures.DiskFailed as exc:
            _log.warning('control: cannot read the stored targets, %s', exc)
            return []
        try:
            rows = list(json.loads(body))
        except _UNREADABLE as exc:
            _log.warning('control: the file of targets is damaged, %r', exc)
            return []
        loaded = _readable(rows)
        _log.info('control: read %d stored targets', len(loaded))
        return loaded

    async def run(self, known: KnownTargets) -> None:
        """Write the file periodically if a target has come or gone."""
        while True:
            await asyncio.sleep(WRITE_SECONDS)
            await self.write(known())

    async def close(self) -> None:
        """Close the disk without waiting for stalled writes."""
        await self._files.close()

    async def write(self, known: Announcements) -> None:
        """Write the targets that take calls, unless they are unchanged."""
        ready = [
            announcement for announcement in known if _is_ready(announcement)
        ]
        stored = frozenset(
            attrs.evolve(announcement, sequence=0, cold=0)
            for announcement in ready
        )
        if stored == self._written:
            return
        body = json.dumps([_to_row(announcement) for announcement in ready])
        try:
            await self._files.replace(NAME, body.encode())
        except (failures.DiskFull, failures.DiskFailed) as exc:
            # The next start then waits for announcements, as without a file.
            _log.warning('control: cannot write the stored targets, %s', exc)
            return
        self._written = stored


def _is_ready(announcement: announcements.Announcement) -> bool:
    return announcement.state == announcements.State.READY and bool(
        announcement.service
    )


def _to_row(announcement: announcements.Announcement) -> dict[str, object]:
    row = attrs.asdict(announcement)
    row.pop('state')
    return row


def _readable(
    rows: list[fields.JsonObject],
) -> list[announcements.Announcement]:
    """Read rows, without those that followers could not be told of."""
    read = []
    for row in rows:
        try:
            read.append(_from_row(row))
        except _UNREADABLE as exc:
            _log.warning('control: skipped a stored target, %r', exc)
    return read


def _from_row(row: fields.JsonObject) -> announcements.Announcement:
    return announcements.Announcement(
        target=fields.text(row, 'target'),
        service=fields.text(row, 'service'),
        address=fields.address(row, 'address'),
        zone=fields.text(row, 'zone'),
        slots=fields.integer(row, 'slots', fields.MAX_INT32),
        sequence=fields.integer(row, 'sequence') - 1,
        born=fields.integer(row, 'born', default=0),
    )
