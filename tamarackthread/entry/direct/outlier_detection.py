"""Know which targets fail calls that others answer, from their answers alone.

The failure: one target of three outcomes each call with an error of its own while its
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
MIN_FAILURES = 3
# A target whose calls fail so often costs more than the room that it gives, and so
# many times as often as at the others: where all fail, none is worse.
MIN_FAILURE_SHARE = 0.4
OUTLIER_FACTOR = 3
# Of a service's targets at most such a part is left out, but one of three: the rest
# would have no room for the calls.
MAX_EJECTED_SHARE = 0.34
# A target stays out for so long, twice as long each time that it fails again soon
# after.  While it is under watch the first failure is enough.
EJECTION_SECONDS = 3.0
MAX_EJECTION_SECONDS = 12.0
PROBATION_SECONDS = 8.0


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
    def failure_share(self) -> float:
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
    outcomes: OutcomeCounts = OutcomeCounts()

    def minus(self, other: TargetLoad) -> TargetLoad:
        """Return what is left without a part."""
        return TargetLoad(
            max(0, self.calls - other.calls),
            self.outcomes.minus(other.outcomes),
        )


NO_OUTCOMES = OutcomeCounts()
IDLE = TargetLoad()


class OutcomeHistory:
    """Keep how this entry's calls at one start of a target ended.

    ``others`` is what other entries told.
    """

    def __init__(self) -> None:
        """Begin without a call."""
        self.other_counts = OutcomeCounts()
        self._outcomes: collections.deque[tuple[float, bool]] = (
            collections.deque()
        )
        # Counted along: this is asked for at each target in each exchange.
        self._failed = 0
        self._ejection_seconds: float = 0
        self._ejected_until: float = 0

    def note(self, *, is_good: bool, now: float) -> None:
        """Note how a call has ended."""
        self._outcomes.append((now, is_good))
        self._failed += not is_good

    def own_counts(self, now: float) -> OutcomeCounts:
        """Return how this entry's calls have ended of late."""
        self._drop_expired(now)
        if not self._outcomes:
            return NO_OUTCOMES
        return OutcomeCounts(len(self._outcomes) - self._failed, self._failed)

    def has_failures(self, now: float) -> bool:
        """Tell whether any call of any entry has failed there of late."""
        self._drop_expired(now)
        return self._failed > 0 or self.other_counts.failed > 0

    def total_counts(self, now: float) -> OutcomeCounts:
        """Return how the calls of all entries have ended of late."""
        return self.own_counts(now).plus(self.other_counts)

    def is_ejected(self, now: float) -> bool:
        """Tell whether the target is left out."""
        return now < self._ejected_until

    def is_outlier(
        self, counts: OutcomeCounts, others: float, now: float
    ) -> bool:
        """Tell whether the target fails more often than ``others`` do."""
        least = 1 if self._is_on_probation(now) else MIN_FAILURES
        if counts.failed < least:
            return False
        return counts.failure_share >= max(
            MIN_FAILURE_SHARE, others * OUTLIER_FACTOR
        )

    def eject(self, now: float) -> None:
        """Leave the target out for a while, which begins anew after it."""
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
        """Tell whether the target was let back a short while ago."""
        return (
            0 < self._ejected_until
            and now - self._ejected_until < PROBATION_SECONDS
        )


def eject_outliers(
    histories: collections.abc.Sequence[OutcomeHistory],
    now: float,
) -> list[OutcomeHistory]:
    """Leave targets of one service out that fail what others answer.

    Returns those that are left out by this, the worst first.
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
    """Return the share that fails at the usual one of some targets.

    The lower of two in the middle: of three targets two may fail at once.
    """
    shares = sorted(counts.failure_share for counts, _ in rows)
    return shares[(len(shares) - 1) // 2]


def _failure_share_of(row: tuple[OutcomeCounts, OutcomeHistory]) -> float:
    return row[0].failure_share
