"""Maintain an entry's subset of targets incrementally: scoring all pairs of
entries and targets on each change would block the event loop for seconds.
"""

from __future__ import annotations

import collections.abc
import math

import attrs

from tamarackthread.policy import subsets


@attrs.define(slots=True)
class _RankedTarget:
    endpoint: subsets.Endpoint
    score: float
    rank: int


class RankedTargets:
    """Track for each target how many entries score higher than this one."""

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
        self._targets: dict[str, _RankedTarget] = {}

    @property
    def entry_count(self) -> int:
        """Return the number of entries, including this one."""
        return len(self._entries) + 1

    def set_entries(
        self,
        entries: collections.abc.Mapping[str, subsets.Endpoint],
    ) -> None:
        """Update the entries; scores only those that changed."""
        updated = dict(entries)
        updated.pop(self._own.name, None)
        for name, known in tuple(self._entries.items()):
            if updated.get(name) != known:
                self._entries.pop(name)
                self._adjust_ranks(known, -1)
        for name, endpoint in updated.items():
            if name not in self._entries:
                self._entries[name] = endpoint
                self._adjust_ranks(endpoint, 1)

    def set_targets(
        self,
        targets: collections.abc.Mapping[str, subsets.Endpoint],
    ) -> None:
        """Update the targets; scores only those that changed."""
        for name, known in tuple(self._targets.items()):
            if targets.get(name) != known.endpoint:
                self._targets.pop(name)
        for name, endpoint in targets.items():
            if name not in self._targets:
                self._targets[name] = self._rank_target(endpoint)

    def choose(
        self,
        size: int,
        usable: collections.abc.Callable[[str], bool],
    ) -> set[str]:
        """Return about ``size`` targets, so that targets have equal shares."""
        # Adds the best-ranked other targets until enough are usable; unusable
        # ones stay in, so that their recovery is noticed.
        total = len(self._targets)
        if total <= size:
            return set(self._targets)
        rank_limit = math.ceil(size * self.entry_count / total)
        chosen = set()
        remaining = []
        usable_count = 0
        for name, target in self._targets.items():
            if target.rank >= rank_limit:
                remaining.append((target.rank, name))
                continue
            chosen.add(name)
            usable_count += usable(name)
        remaining.sort()
        for _, name in remaining:
            if usable_count >= size:
                break
            chosen.add(name)
            usable_count += usable(name)
        return chosen

    def _rank_target(self, endpoint: subsets.Endpoint) -> _RankedTarget:
        own_score = self._score(self._own, endpoint)
        rank = sum(
            self._score(other, endpoint) > own_score
            for other in self._entries.values()
        )
        return _RankedTarget(endpoint, own_score, rank)

    def _adjust_ranks(self, entry: subsets.Endpoint, delta: int) -> None:
        for target in self._targets.values():
            if self._score(entry, target.endpoint) > target.score:
                target.rank += delta

    def _score(
        self, entry: subsets.Endpoint, target: subsets.Endpoint
    ) -> float:
        return subsets.score(entry, target, self._zone_weight)
