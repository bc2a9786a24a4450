"""Know calls that take down each target that begins to run them.

Answers the load in which one call comes again and again, at any entry: each time
a target crashes, a group stalls with all its streams, and the call is tried at the
next one.
"""

from __future__ import annotations

import collections
import collections.abc
import enum

import attrs

from tamarackthread.generated.messages import ttypes as messages

# Starts of targets that were lost while they ran a call.  One and two are what
# ordinary calls see; at two the call is given to no second target without need.
WATCHED_LOSSES = 2
REFUSED_LOSSES = 3
# Targets that are lost within so long of each other are lost together: by power, by
# a cut, with their group.  So many of them tell nothing of any call.
TOGETHER_SECONDS = 0.5
TOGETHER_TARGETS = 3
# What was seen of a call is forgotten after so long; one that was refused all the
# while is then let through, and is known again if it still does harm.
REMEMBERED_SECONDS = 60.0
# Calls that are remembered at once; of more the oldest is forgotten.
MOST_CALLS = 128


class Verdict(enum.Enum):
    """Say what is done with a call: all, one try only, or none."""

    FREE = 'free'
    WATCHED = 'watched'
    REFUSED = 'refused'


@attrs.frozen(kw_only=True)
class Evidence:
    """Be what is known of one call.

    ``starts`` are the starts of targets that were lost while they ran it; it is
    ``harmless`` if a target has answered it since.
    """

    mark: bytes
    starts: frozenset[str] = frozenset()
    is_harmless: bool = False


@attrs.frozen
class _Loss:
    start: str
    moment: float


@attrs.define(eq=False)
class _Row:
    seen_at: float
    losses: list[_Loss] = attrs.field(factory=list)
    is_harmless: bool = False


class Suspects:
    """Hold what one entry has seen, and what the others told of."""

    def __init__(self) -> None:
        """Begin without suspects."""
        self._rows: collections.OrderedDict[bytes, _Row] = (
            collections.OrderedDict()
        )
        self._losses: collections.deque[_Loss] = collections.deque()
        self._others: dict[bytes, Evidence] = {}

    def __bool__(self) -> bool:
        """Tell whether any call is known; else none has to be looked up."""
        return bool(self._rows or self._others)

    def lost(self, mark: bytes, start: str, now: float) -> None:
        """Note that a start of a target was lost before it had answered."""
        loss = _Loss(start, now)
        self._losses.append(loss)
        self._forget(now)
        row = self._rows.setdefault(mark, _Row(now))
        row.seen_at = now
        row.is_harmless = False
        row.losses.append(loss)
        self._rows.move_to_end(mark)
        if len(self._rows) > MOST_CALLS:
            self._rows.popitem(last=False)

    def answered(self, mark: bytes, now: float) -> None:
        """Note that a target has answered a call that had been lost."""
        if mark not in self._rows and mark not in self._others:
            return
        self._rows[mark] = _Row(now, is_harmless=True)

    def share(self, others: collections.abc.Iterable[Evidence]) -> None:
        """Take what all other entries know."""
        self._others = {row.mark: row for row in others}

    def own(self, now: float) -> list[Evidence]:
        """List what this entry knows."""
        self._forget(now)
        return [self._evidence(mark, now) for mark in self._rows]

    def losses(self, mark: bytes, now: float) -> int:
        """Count the starts that were lost by a call, 0 if it is harmless."""
        self._forget(now)
        own = self._evidence(mark, now)
        others = self._others.get(mark, Evidence(mark=mark))
        if own.is_harmless or others.is_harmless:
            return 0
        return len(own.starts | others.starts)

    def verdict(self, mark: bytes, now: float) -> Verdict:
        """Say what is done with a call."""
        losses = self.losses(mark, now)
        if losses >= REFUSED_LOSSES:
            return Verdict.REFUSED
        return Verdict.WATCHED if losses >= WATCHED_LOSSES else Verdict.FREE

    def _evidence(self, mark: bytes, now: float) -> Evidence:
        row = self._rows.get(mark)
        if row is None:
            return Evidence(mark=mark)
        starts = {loss.start for loss in row.losses if self._counts(loss, now)}
        return Evidence(
            mark=mark, starts=frozenset(starts), is_harmless=row.is_harmless
        )

    def _counts(self, loss: _Loss, now: float) -> bool:
        """Tell whether a loss is evidence, once it is known what came with it."""
        if now - loss.moment < TOGETHER_SECONDS:
            return False
        together = {
            other.start
            for other in self._losses
            if abs(other.moment - loss.moment) <= TOGETHER_SECONDS
        }
        return len(together) < TOGETHER_TARGETS

    def _forget(self, now: float) -> None:
        oldest = now - REMEMBERED_SECONDS
        while self._losses and self._losses[0].moment < oldest:
            self._losses.popleft()
        while self._rows:
            mark, row = next(iter(self._rows.items()))
            if row.seen_at >= oldest:
                return
            self._rows.pop(mark)


def merge(rows: collections.abc.Iterable[Evidence]) -> list[Evidence]:
    """Join what several entries know of the same calls."""
    found: dict[bytes, Evidence] = {}
    for row in rows:
        held = found.get(row.mark, Evidence(mark=row.mark))
        found[row.mark] = Evidence(
            mark=row.mark,
            starts=held.starts | row.starts,
            is_harmless=held.is_harmless or row.is_harmless,
        )
    return list(found.values())


def to_message(row: Evidence) -> messages.SiteSuspect:
    """Put what is known of a call into a message between nodes."""
    return messages.SiteSuspect(row.mark, sorted(row.starts), row.is_harmless)


def of_message(row: messages.SiteSuspect) -> Evidence:
    """Read what ``to_message`` wrote."""
    return Evidence(
        mark=row.mark,
        starts=frozenset(row.starts),
        is_harmless=bool(row.is_harmless),
    )
