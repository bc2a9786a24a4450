"""Score entries for targets by weighted rendezvous hashing, so that each target
has its share of entries and a change moves only the changed one's pairs.
"""

from __future__ import annotations

import attrs
import xxhash

_HASH_RANGE = float(1 << 64)


@attrs.frozen(slots=True)
class Endpoint:
    """An entry or a target with its availability zone."""

    name: str
    zone: str


@attrs.frozen(slots=True, kw_only=True)
class SubsetSettings:
    """Hold the weights of scores."""

    # Factor on the likelihood of pairs within a zone; finite, so that zones
    # without entries are served from others.
    same_zone_weight: float = 4.0


def score(entry: Endpoint, target: Endpoint, same_zone_weight: float) -> float:
    """Return a target's score for an entry, the same in every process."""
    digest = xxhash.xxh64_intdigest(f'{entry.name}\n{target.name}'.encode())
    uniform = (digest + 1) / (_HASH_RANGE + 1)
    return (
        uniform ** (1 / same_zone_weight)
        if entry.zone == target.zone
        else uniform
    )
