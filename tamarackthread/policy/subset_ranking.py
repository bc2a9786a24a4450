"""Follow an entry's subset of targets while entries come and go.

Working a subset out anew scores every pair of an entry and a target, which at
hundreds of entries and thousands of targets would hold the event loop for
seconds.  Here a change of one entry costs one score for each target.
"""

from __future__ import annotations

import collections.abc
import math

import attrs

from tamarackthread.policy import subsets


@attrs.define(slots=True)
class _Ranked:
    place: subsets.Endpoint
    score: float
    rank: int


class RankedTargets:
    """Know for each target how many entries it prefers to this one."""

    def __init__(
        self,
        own: subsets.Endpoint,
        settings: subsets.SubsetSettings | None = None,
    ) -> None:
        """Start as the only entry, without targets."""
        self._own = own
        self._zone_weight = (
            settings or subsets.SubsetSettings()
        ).same_zone_weight
        self._entries: dict[str, subsets.Endpoint] = {}
        self._targets: dict[str, _Ranked] = {}

    @property
    def entries(self) -> int:
        """Count the entries, this one included."""
        return len(self._entries) + 1

    def set_entries(
        self,
        entries: collections.abc.Mapping[str, subsets.Endpoint],
    ) -> None:
        """Follow the list of entries; scores only those that differ."""
        wanted = dict(entries)
        wanted.pop(self._own.name, None)
        for name, known in tuple(self._entries.items()):
            if wanted.get(name) != known:
                self._entries.pop(name)
                self._shift(known, -1)
        for name, place in wanted.items():
            if name not in self._entries:
                self._entries[name] = place
                self._shift(place, 1)

    def set_targets(
        self,
        targets: collections.abc.Mapping[str, subsets.Endpoint],
    ) -> None:
        """Follow the list of targets; scores only those that differ."""
        for name, known in tuple(self._targets.items()):
            if targets.get(name) != known.place:
                self._targets.pop(name)
        for name, place in targets.items():
            if name not in self._targets:
                self._targets[name] = self._ranked(place)

    def choose(
        self,
        size: int,
        usable: collections.abc.Callable[[str], bool],
    ) -> set[str]:
        """Choose about ``size`` targets, more when few of them are usable.

        Each target is in the subset of equally many entries.  An entry's
        own number differs from its mean by chance, and chance must not
        leave it with too few, so it's widened with the targets that rank it
        best.  Those that are unusable stay in, so that they are found again.
        """
        total = len(self._targets)
        if total <= size:
            return set(self._targets)
        share = math.ceil(size * self.entries / total)
        chosen = set()
        spare = []
        useful = 0
        for name, ranked in self._targets.items():
            if ranked.rank >= share:
                spare.append((ranked.rank, name))
                continue
            chosen.add(name)
            useful += usable(name)
        spare.sort()
        for _, name in spare:
            if useful >= size:
                break
            chosen.add(name)
            useful += usable(name)
        return chosen

    def _ranked(self, place: subsets.Endpoint) -> _Ranked:
        own = self._score(self._own, place)
        rank = sum(
            self._score(other, place) > own for other in self._entries.values()
        )
        return _Ranked(place, own, rank)

    def _shift(self, entry: subsets.Endpoint, by: int) -> None:
        for ranked in self._targets.values():
            if self._score(entry, ranked.place) > ranked.score:
                ranked.rank += by

    def _score(
        self, entry: subsets.Endpoint, target: subsets.Endpoint
    ) -> float:
        return subsets.score(entry, target, self._zone_weight)
