"""Score the pairs of an entry and a target.

Every entry works its subset of targets out for itself, from the same two
lists.  The choice is by rendezvous hashing from the target's side: each
target picks its entries, so that each target has its share of entries, and a
target or entry that comes or goes moves only its own pairs.
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
    """Hold how pairs are scored.

    ``same_zone_weight`` is how much likelier a pair within one zone is; a pull
    without bound would leave a zone without entries unserved.
    """

    same_zone_weight: float = 4.0


def score(entry: Endpoint, target: Endpoint, same_zone_weight: float) -> float:
    """Draw how much a target wants an entry, the same in every process."""
    digest = xxhash.xxh64_intdigest(f'{entry.name}\n{target.name}'.encode())
    drawn = (digest + 1) / (_HASH_RANGE + 1)
    return (
        drawn ** (1 / same_zone_weight) if entry.zone == target.zone else drawn
    )
