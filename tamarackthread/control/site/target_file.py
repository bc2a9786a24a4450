"""Keep the targets of a site in a file, for the next start of this host.

Announcements are soft state: targets repeat them once a beat.  After all
control hosts were killed or lost power, callers and the owner of the maps
would wait more than a beat until each target has spoken again, though nearly
all of them are where they were.  What is read back is a hint that any newer
word goes before; it is told for some beats and then forgotten.
"""

from __future__ import annotations

import asyncio
import collections.abc
import json
import logging

import attrs

from tamarackthread.control import disk, failures
from tamarackthread.shared.site import announcements

NAME = 'targets.json'
# Targets come and go a few times a minute; written so often at most, the file
# costs the disk less than the log does.
WRITE_SECONDS = 0.5
_UNREADABLE = (ValueError, TypeError, KeyError, AttributeError)
_log = logging.getLogger('tamarackthread.control')

Said = collections.abc.Iterable[announcements.Announcement]
Known = collections.abc.Callable[[], Said]


class TargetFile:
    """Write what is known of the targets that take work."""

    def __init__(self, files: disk.Disk) -> None:
        """Touch nothing until ``load``."""
        self._files = files
        self._written: frozenset[announcements.Announcement] = frozenset()

    async def load(self) -> list[announcements.Announcement]:
        """Return the targets of the last run, none if they can't be read.

        Each has a lower sequence than it was last heard with, so that nothing
        that any process still holds of this start is replaced.
        """
        try:
            body = await self._files.read(NAME)
        except FileNotFoundError:
            return []
        except failures.DiskFailed as exc:
            _log.warning('control: cannot read the known targets, %s', exc)
            return []
        try:
            found = [_of_row(row) for row in json.loads(body)]
        except _UNREADABLE as exc:
            _log.warning('control: the file of targets is damaged, %r', exc)
            return []
        _log.info('control: knows %d targets of its last run', len(found))
        return found

    async def run(self, known: Known) -> None:
        """Write for ever whenever a target has come or gone."""
        while True:
            await asyncio.sleep(WRITE_SECONDS)
            await self.write(known())

    async def close(self) -> None:
        """Give up the disk, without waiting for one that stalls."""
        await self._files.close()

    async def write(self, known: Said) -> None:
        """Write the targets that take work, unless they are written."""
        ready = [said for said in known if _is_ready(said)]
        wanted = frozenset(
            attrs.evolve(said, sequence=0, cold=0) for said in ready
        )
        if wanted == self._written:
            return
        body = json.dumps([_to_row(said) for said in ready])
        try:
            await self._files.replace(NAME, body.encode())
        except (failures.DiskFull, failures.DiskFailed) as exc:
            # The next start waits for the targets' own word, as without it.
            _log.warning('control: cannot write the known targets, %s', exc)
            return
        self._written = wanted


def _is_ready(said: announcements.Announcement) -> bool:
    return said.state == announcements.State.READY and bool(said.service)


def _to_row(said: announcements.Announcement) -> dict[str, object]:
    row = attrs.asdict(said)
    row.pop('state')
    return row


def _of_row(row: dict[str, object]) -> announcements.Announcement:
    said = announcements.Announcement(**row)
    if not isinstance(said.target, str) or not isinstance(said.address, str):
        raise TypeError('a target without a name or an address')
    return attrs.evolve(said, sequence=int(said.sequence) - 1, cold=0)
