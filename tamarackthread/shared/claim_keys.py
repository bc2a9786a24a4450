"""Hash the keys of claims and select their shards."""

from __future__ import annotations

import collections.abc

import attrs
import xxhash

from tamarackthread.shared import claim_errors

SEPARATOR = b'\x00'
KEY_BYTES = 16


@attrs.frozen
class Shard:
    """One group of control hosts that stores claims; ``members`` are
    addresses, each of which can find the leader.
    """

    name: str
    region: str
    members: tuple[str, ...]


def claim_key(organisation: str, key: str) -> bytes:
    """Return the fixed-size hash under which a claim is stored; it includes
    the organisation, so that keys of two organisations do not collide.
    """
    joined = SEPARATOR.join((organisation.encode(), key.encode()))
    return xxhash.xxh3_128_digest(joined)


def digest(method: str, path: str, body: bytes) -> bytes:
    """Hash a request, to detect a key that is reused for another one."""
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
    """Select a key's shard by rendezvous hashing, in the home region if it has
    shards; raise ``ShardUnknown`` if there are none at all.
    """
    known = tuple(shards)
    local = tuple(shard for shard in known if shard.region == home_region)
    candidates = local or known
    if not candidates:
        raise claim_errors.ShardUnknown(home_region)
    hashed = claim_key(organisation, key)
    return max(candidates, key=lambda shard: _weight(shard.name, hashed))


def _weight(shard: str, key: bytes) -> int:
    return xxhash.xxh3_64_intdigest(key + shard.encode())
