"""Know how often the experts of a group are chosen, from a few ranks."""

from __future__ import annotations

import collections
import collections.abc
import math
import statistics

from tamarackthread.control.site.maps import ranks

# Of what was seen before, so much counts beside what is new; a sample of few
# ranks is noisy, and at five readings a second this remembers half a second.
KEPT = 0.7
# Two readings of the same demand are alike (cosine) by more than the first, but
# for the rare one of a rank with few calls, and those of two demands by less than
# the second.  In between the next reading is waited for.
ALIKE = 0.86
SHIFTED = 0.78
# Before two shifts were seen, demand is taken to stay for so long; of those that
# were seen the middle one of some counts.
ASSUMED_SECONDS = 4.0
REMEMBERED = 5
# Demand that has stayed for longer than it mostly does may change at any time; it
# is planned for so much of that time again.
OVERDUE_SHARE = 0.5
_Tokens = list[list[float]]


class Demand:
    """Keep a decayed sum of choices by set and expert.

    Demand shifts at once and then stays for seconds.  What was seen before a
    shift is worth nothing after it, so it is forgotten at the first reading
    that is quite unlike it, and at the second of two that are somewhat so.
    """

    def __init__(self) -> None:
        """Begin without having seen any."""
        self._seen: dict[str, ranks.Counts] = {}
        self._tokens: _Tokens = []
        self._odd: _Tokens = []
        self._is_mixed = False
        self._shifted_at: float | None = None
        self._spans: collections.deque[float] = collections.deque(
            maxlen=REMEMBERED
        )

    @property
    def is_mixed(self) -> bool:
        """Tell whether the choices are in part of before the last shift."""
        return self._is_mixed

    def remaining_seconds(self, now: float) -> float:
        """Return for how many seconds demand is expected to stay as it is."""
        usual = ASSUMED_SECONDS
        if self._spans:
            usual = statistics.median(self._spans)
        age = 0 if self._shifted_at is None else now - self._shifted_at
        return max(usual - age, usual * OVERDUE_SHARE)

    @property
    def tokens(self) -> _Tokens:
        """Return the choices by set and expert; empty before the first."""
        return self._tokens

    @property
    def is_settled(self) -> bool:
        """Tell whether the last reading looked like what was seen before."""
        return bool(self._tokens) and not self._odd

    def add_counts(
        self,
        found: collections.abc.Mapping[str, ranks.Counts],
        now: float,
    ) -> None:
        """Take readings by target.

        A reading counts where the one before it had the same target in it.
        """
        fresh: _Tokens = []
        for target, counts in found.items():
            before = self._seen.get(target)
            if before is not None and before.is_same_start(counts):
                _add(fresh, _difference(before.by_set, counts.by_set))
        self._seen = dict(found)
        if any(map(any, fresh)):
            self._mix(fresh, now)

    def _mix(self, fresh: _Tokens, now: float) -> None:
        # The first reading after a shift holds choices from before it as well.
        # It is good enough for a first map; kept beside later ones it would
        # make the second map uneven too, and a third one would follow.
        if self._is_mixed:
            self._tokens = fresh
            self._is_mixed = False
            return
        alike = likeness(self._tokens, fresh)
        if alike >= ALIKE:
            self._tokens = _sum(self._tokens, fresh)
            self._odd = []
            return
        if alike < SHIFTED or likeness(self._odd, fresh) >= ALIKE:
            self._is_mixed = bool(self._tokens)
            if self._is_mixed:
                self._note_shift(now)
            self._tokens = fresh
            self._odd = []
            return
        self._odd = fresh

    def _note_shift(self, now: float) -> None:
        if self._shifted_at is not None:
            self._spans.append(now - self._shifted_at)
        self._shifted_at = now


def likeness(before: _Tokens, after: _Tokens) -> float:
    """Return the mean cosine over the sets; 0 without any before."""
    if not before:
        return 0
    found = [_cosine(old, new) for old, new in zip(before, after, strict=True)]
    return sum(found) / len(found)


def _sum(held: _Tokens, fresh: _Tokens) -> _Tokens:
    """Add what is new to what is held, of which a part is forgotten."""
    return [
        [old * KEPT + new for old, new in zip(olds, news, strict=True)]
        for olds, news in zip(held, fresh, strict=True)
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


def _add(total: _Tokens, more: _Tokens) -> None:
    if not total:
        total.extend(more)
        return
    for held, new in zip(total, more, strict=True):
        for expert, count in enumerate(new):
            held[expert] += count
