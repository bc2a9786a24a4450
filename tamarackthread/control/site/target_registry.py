"""Keep the announcements that targets sent to this control host."""

from __future__ import annotations

import asyncio
import collections.abc
import contextlib
import operator

import attrs

from tamarackthread.control.site import rejection_log
from tamarackthread.shared import errors, fields
from tamarackthread.shared.site import announcements, groups

# Missed announcements after which a target counts as silent: one may be late and
# one lost with the host it was sent to.
MAX_MISSED_INTERVALS = 3.5
# Announcement intervals for which a target restored from disk counts as ready; the
# first announcement may be lost.
RESTORED_INTERVALS = 1.9
# Announcement intervals for which targets that left are remembered, longer than an
# announcement may be delayed.
RETENTION_INTERVALS = 50
# Announcement intervals after which an unchanged target is published again, so that
# it overrides an older silent state published by another host.
REFRESH_INTERVALS = 2.5
SWEEP_SECONDS = 0.25
# Bytes of announcements in one reply, which may also carry a configuration.
MAX_PAGE_BYTES = 256 << 10
# Bytes of an announcement besides its texts.
ROW_BYTES = 48
# Paces below the first are normal variation; relative changes below the second are
# not published.
MIN_PACE = 1.2
MIN_PACE_CHANGE = 0.2
# Time to live of a pace, which the owner of the group renews.
PACE_TTL_SECONDS = 5.0


class AnnouncementInvalid(errors.CodedError):
    """Announcement of a target can't be parsed."""

    code = 'TT7301'
    status = 400


class StartMissing(errors.CodedError):
    """Announcement does not name the start of its target."""

    code = 'TT7105'
    status = 400


@attrs.frozen
class Page:
    """Announcements in the order of their changes, up to ``serial``."""

    announcements: list[announcements.Announcement]
    serial: int


@attrs.define(eq=False)
class _Entry:
    announcement: announcements.Announcement
    received_at: float
    published_at: float
    serial: int


@attrs.define(eq=False)
class _PaceRecord:
    pace: float
    noted_at: float


class TargetRegistry:
    """Keep the newest announcement of the latest start of each target.

    The state is soft: it is neither stored nor replicated, and is rebuilt from
    announcements within one interval of a restart.  Departures alone come from
    the replicated state as well.
    """

    def __init__(self, interval_seconds: float) -> None:
        """Start empty; targets announce themselves every ``interval_seconds``."""
        self._interval = interval_seconds
        self._rows: dict[str, _Entry] = {}
        self._paces: dict[str, _PaceRecord] = {}
        self._serial = 0
        self._on_change: list[collections.abc.Callable[[], None]] = []
        self._rejections = rejection_log.RejectionLog()
        self._groups = groups.Groups()

    @property
    def serial(self) -> int:
        """Return a number that grows with each published change."""
        return self._serial

    @property
    def groups(self) -> groups.Groups:
        """Return the groups of targets that the owner on this host found."""
        return self._groups

    def record_groups(self, term: int, rows: list[groups.Group]) -> None:
        """Record which targets form the groups, as the owner in ``term``."""
        if self._groups.learn(term, rows):
            self._notify()

    def on_change(self, listener: collections.abc.Callable[[], None]) -> None:
        """Call ``listener`` after each change that followers must see."""
        self._on_change.append(listener)

    @contextlib.contextmanager
    def validating(self, writer: str) -> collections.abc.Iterator[None]:
        """Reject an invalid announcement of ``writer`` read within the block.

        Counts and logs it, and raises ``AnnouncementInvalid``.
        """
        try:
            yield
        except (fields.FieldInvalid, StartMissing) as exc:
            self._rejections.record(writer, str(exc))
            raise AnnouncementInvalid(f'{writer}: {exc}') from exc

    def record(self, announcement: announcements.Announcement) -> None:
        """Record an announcement unless a later one is known.

        Raises ``FieldInvalid`` if the target's name can't be sent, and
        ``StartMissing`` if earlier ones named the target's start and this
        one does not: it is from another sender and could hide a crash.
        """
        fields.checked_text(announcement.target, 'target')
        now = asyncio.get_running_loop().time()
        row = self._rows.get(announcement.target)
        if row is None:
            self._publish(_Entry(announcement, now, now, 0), now)
            return
        if row.announcement.born and not announcement.born:
            raise StartMissing(announcement.target)
        if not announcement.supersedes(row.announcement):
            return
        if announcement.is_later_start(row.announcement):
            # The pace of an earlier start does not apply.
            self._paces.pop(announcement.target, None)
        row.received_at = now
        is_significant = _is_significant(row.announcement, announcement)
        row.announcement = announcement
        if (
            is_significant
            or now - row.published_at > self._interval * REFRESH_INTERVALS
        ):
            self._publish(row, now)

    def restore(self, announcement: announcements.Announcement) -> None:
        """Add a target that was stored before this host's last stop.

        The target may have left since, so it turns silent early unless it
        announces itself.
        """
        row = self._rows.get(announcement.target)
        if row is not None and not announcement.is_later_start(
            row.announcement
        ):
            return
        now = asyncio.get_running_loop().time()
        elapsed = (MAX_MISSED_INTERVALS - RESTORED_INTERVALS) * self._interval
        self._publish(_Entry(announcement, now - elapsed, now, 0), now)

    def mark_gone(
        self, target: str, born: int = 0
    ) -> announcements.Announcement:
        """Record and return that a start of a target takes no more calls.

        Without ``born`` the last known start is meant: ignoring the message
        would lose calls, while obeying it in error only withholds them.
        """
        return self.record_departure(
            announcements.Announcement(
                target=target,
                service='',
                address='',
                state=announcements.State.GONE,
                born=born,
            )
        )

    def record_departure(
        self, departed: announcements.Announcement
    ) -> announcements.Announcement:
        """Record that a target drains or is gone, whichever host was told.

        Returns the departure with what is known of the target.
        """
        row = self._rows.get(departed.target)
        if row is not None and not departed.is_later_start(row.announcement):
            departed = attrs.evolve(
                row.announcement,
                state=departed.state,
                born=departed.born or row.announcement.born,
            )
        self.record(departed)
        return departed

    def record_pace(self, target: str, pace: float) -> None:
        """Record a target's pace, the factor by which it is slower than usual.

        Small changes are not published, as each one wakes all followers.
        """
        now = asyncio.get_running_loop().time()
        held = self._paces.get(target)
        published = 1 if held is None else held.pace
        if pace < MIN_PACE:
            pace = 1
        if (
            held is not None
            and abs(pace - published) < MIN_PACE_CHANGE * published
        ):
            held.noted_at = now
            return
        if pace == published:
            return
        self._paces[target] = _PaceRecord(pace, now)
        self._notify()

    def paces(self) -> dict[str, float]:
        """Return the paces of slow targets that were recorded recently."""
        now = asyncio.get_running_loop().time()
        return {
            target: held.pace
            for target, held in self._paces.items()
            if held.pace > 1 and now - held.noted_at < PACE_TTL_SECONDS
        }

    def page_since(self, serial: int) -> Page:
        """Return the first announcements since ``serial`` that fit a reply."""
        rows = sorted(
            (row for row in self._rows.values() if row.serial > serial),
            key=operator.attrgetter('serial'),
        )
        page: list[announcements.Announcement] = []
        last_serial = serial
        size = 0
        for row in rows:
            size += _bytes_of(row.announcement)
            if page and size > MAX_PAGE_BYTES:
                return Page(page, last_serial)
            page.append(row.announcement)
            last_serial = row.serial
        return Page(page, self._serial)

    def changed_since(self, serial: int) -> list[announcements.Announcement]:
        """List the announcements that have changed since ``serial``."""
        return [
            row.announcement
            for row in self._rows.values()
            if row.serial > serial
        ]

    def sweep(self) -> None:
        """Mark targets silent on a timeout and drop those long gone."""
        now = asyncio.get_running_loop().time()
        for target, row in tuple(self._rows.items()):
            silence = now - row.received_at
            if silence > self._interval * RETENTION_INTERVALS:
                self._rows.pop(target)
                continue
            is_ready = row.announcement.state == announcements.State.READY
            if is_ready and silence > self._interval * MAX_MISSED_INTERVALS:
                row.announcement = attrs.evolve(
                    row.announcement, state=announcements.State.SILENT
                )
                self._publish(row, now)

    async def run(self) -> None:
        """Sweep periodically until cancelled."""
        while True:
            await asyncio.sleep(SWEEP_SECONDS)
            self.sweep()

    def _publish(self, row: _Entry, now: float) -> None:
        row.serial = self._serial + 1
        row.published_at = now
        self._rows[row.announcement.target] = row
        self._notify()

    def _notify(self) -> None:
        self._serial += 1
        for listener in self._on_change:
            listener()


def _bytes_of(announcement: announcements.Announcement) -> int:
    """Return about how many bytes an announcement takes in a reply."""
    texts = (
        announcement.target,
        announcement.service,
        announcement.address,
        announcement.zone,
    )
    return ROW_BYTES + sum(len(text.encode()) for text in texts)


def _is_significant(
    held: announcements.Announcement,
    announcement: announcements.Announcement,
) -> bool:
    """Return whether followers must learn of the change at once."""
    if announcement.cold > held.cold or (held.cold and not announcement.cold):
        return True
    return attrs.evolve(held, sequence=0, cold=0) != attrs.evolve(
        announcement, sequence=0, cold=0
    )
