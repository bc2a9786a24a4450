"""Know how often the experts of a group are chosen, from a few ranks."""

from __future__ import annotations

import collections.abc

import attrs

from tamarackthread.control.site.maps import ranks

# Of what was seen before, so much counts beside what is new: the experts in
# demand change within seconds, and a sample of ranks is noisy.
KEPT = 0.35


@attrs.define(eq=False)
class _Seen:
    epoch: int
    by_set: tuple[tuple[int, ...], ...]


class Demand:
    """Keep a decayed sum of choices by set and expert."""

    def __init__(self) -> None:
        """Begin without having seen any."""
        self._seen: dict[str, _Seen] = {}
        self._tokens: list[list[float]] = []

    @property
    def tokens(self) -> list[list[float]]:
        """Return the choices by set and expert; empty before the first."""
        return self._tokens

    def take(
        self,
        found: collections.abc.Mapping[str, ranks.Counts],
    ) -> None:
        """Take readings by target; each counts from its second time on."""
        fresh: list[list[float]] = []
        for target, counts in found.items():
            before = self._seen.get(target)
            self._seen[target] = _Seen(counts.epoch, counts.by_set)
            if before is None or before.epoch != counts.epoch:
                continue
            _add(fresh, _difference(before.by_set, counts.by_set))
        if fresh:
            self._mix(fresh)

    def _mix(self, fresh: list[list[float]]) -> None:
        if not self._tokens:
            self._tokens = fresh
            return
        for held, new in zip(self._tokens, fresh, strict=True):
            for expert, count in enumerate(new):
                held[expert] = held[expert] * KEPT + count


def _difference(
    before: tuple[tuple[int, ...], ...],
    after: tuple[tuple[int, ...], ...],
) -> list[list[float]]:
    return [
        [float(max(0, new - old)) for old, new in zip(olds, news, strict=True)]
        for olds, news in zip(before, after, strict=True)
    ]


def _add(total: list[list[float]], more: list[list[float]]) -> None:
    if not total:
        total.extend(more)
        return
    for held, new in zip(total, more, strict=True):
        for expert, count in enumerate(new):
            held[expert] += count
