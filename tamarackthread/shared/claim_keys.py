"""Name claims by key and find the shard where a key's claim lives."""

from __future__ import annotations

import collections.abc

import attrs
import xxhash

from tamarackthread.shared import claim_errors

SEPARATOR = b'\x00'
KEY_BYTES = 16


@attrs.frozen
class Shard:
    """One group of control hosts that keeps claims.

    ``members`` are addresses; any of them knows or learns the leader.
    """

    name: str
    region: str
    members: tuple[str, ...]


def claim_key(organisation: str, key: str) -> bytes:
    """Give the fixed-size name under which a key's claim is kept.

    The organisation is part of it, so two organisations that pick the same
    key never meet.
    """
    joined = SEPARATOR.join((organisation.encode(), key.encode()))
    return xxhash.xxh3_128_digest(joined)


def digest(method: str, path: str, body: bytes) -> bytes:
    """Fingerprint a request, to notice a key that is reused for another."""
    hashed = xxhash.xxh3_128()
    for part in (method.encode(), path.encode()):
        hashed.update(part)
        hashed.update(SEPARATOR)
    hashed.update(body)
    return hashed.digest()


def select_shard(
    organisation: str,
    key: str,
    shards: collections.abc.Iterable[Shard],
    home_region: str,
) -> Shard:
    """Pick the shard of a key; raise ``ShardUnknown`` when there is none.

    Only shards in the organisation's home region are weighed, so that the
    write before the hand-over seldom leaves the region.  An organisation
    whose region keeps no shard uses all of them.  The highest hash wins:
    every entry picks alike, whatever order it heard of the shards in.
    """
    known = tuple(shards)
    near = tuple(shard for shard in known if shard.region == home_region)
    candidates = near or known
    if not candidates:
        raise claim_errors.ShardUnknown(home_region)
    name = claim_key(organisation, key)
    return max(candidates, key=lambda shard: _weight(shard.name, name))


def _weight(shard: str, key: bytes) -> int:
    return xxhash.xxh3_64_intdigest(key + shard.encode())
