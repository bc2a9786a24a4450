"""Know which targets fail calls that others answer, from their answers alone.

The failure: one target of three ends each call with an error of its own while its
health check is good and it has the fewest calls, since errors come fast.  The least
loaded target gets the next call, so that it fails more than its part of them, and a
call that must not repeat is lost with each.
"""

from __future__ import annotations

import collections
import collections.abc

import attrs

# What was answered and what failed in so many seconds counts.  A plain service has
# some calls at each target in it, and a target that is mended is soon known as such.
WINDOW_SECONDS = 4.0
# One failure, and a second one, is what every target has at times.
LEAST_FAILURES = 3
# A target whose calls fail so often costs more than the room that it gives, and so
# many times as often as at the others: where all fail, none is worse.
FAILING_SHARE = 0.4
WORSE_THAN_OTHERS = 3
# Of a service's targets at most such a part is left out, but one of three: the rest
# would have no room for the calls.
MOST_OUT_SHARE = 0.34
# A target stays out for so long, twice as long each time that it fails again soon
# after.  While it is under watch the first failure is enough.
OUT_SECONDS = 3.0
MOST_OUT_SECONDS = 12.0
WATCH_SECONDS = 8.0


@attrs.frozen
class OutcomeCounts:
    """How many calls were answered and how many failed of late."""

    answered: int = 0
    failed: int = 0

    @property
    def calls(self) -> int:
        """Return how many calls have ended."""
        return self.answered + self.failed

    @property
    def share(self) -> float:
        """Return the part of the calls that failed."""
        return self.failed / max(1, self.calls)

    def plus(self, other: OutcomeCounts) -> OutcomeCounts:
        """Return the sum of two."""
        return OutcomeCounts(
            self.answered + other.answered, self.failed + other.failed
        )

    def minus(self, other: OutcomeCounts) -> OutcomeCounts:
        """Return what is left without a part, nothing below 0."""
        return OutcomeCounts(
            max(0, self.answered - other.answered),
            max(0, self.failed - other.failed),
        )


@attrs.frozen
class TargetLoad:
    """The calls that entries have at a target, and how the last ones ended."""

    calls: int = 0
    ends: OutcomeCounts = OutcomeCounts()

    def minus(self, other: TargetLoad) -> TargetLoad:
        """Return what is left without a part."""
        return TargetLoad(
            max(0, self.calls - other.calls), self.ends.minus(other.ends)
        )


NO_ENDS = OutcomeCounts()
IDLE = TargetLoad()


class OutcomeHistory:
    """Keep how this entry's calls at one start of a target ended.

    ``others`` is what other entries told.
    """

    def __init__(self) -> None:
        """Begin without a call."""
        self.others = OutcomeCounts()
        self._ends: collections.deque[tuple[float, bool]] = collections.deque()
        # Counted along: this is asked for at each target in each exchange.
        self._failed = 0
        self._out_seconds: float = 0
        self._out_until: float = 0

    def note(self, *, is_good: bool, now: float) -> None:
        """Note how a call has ended."""
        self._ends.append((now, is_good))
        self._failed += not is_good

    def own(self, now: float) -> OutcomeCounts:
        """Return how this entry's calls have ended of late."""
        self._forget(now)
        if not self._ends:
            return NO_ENDS
        return OutcomeCounts(len(self._ends) - self._failed, self._failed)

    def has_failures(self, now: float) -> bool:
        """Tell whether any call of any entry has failed there of late."""
        self._forget(now)
        return self._failed > 0 or self.others.failed > 0

    def in_all(self, now: float) -> OutcomeCounts:
        """Return how the calls of all entries have ended of late."""
        return self.own(now).plus(self.others)

    def is_out(self, now: float) -> bool:
        """Tell whether the target is left out."""
        return now < self._out_until

    def is_failing(
        self, found: OutcomeCounts, others: float, now: float
    ) -> bool:
        """Tell whether the target fails more often than ``others`` do."""
        least = 1 if self._is_watched(now) else LEAST_FAILURES
        if found.failed < least:
            return False
        return found.share >= max(FAILING_SHARE, others * WORSE_THAN_OTHERS)

    def leave_out(self, now: float) -> None:
        """Leave the target out for a while, which begins anew after it."""
        doubled = min(MOST_OUT_SECONDS, 2 * self._out_seconds)
        self._out_seconds = max(OUT_SECONDS, doubled)
        if not self._is_watched(now):
            self._out_seconds = OUT_SECONDS
        self._out_until = now + self._out_seconds
        self._ends.clear()
        self._failed = 0

    def _forget(self, now: float) -> None:
        while self._ends and now - self._ends[0][0] > WINDOW_SECONDS:
            _, was_good = self._ends.popleft()
            self._failed -= not was_good

    def _is_watched(self, now: float) -> bool:
        """Tell whether the target was let back a short while ago."""
        return 0 < self._out_until and now - self._out_until < WATCH_SECONDS


def judge(
    held: collections.abc.Sequence[OutcomeHistory],
    now: float,
) -> list[OutcomeHistory]:
    """Leave targets of one service out that fail what others answer.

    Returns those that are left out by this, the worst first.
    """
    if not any(record.has_failures(now) for record in held):
        return []
    rows = [(record.in_all(now), record) for record in held]
    rows.sort(key=_failed_share, reverse=True)
    room = _most_out(len(held)) - sum(record.is_out(now) for record in held)
    left_out: list[OutcomeHistory] = []
    for place, (found, record) in enumerate(rows):
        if len(left_out) >= room or not found.failed:
            break
        if record.is_out(now):
            continue
        others = _usual_share(rows[:place] + rows[place + 1 :])
        if record.is_failing(found, others, now):
            record.leave_out(now)
            left_out.append(record)
    return left_out


def _most_out(targets: int) -> int:
    if targets < 3:
        return 0
    return max(1, int(targets * MOST_OUT_SHARE))


def _usual_share(rows: list[tuple[OutcomeCounts, OutcomeHistory]]) -> float:
    """Return the share that fails at the usual one of some targets.

    The lower of two in the middle: of three targets two may fail at once.
    """
    shares = sorted(found.share for found, _ in rows)
    return shares[(len(shares) - 1) // 2]


def _failed_share(row: tuple[OutcomeCounts, OutcomeHistory]) -> float:
    return row[0].share
