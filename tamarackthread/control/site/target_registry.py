"""Keep what targets announced to this control host."""

from __future__ import annotations

import asyncio
import collections.abc
import contextlib

import attrs

from tamarackthread.control.site import rejection_log
from tamarackthread.shared import errors, fields
from tamarackthread.shared.site import announcements, groups

# Beats a target may miss before it counts as silent.  One may be late by
# seconds and one may be lost with the host that it went to; the next is due
# within the third.
BEATS_MISSED = 3.5
# A target that is known from before this host's start is taken for ready for so
# many beats: the first one comes within one, and may be lost.
BEATS_TRUSTED = 1.9
# Farewells are remembered for so many beats, longer than an announcement may
# be held up on its way.
BEATS_REMEMBERED = 50
# A host tells of a target again after so many beats, although nothing has
# changed: else another host's older word that it is silent would stand.
BEATS_REFRESHED = 2.5
SWEEP_SECONDS = 0.25
# Paces below this are the usual spread of targets, and a change by less than
# this part is no news.
LEAST_PACE = 1.2
PACE_CHANGE = 0.2
# A pace that the owner of a group does not repeat is forgotten: another owns it
# now, or the target is gone.
PACE_SECONDS = 5.0


class AnnouncementInvalid(errors.CodedError):
    """Announcement of a target can't be read."""

    code = 'TT7301'
    status = 400


class StartMissing(errors.CodedError):
    """Announcement does not say which start of its target it is of."""

    code = 'TT7105'
    status = 400


@attrs.define(eq=False)
class _Row:
    said: announcements.Announcement
    heard_at: float
    told_at: float
    serial: int


@attrs.define(eq=False)
class _Pace:
    pace: float
    noted_at: float


class TargetRegistry:
    """Hold the newest announcement of the latest start of each target.

    Soft state: nothing here is written to disk or agreed on.  A host that
    starts anew has an empty book, which the targets fill within one beat.
    """

    def __init__(self, beat_seconds: float) -> None:
        """Start empty; targets announce themselves once a beat."""
        self._beat = beat_seconds
        self._rows: dict[str, _Row] = {}
        self._paces: dict[str, _Pace] = {}
        self._serial = 0
        self._on_change: list[collections.abc.Callable[[], None]] = []
        self._strangers = rejection_log.RejectionLog()
        self._groups = groups.Groups()

    @property
    def serial(self) -> int:
        """Return a number that grows with each change that was told."""
        return self._serial

    @property
    def groups(self) -> groups.Groups:
        """Return the groups of targets, as this host found them as owner."""
        return self._groups

    def record_groups(self, term: int, rows: list[groups.Group]) -> None:
        """Note which targets make a group, as owner of a term."""
        if self._groups.learn(term, rows):
            self._change()

    def on_change(self, listener: collections.abc.Callable[[], None]) -> None:
        """Call ``listener`` after each change that followers must learn."""
        self._on_change.append(listener)

    @contextlib.contextmanager
    def validating(self, writer: str) -> collections.abc.Iterator[None]:
        """Read and take a word of ``writer`` within this.

        Raises ``AnnouncementInvalid`` for one that can't be read.  It names no
        target, changes nothing, and is counted and logged.
        """
        try:
            yield
        except (fields.FieldInvalid, StartMissing) as exc:
            self._strangers.note(writer, str(exc))
            raise AnnouncementInvalid(f'{writer}: {exc}') from exc

    def record(self, said: announcements.Announcement) -> None:
        """Take an announcement unless a later one is held.

        Raises ``StartMissing`` where the target names its starts and this does
        not: it is somebody else's word, and as the newest one of whatever
        start it would keep a dead target among the living.
        """
        now = asyncio.get_running_loop().time()
        row = self._rows.get(said.target)
        if row is None:
            self._tell(_Row(said, now, now, 0), now)
            return
        if row.said.born and not said.born:
            raise StartMissing(said.target)
        if not said.follows(row.said):
            return
        if said.is_later_start(row.said):
            # How slow the earlier start was says nothing of this one.
            self._paces.pop(said.target, None)
        row.heard_at = now
        is_news = _is_news(row.said, said)
        row.said = said
        if is_news or now - row.told_at > self._beat * BEATS_REFRESHED:
            self._tell(row, now)

    def restore(self, said: announcements.Announcement) -> None:
        """Take what was known of a target before this host's start.

        A target may have said its farewell to a process that was killed before
        it could write it down, and may still serve: without a word of its own
        it gets no work for longer than the time that it has for leaving.
        """
        if said.target in self._rows:
            return
        now = asyncio.get_running_loop().time()
        unheard = (BEATS_MISSED - BEATS_TRUSTED) * self._beat
        self._tell(_Row(said, now - unheard, now, 0), now)

    def mark_gone(self, target: str, born: int = 0) -> None:
        """Note that a start of a target takes no more work, known or not.

        A farewell that names no start is taken for that of the one that is
        known: work that is sent to a target that has left is lost, while one
        that is still there only gets none.
        """
        row = self._rows.get(target)
        if row is None:
            gone = announcements.Announcement(
                target=target,
                service='',
                address='',
                state=announcements.State.GONE,
                born=born,
            )
        else:
            gone = attrs.evolve(
                row.said,
                state=announcements.State.GONE,
                born=born or row.said.born,
            )
        self.record(gone)

    def record_pace(self, target: str, pace: float) -> None:
        """Note how much longer than usual a target takes; 1 is usual.

        Followers are told of a clear change only: a figure that flickers
        would wake all of them at each look.
        """
        now = asyncio.get_running_loop().time()
        held = self._paces.get(target)
        told = 1 if held is None else held.pace
        if pace < LEAST_PACE:
            pace = 1
        if held is not None and abs(pace - told) < PACE_CHANGE * told:
            held.noted_at = now
            return
        if pace == told:
            return
        self._paces[target] = _Pace(pace, now)
        self._change()

    def paces(self) -> dict[str, float]:
        """Return the targets that were noted to be slow of late."""
        now = asyncio.get_running_loop().time()
        return {
            target: held.pace
            for target, held in self._paces.items()
            if held.pace > 1 and now - held.noted_at < PACE_SECONDS
        }

    def changed_since(self, serial: int) -> list[announcements.Announcement]:
        """List what has changed since a serial."""
        return [row.said for row in self._rows.values() if row.serial > serial]

    def sweep(self) -> None:
        """Mark targets that have fallen silent, forget those long gone."""
        now = asyncio.get_running_loop().time()
        for target, row in tuple(self._rows.items()):
            quiet = now - row.heard_at
            if quiet > self._beat * BEATS_REMEMBERED:
                self._rows.pop(target)
                continue
            is_ready = row.said.state == announcements.State.READY
            if is_ready and quiet > self._beat * BEATS_MISSED:
                row.said = attrs.evolve(
                    row.said, state=announcements.State.SILENT
                )
                self._tell(row, now)

    async def run(self) -> None:
        """Sweep for ever."""
        while True:
            await asyncio.sleep(SWEEP_SECONDS)
            self.sweep()

    def _tell(self, row: _Row, now: float) -> None:
        row.serial = self._serial + 1
        row.told_at = now
        self._rows[row.said.target] = row
        self._change()

    def _change(self) -> None:
        self._serial += 1
        for listener in self._on_change:
            listener()


def _is_news(
    held: announcements.Announcement,
    said: announcements.Announcement,
) -> bool:
    """Tell whether more than the sequence and the warming up differ.

    Who sends calls must know at once that a target has turned cold, or is warm.
    """
    if said.cold > held.cold or (held.cold and not said.cold):
        return True
    return attrs.evolve(held, sequence=0, cold=0) != attrs.evolve(
        said, sequence=0, cold=0
    )
