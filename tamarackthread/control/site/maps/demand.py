"""Know how often the experts of a group are chosen, from a few ranks."""

from __future__ import annotations

import collections.abc
import math

from tamarackthread.control.site.maps import ranks

# Of what was seen before, so much counts beside what is new; a sample of few
# ranks is noisy, and at five readings a second this remembers half a second.
KEPT = 0.7
# Two readings of the same demand are alike by 0.9 and more (cosine), rarely by
# less where a rank had few calls.  After a shift they were alike by 0.2 to 0.76,
# and the second reading was like the first by 0.96 and more; the second is
# waited for where the first may be one of the rare ones.
ALIKE = 0.86
SHIFTED = 0.78
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

    @property
    def tokens(self) -> _Tokens:
        """Return the choices by set and expert; empty before the first."""
        return self._tokens

    @property
    def is_settled(self) -> bool:
        """Tell whether the last reading looked like what was seen before."""
        return bool(self._tokens) and not self._odd

    def take(
        self,
        found: collections.abc.Mapping[str, ranks.Counts],
    ) -> None:
        """Take readings by target.

        A reading counts where the one before it had the same target in it.
        """
        fresh: _Tokens = []
        for target, counts in found.items():
            before = self._seen.get(target)
            if before is not None and before.is_of_start(counts):
                _add(fresh, _difference(before.by_set, counts.by_set))
        self._seen = dict(found)
        if any(map(any, fresh)):
            self._mix(fresh)

    def _mix(self, fresh: _Tokens) -> None:
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
            self._tokens = fresh
            self._odd = []
            return
        self._odd = fresh


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
