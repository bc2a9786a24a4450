"""Estimate the demand for a group's experts from the counts of some ranks."""

from __future__ import annotations

import collections
import collections.abc
import math
import statistics

from tamarackthread.control.site.maps import ranks

# Decay of the earlier counts at each reading: a memory of about half a second,
# which smooths the noise of a small sample of ranks.
DECAY = 0.7
# Cosine similarity above which two readings are of the same demand, and below
# which demand has shifted; in between the next reading decides.
SAME_SIMILARITY = 0.86
SHIFT_SIMILARITY = 0.78
# Expected duration of a demand until two shifts were seen; afterwards the median
# of the last ``MAX_SPANS`` durations.
DEFAULT_SPAN_SECONDS = 4.0
MAX_SPANS = 5
# Expected remainder, as a fraction of the usual duration, of a demand that has
# already lasted longer.
OVERDUE_FRACTION = 0.5
_Tokens = list[list[float]]


class Demand:
    """Keep an exponentially decayed sum of expert choices by set.

    Demand shifts abruptly, so the sum restarts at the first reading that is
    unlike it, or at the second of two that differ somewhat.
    """

    def __init__(self) -> None:
        """Start without readings."""
        self._last_counts: dict[str, ranks.Counts] = {}
        self._tokens: _Tokens = []
        self._outlier: _Tokens = []
        self._is_mixed = False
        self._shifted_at: float | None = None
        self._spans: collections.deque[float] = collections.deque(
            maxlen=MAX_SPANS
        )

    @property
    def is_mixed(self) -> bool:
        """Return whether the last reading includes choices before a shift."""
        return self._is_mixed

    def remaining_seconds(self, now: float) -> float:
        """Return how long the current demand is expected to last."""
        usual = DEFAULT_SPAN_SECONDS
        if self._spans:
            usual = statistics.median(self._spans)
        age = 0 if self._shifted_at is None else now - self._shifted_at
        return max(usual - age, usual * OVERDUE_FRACTION)

    @property
    def tokens(self) -> _Tokens:
        """Return the choices by set and expert; empty before any reading."""
        return self._tokens

    @property
    def is_settled(self) -> bool:
        """Return whether the last reading matched the earlier ones."""
        return bool(self._tokens) and not self._outlier

    def add_counts(
        self,
        counts_by_target: collections.abc.Mapping[str, ranks.Counts],
        now: float,
    ) -> None:
        """Add the choices of each target since its last reading."""
        increments: _Tokens = []
        for target, counts in counts_by_target.items():
            before = self._last_counts.get(target)
            if before is not None and before.is_same_start(counts):
                _accumulate(
                    increments, _difference(before.by_set, counts.by_set)
                )
        self._last_counts = dict(counts_by_target)
        if any(map(any, increments)):
            self._merge(increments, now)

    def _merge(self, increments: _Tokens, now: float) -> None:
        # The first reading after a shift includes earlier choices: good enough
        # for a first map, but it must not distort the next one.
        if self._is_mixed:
            self._tokens = increments
            self._is_mixed = False
            return
        similarity = mean_cosine(self._tokens, increments)
        if similarity >= SAME_SIMILARITY:
            self._tokens = _decayed_sum(self._tokens, increments)
            self._outlier = []
            return
        if (
            similarity < SHIFT_SIMILARITY
            or mean_cosine(self._outlier, increments) >= SAME_SIMILARITY
        ):
            self._is_mixed = bool(self._tokens)
            if self._is_mixed:
                self._record_shift(now)
            self._tokens = increments
            self._outlier = []
            return
        self._outlier = increments

    def _record_shift(self, now: float) -> None:
        if self._shifted_at is not None:
            self._spans.append(now - self._shifted_at)
        self._shifted_at = now


def mean_cosine(before: _Tokens, after: _Tokens) -> float:
    """Return the mean cosine similarity over the sets; 0 without ``before``."""
    if not before:
        return 0
    cosines = [
        _cosine(old, new) for old, new in zip(before, after, strict=True)
    ]
    return sum(cosines) / len(cosines)


def _decayed_sum(held: _Tokens, increments: _Tokens) -> _Tokens:
    """Add ``increments`` to the decayed ``held`` counts."""
    return [
        [old * DECAY + new for old, new in zip(olds, news, strict=True)]
        for olds, news in zip(held, increments, strict=True)
    ]


def _cosine(before: list[float], after: list[float]) -> float:
    lengths = math.hypot(*before) * math.hypot(*after)
    if not lengths:
        return 0
    products = (old * new for old, new in zip(before, after, strict=True))
    return sum(products) / lengths


def _difference(
    before: tuple[tuple[int, ...], ...],
    after: tuple[tuple[int, ...], ...],
) -> _Tokens:
    return [
        [float(max(0, new - old)) for old, new in zip(olds, news, strict=True)]
        for olds, news in zip(before, after, strict=True)
    ]


def _accumulate(total: _Tokens, more: _Tokens) -> None:
    if not total:
        total.extend(more)
        return
    for held, new in zip(total, more, strict=True):
        for expert, count in enumerate(new):
            held[expert] += count
