"""Replay moves and urgent notices on one time line and count the waits.

A piece of a move occupies the host's path to its engine.  A notice waits if
a piece, or the chunk at which it could be interrupted, still occupies the
path when the agent hands the notice over.  Times are in seconds.
"""

from __future__ import annotations

import attrs
import numpy

from tamarackthread.policy import moves


@attrs.frozen
class PathSettings:
    """Hold the constants of the path.

    A weight of 44 MB comes at 1 GB a second in pieces of an eighth and in
    chunks of 64 KiB.  An agent needs some 0.1 ms at least between taking a
    call and handing it over; a claim's round trip comes before that.
    """

    piece_seconds: float = 0.0055
    pieces_each: int = 8
    chunk_seconds: float = 0.000065
    least_handover_seconds: float = 0.0001
    mean_handover_seconds: float = 0.00025
    keyed_share: float = 0.85


@attrs.frozen
class Notice:
    """One urgent notice: when it is hinted, taken, handed over, ended."""

    hinted: float
    taken: float
    handed: float
    ended: float


@attrs.define
class Waits:
    """Count what happened to the notices of one variant."""

    notices: int = 0
    delayed: int = 0
    longest: float = 0
    interrupted: int = 0
    unfinished: int = 0


def draw_notices(
    random: numpy.random.Generator,
    seconds: float,
    settings: PathSettings,
) -> list[Notice]:
    """Draw a window's notices: a thin stream, and at times a burst."""
    times = random.uniform(0, seconds, random.poisson(seconds * 0.3))
    if random.random() < 0.15:
        started = random.uniform(0, seconds * 0.9)
        burst = started + random.exponential(2, random.poisson(300))
        times = numpy.concatenate([times, burst])
    notices = []
    spare = settings.mean_handover_seconds - settings.least_handover_seconds
    for taken in numpy.sort(times):
        keyed = random.random() < settings.keyed_share
        lead = random.uniform(0.001, 0.004) if keyed else 0
        handover = settings.least_handover_seconds + random.exponential(spare)
        ended = taken + handover + random.uniform(0.006, 0.03)
        notices.append(Notice(taken - lead, taken, taken + handover, ended))
    return notices


class PathReplay:
    """Run one window's moves against its notices."""

    def __init__(self, settings: PathSettings, pauses: bool) -> None:
        """Choose whether moves pause for urgent work."""
        self._settings = settings
        self._pauses = pauses
        self.waits = Waits()

    def run(
        self,
        queue: moves.MoveQueue,
        notices: list[Notice],
        seconds: float,
    ) -> bool:
        """Replay the window; tell whether every move was done within it."""
        watch = moves.UrgentCallMonitor()
        events = _Events(notices)
        now = float(0)
        busy_until = float('-inf')
        self.waits.notices += len(notices)
        while now < seconds:
            self._hand_over(events.pass_to(now, watch), busy_until)
            piece = queue.start(self._pauses and watch.must_pause(now))
            if piece is None:
                if queue.progress.is_complete:
                    break
                now = min(watch.resume_at(now), events.next_time(seconds))
                now = max(now, events.passed)
                continue
            done = now + self._settings.piece_seconds
            stop = events.next_warning(now)
            if self._pauses and not piece.move.urgent and stop < done:
                queue.interrupt(piece)
                # The chunk in flight is still received to its end.
                now = stop
                busy_until = stop + self._settings.chunk_seconds
                continue
            queue.finish(piece)
            busy_until = done
            self._hand_over(events.pass_to(done, watch), busy_until)
            now = done
        return self._close(queue, events, watch, busy_until, seconds)

    def _close(
        self,
        queue: moves.MoveQueue,
        events: '_Events',
        watch: moves.UrgentCallMonitor,
        busy_until: float,
        seconds: float,
    ) -> bool:
        self._hand_over(events.pass_to(seconds + 1, watch), busy_until)
        self.waits.interrupted += queue.progress.interrupted
        if queue.progress.is_complete:
            return True
        self.waits.unfinished += 1
        return False

    def _hand_over(self, handed: list[float], busy_until: float) -> None:
        for time in handed:
            wait = busy_until - time
            # Rounding of sums of times is far below a nanosecond.
            if wait <= 1e-9:
                continue
            self.waits.delayed += 1
            self.waits.longest = max(self.waits.longest, wait)


class _Events:
    """Walk the notices' moments in the order of time."""

    def __init__(self, notices: list[Notice]) -> None:
        moments = []
        for notice in notices:
            moments.append((notice.hinted, 0))
            moments.append((notice.taken, 1))
            moments.append((notice.handed, 2))
            moments.append((notice.ended, 3))
        self._moments = sorted(moments)
        self._at = 0
        warnings = [time for time, kind in self._moments if kind < 2]
        self._warnings = numpy.array(warnings)
        self.passed = float(0)

    def pass_to(
        self, now: float, watch: moves.UrgentCallMonitor
    ) -> list[float]:
        """Tell the watch all up to ``now``; return the hand-over times."""
        handed = []
        while self._at < len(self._moments):
            time, kind = self._moments[self._at]
            if time > now:
                break
            self._at += 1
            self.passed = max(time, self.passed)
            if kind == 0:
                watch.hint(time)
            elif kind == 1:
                watch.arrived(time)
            elif kind == 2:
                handed.append(time)
            else:
                watch.finished(time)
        return handed

    def next_time(self, default: float) -> float:
        """Return the time of the next moment of any kind."""
        if self._at < len(self._moments):
            return self._moments[self._at][0]
        return default

    def next_warning(self, now: float) -> float:
        """Return the time of the next hint or arrival after ``now``."""
        at = int(numpy.searchsorted(self._warnings, now, side='right'))
        if at < len(self._warnings):
            return float(self._warnings[at])
        return float('inf')
