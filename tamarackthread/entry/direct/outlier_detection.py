"""Eject targets that fail calls which other targets answer.

A target that fails fast looks idle, so by load alone it would get most calls.
"""

from __future__ import annotations

import collections
import collections.abc

import attrs

# Only outcomes within this window count, so that a target soon recovers.
WINDOW_SECONDS = 4.0
# Every target fails one or two calls now and then.
MIN_FAILURES = 3
# An outlier fails at least this share of its calls, and this many times the
# share of its peers: if all fail alike, none is ejected.
MIN_FAILURE_SHARE = 0.4
OUTLIER_FACTOR = 3
# Part of a service's targets that may be ejected, so that the rest keep enough
# slots; of three targets, one may be.
MAX_EJECTED_SHARE = 0.34
# An ejection lasts twice as long each time that a target fails on probation,
# during which the first failure is enough to eject it.
EJECTION_SECONDS = 3.0
MAX_EJECTION_SECONDS = 12.0
PROBATION_SECONDS = 8.0


@attrs.frozen
class OutcomeCounts:
    """How many calls were answered and how many failed recently."""

    answered: int = 0
    failed: int = 0

    @property
    def calls(self) -> int:
        """Return how many calls have ended."""
        return self.answered + self.failed

    @property
    def failure_share(self) -> float:
        """Return the share of calls that failed."""
        return self.failed / max(1, self.calls)

    def plus(self, other: OutcomeCounts) -> OutcomeCounts:
        """Return the sum of two counts."""
        return OutcomeCounts(
            self.answered + other.answered, self.failed + other.failed
        )

    def minus(self, other: OutcomeCounts) -> OutcomeCounts:
        """Return the difference of two counts, at least 0 each."""
        return OutcomeCounts(
            max(0, self.answered - other.answered),
            max(0, self.failed - other.failed),
        )


@attrs.frozen
class TargetLoad:
    """The open calls at a target and the outcomes of recent ones."""

    calls: int = 0
    outcomes: OutcomeCounts = OutcomeCounts()

    def minus(self, other: TargetLoad) -> TargetLoad:
        """Return the difference of two loads, at least 0 each."""
        return TargetLoad(
            max(0, self.calls - other.calls),
            self.outcomes.minus(other.outcomes),
        )


NO_OUTCOMES = OutcomeCounts()
IDLE = TargetLoad()


class OutcomeHistory:
    """Record the outcomes of this entry's calls at one target instance."""

    def __init__(self) -> None:
        """Start without outcomes."""
        # Recent outcomes at the other entries.
        self.other_counts = OutcomeCounts()
        self._outcomes: collections.deque[tuple[float, bool]] = (
            collections.deque()
        )
        # A running count, since each exchange reads it for every target.
        self._failed = 0
        self._ejection_seconds: float = 0
        self._ejected_until: float = 0

    def note(self, *, is_good: bool, now: float) -> None:
        """Record the outcome of a call."""
        self._outcomes.append((now, is_good))
        self._failed += not is_good

    def own_counts(self, now: float) -> OutcomeCounts:
        """Return the recent outcomes of this entry's calls."""
        self._drop_expired(now)
        if not self._outcomes:
            return NO_OUTCOMES
        return OutcomeCounts(len(self._outcomes) - self._failed, self._failed)

    def has_failures(self, now: float) -> bool:
        """Tell whether any entry's call has failed recently."""
        self._drop_expired(now)
        return self._failed > 0 or self.other_counts.failed > 0

    def total_counts(self, now: float) -> OutcomeCounts:
        """Return the recent outcomes of all entries' calls."""
        return self.own_counts(now).plus(self.other_counts)

    def is_ejected(self, now: float) -> bool:
        """Tell whether the target is ejected."""
        return now < self._ejected_until

    def is_outlier(
        self, counts: OutcomeCounts, others: float, now: float
    ) -> bool:
        """Tell whether the target fails far more often than ``others``."""
        least = 1 if self._is_on_probation(now) else MIN_FAILURES
        if counts.failed < least:
            return False
        return counts.failure_share >= max(
            MIN_FAILURE_SHARE, others * OUTLIER_FACTOR
        )

    def eject(self, now: float) -> None:
        """Eject the target for a while and forget its outcomes."""
        doubled = min(MAX_EJECTION_SECONDS, 2 * self._ejection_seconds)
        self._ejection_seconds = max(EJECTION_SECONDS, doubled)
        if not self._is_on_probation(now):
            self._ejection_seconds = EJECTION_SECONDS
        self._ejected_until = now + self._ejection_seconds
        self._outcomes.clear()
        self._failed = 0

    def _drop_expired(self, now: float) -> None:
        while self._outcomes and now - self._outcomes[0][0] > WINDOW_SECONDS:
            _, was_good = self._outcomes.popleft()
            self._failed -= not was_good

    def _is_on_probation(self, now: float) -> bool:
        """Tell whether an ejection has ended recently."""
        return (
            0 < self._ejected_until
            and now - self._ejected_until < PROBATION_SECONDS
        )


def eject_outliers(
    histories: collections.abc.Sequence[OutcomeHistory],
    now: float,
) -> list[OutcomeHistory]:
    """Eject outliers among the targets of one service, the worst first.

    Returns the histories of the targets that were ejected by this call.
    """
    if not any(history.has_failures(now) for history in histories):
        return []
    rows = [(history.total_counts(now), history) for history in histories]
    rows.sort(key=_failure_share_of, reverse=True)
    room = _max_ejected(len(histories)) - sum(
        history.is_ejected(now) for history in histories
    )
    ejected: list[OutcomeHistory] = []
    for place, (counts, history) in enumerate(rows):
        if len(ejected) >= room or not counts.failed:
            break
        if history.is_ejected(now):
            continue
        others = _median_share(rows[:place] + rows[place + 1 :])
        if history.is_outlier(counts, others, now):
            history.eject(now)
            ejected.append(history)
    return ejected


def _max_ejected(targets: int) -> int:
    if targets < 3:
        return 0
    return max(1, int(targets * MAX_EJECTED_SHARE))


def _median_share(rows: list[tuple[OutcomeCounts, OutcomeHistory]]) -> float:
    """Return the median failure share, the lower one of two."""
    # Of three targets two may fail at once.
    shares = sorted(counts.failure_share for counts, _ in rows)
    return shares[(len(shares) - 1) // 2]


def _failure_share_of(row: tuple[OutcomeCounts, OutcomeHistory]) -> float:
    return row[0].failure_share
