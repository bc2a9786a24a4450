"""Know calls that take down each target that begins to run them.

Answers the load in which one call comes again and again, at any entry: each time
a target crashes, a group stalls with all its streams, and the call is tried at the
next one.
"""

from __future__ import annotations

import collections
import collections.abc
import enum
import math

import attrs

from tamarackthread.generated.messages import ttypes as messages

# Starts of targets that were lost while they ran a call.  One and two are what
# ordinary calls see; at two the call is given to no second target without need.
NO_RETRY_LOSSES = 2
REFUSED_LOSSES = 3
# Targets that are lost within so long of each other are lost together: by power, by
# a cut, with their group.  So many of them tell nothing of any call.
CORRELATED_LOSS_SECONDS = 0.5
CORRELATED_LOSS_TARGETS = 3
# What was seen of a call is forgotten after so long; one that was refused all the
# while is then let through, and is known again if it still does harm.
HISTORY_TTL_SECONDS = 60.0
# Calls that are remembered at once; of more the oldest is forgotten.
MAX_CALLS = 128
MILLISECONDS = 1000


class Verdict(enum.Enum):
    """Say what is done with a call: all, one try only, or none."""

    ALLOWED = 'free'
    NO_RETRY = 'watched'
    REFUSED = 'refused'


@attrs.frozen(kw_only=True)
class CrashHistory:
    """What is known of one call.

    ``starts`` are the starts of targets that were lost while they ran it.  The last
    one was ``lost`` so many seconds ago, and a target has ``answered`` the call so
    many seconds ago, never if infinite.  A call that was answered since is harmless.
    """

    mark: bytes
    starts: frozenset[str] = frozenset()
    lost: float = math.inf
    answered: float = math.inf

    @property
    def is_harmless(self) -> bool:
        """Tell whether a target has answered the call since the last loss."""
        return self.answered <= self.lost

    def is_equivalent(self, other: CrashHistory) -> bool:
        """Tell whether another one differs by nothing but its age."""
        is_alike = self.is_harmless == other.is_harmless
        return is_alike and self.starts == other.starts

    def aged(self, seconds: float) -> CrashHistory:
        """Return the same as it is some seconds later."""
        return attrs.evolve(
            self, lost=self.lost + seconds, answered=self.answered + seconds
        )

    def merged(self, other: CrashHistory) -> CrashHistory:
        """Return what both know; an answer voids the losses before it."""
        answered = min(self.answered, other.answered)
        counted = [row for row in (self, other) if row.lost < answered]
        starts = frozenset[str]().union(*(row.starts for row in counted))
        return CrashHistory(
            mark=self.mark,
            starts=starts,
            lost=min(self.lost, other.lost),
            answered=answered,
        )


@attrs.frozen
class _Loss:
    mark: bytes
    start: str
    moment: float


@attrs.define(eq=False)
class _Row:
    """One call; moments are on the loop's clock, minus infinity for never."""

    starts: set[str] = attrs.field(factory=set)
    lost_at: float = -math.inf
    answered_at: float = -math.inf


class PoisonCalls:
    """Hold what one entry has seen, and what the others told of.

    Each entry remembers what all of them know, so that it outlives the entries
    that have seen it.  It is forgotten by its age, at the same time by all.
    """

    def __init__(self) -> None:
        """Begin without suspects."""
        self._rows: collections.OrderedDict[bytes, _Row] = (
            collections.OrderedDict()
        )
        self._losses: collections.deque[_Loss] = collections.deque()
        self._pending: list[_Loss] = []
        self._serial = 0

    @property
    def serial(self) -> int:
        """Return a number that grows with each change that others must learn."""
        return self._serial

    def __bool__(self) -> bool:
        """Tell whether any call is known; else none has to be looked up."""
        return bool(self._rows or self._pending)

    def record_crash(self, mark: bytes, start: str, now: float) -> None:
        """Note that a start of a target was lost before it had answered."""
        loss = _Loss(mark, start, now)
        self._losses.append(loss)
        self._pending.append(loss)

    def record_answer(self, mark: bytes, now: float) -> None:
        """Note that a target has answered a call that had been lost."""
        is_pending = any(loss.mark == mark for loss in self._pending)
        if mark not in self._rows and not is_pending:
            return
        row = self._row(mark)
        row.starts.clear()
        row.answered_at = now
        self._serial += 1
        self._pending = [loss for loss in self._pending if loss.mark != mark]

    def merge(
        self,
        others: collections.abc.Iterable[CrashHistory],
        now: float,
    ) -> None:
        """Take what all other entries know."""
        for other in others:
            if min(other.lost, other.answered) >= HISTORY_TTL_SECONDS:
                continue
            held = self._evidence(other.mark, now)
            joined = held.merged(other)
            # Ages differ a little from entry to entry and are no news.
            if joined.is_equivalent(held):
                continue
            self._serial += 1
            row = self._row(other.mark)
            row.starts = set(joined.starts)
            row.lost_at = now - joined.lost
            row.answered_at = now - joined.answered

    def histories(self, now: float) -> list[CrashHistory]:
        """List what this entry knows."""
        self._settle(now)
        return [self._evidence(mark, now) for mark in self._rows]

    def crash_count(self, mark: bytes, now: float) -> int:
        """Count the starts that were lost by a call, 0 if it is harmless."""
        self._settle(now)
        found = self._evidence(mark, now)
        return 0 if found.is_harmless else len(found.starts)

    def verdict(self, mark: bytes, now: float) -> Verdict:
        """Say what is done with a call."""
        losses = self.crash_count(mark, now)
        if losses >= REFUSED_LOSSES:
            return Verdict.REFUSED
        return (
            Verdict.NO_RETRY if losses >= NO_RETRY_LOSSES else Verdict.ALLOWED
        )

    def _row(self, mark: bytes) -> _Row:
        row = self._rows.setdefault(mark, _Row())
        self._rows.move_to_end(mark)
        if len(self._rows) > MAX_CALLS:
            self._rows.popitem(last=False)
        return row

    def _evidence(self, mark: bytes, now: float) -> CrashHistory:
        row = self._rows.get(mark)
        if row is None:
            return CrashHistory(mark=mark)
        return CrashHistory(
            mark=mark,
            starts=frozenset(row.starts),
            lost=now - row.lost_at,
            answered=now - row.answered_at,
        )

    def _settle(self, now: float) -> None:
        """Count losses of which it is known by now what came with them."""
        pending = self._pending
        self._pending = []
        for loss in pending:
            if now - loss.moment < CORRELATED_LOSS_SECONDS:
                self._pending.append(loss)
                continue
            if self._is_alone(loss):
                row = self._row(loss.mark)
                self._serial += loss.start not in row.starts
                row.starts.add(loss.start)
                row.lost_at = max(row.lost_at, loss.moment)
        self._forget(now)

    def _is_alone(self, loss: _Loss) -> bool:
        """Tell whether a target was not lost together with several others."""
        together = {
            other.start
            for other in self._losses
            if abs(other.moment - loss.moment) <= CORRELATED_LOSS_SECONDS
        }
        return len(together) < CORRELATED_LOSS_TARGETS

    def _forget(self, now: float) -> None:
        oldest = now - HISTORY_TTL_SECONDS
        while self._losses and self._losses[0].moment < oldest:
            self._losses.popleft()
        for mark, row in tuple(self._rows.items()):
            if max(row.lost_at, row.answered_at) < oldest:
                self._rows.pop(mark)


def merge(rows: collections.abc.Iterable[CrashHistory]) -> list[CrashHistory]:
    """Join what several entries know of the same calls."""
    found: dict[bytes, CrashHistory] = {}
    for row in rows:
        held = found.get(row.mark)
        found[row.mark] = row if held is None else held.merged(row)
    return list(found.values())


def to_message(row: CrashHistory) -> messages.SiteSuspect:
    """Put what is known of a call into a message between nodes."""
    return messages.SiteSuspect(
        mark=row.mark,
        starts=sorted(row.starts),
        lost_ms=_milliseconds(row.lost) or 0,
        answered_ms=_milliseconds(row.answered),
    )


def from_message(row: messages.SiteSuspect) -> CrashHistory:
    """Read what ``to_message`` wrote."""
    answered = math.inf
    if row.answered_ms is not None:
        answered = row.answered_ms / MILLISECONDS
    return CrashHistory(
        mark=row.mark,
        starts=frozenset(row.starts),
        lost=(row.lost_ms or 0) / MILLISECONDS if row.starts else math.inf,
        answered=answered,
    )


def _milliseconds(seconds: float) -> int | None:
    return None if math.isinf(seconds) else round(seconds * MILLISECONDS)
