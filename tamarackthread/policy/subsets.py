"""Choose the targets that an entry talks to.

Every entry works the subset out for itself from the same two lists.  The
choice is by rendezvous hashing from the target's side: each target picks its
entries, so that each target has its share of entries, and a target or entry
that comes or goes moves only its own pairs.
"""

from __future__ import annotations

import collections.abc

import attrs
import xxhash

_HASH_RANGE = float(1 << 64)


@attrs.frozen(slots=True)
class Place:
    """Be an entry or a target with its availability zone."""

    name: str
    zone: str


@attrs.frozen(slots=True, kw_only=True)
class SubsetSettings:
    """Hold the sizes.

    Each target is given to ``entries_per_target`` entries, more if an entry
    would otherwise have fewer than ``least_targets``.  ``zone_pull`` is how
    much likelier a pair within one zone is; a pull without bound would leave
    a zone without entries unserved.
    """

    entries_per_target: int = 8
    least_targets: int = 8
    zone_pull: float = 4.0


class Subsets:
    """Work out the subset of one entry."""

    def __init__(self, settings: SubsetSettings | None = None) -> None:
        """Keep the sizes."""
        self._settings = settings or SubsetSettings()

    def choose(
        self,
        own: str,
        entries: collections.abc.Sequence[Place],
        targets: collections.abc.Sequence[Place],
        healthy: collections.abc.Container[str] | None = None,
    ) -> list[Place]:
        """List the targets for the entry ``own``, which is in ``entries``.

        Targets outside ``healthy`` stay in the subset, so that they find
        their entries again, but the subset is widened to make up for them.
        """
        entry = _find(own, entries)
        if entry is None:
            return list(targets)
        chosen = []
        spare = []
        for target in targets:
            rank = self._rank(entry, entries, target)
            if rank < self._settings.entries_per_target:
                chosen.append(target)
                continue
            spare.append((rank, target))
        spare.sort(key=lambda pair: (pair[0], pair[1].name))
        missing = self._missing(chosen, len(targets), healthy)
        return chosen + _widening(spare, missing, healthy)

    def _rank(
        self,
        entry: Place,
        entries: collections.abc.Sequence[Place],
        target: Place,
    ) -> int:
        """Count the entries that the target prefers to this one."""
        own = self._score(entry, target)
        rank = 0
        for other in entries:
            if self._score(other, target) > own:
                rank += 1
        return rank

    def _score(self, entry: Place, target: Place) -> float:
        return score(entry, target, self._settings.zone_pull)

    def _missing(
        self,
        chosen: list[Place],
        total: int,
        healthy: collections.abc.Container[str] | None,
    ) -> int:
        useful = 0
        for target in chosen:
            if healthy is None or target.name in healthy:
                useful += 1
        return max(0, min(self._settings.least_targets, total) - useful)


def score(entry: Place, target: Place, zone_pull: float) -> float:
    """Draw how much a target wants an entry, the same in every process."""
    digest = xxhash.xxh64_intdigest(f'{entry.name}\n{target.name}'.encode())
    drawn = (digest + 1) / (_HASH_RANGE + 1)
    return drawn ** (1 / zone_pull) if entry.zone == target.zone else drawn


def _find(
    own: str,
    entries: collections.abc.Sequence[Place],
) -> Place | None:
    for entry in entries:
        if entry.name == own:
            return entry
    return None


def _widening(
    spare: list[tuple[int, Place]],
    missing: int,
    healthy: collections.abc.Container[str] | None,
) -> list[Place]:
    added: list[Place] = []
    for _, target in spare:
        if len(added) >= missing:
            break
        if healthy is None or target.name in healthy:
            added.append(target)
    return added
