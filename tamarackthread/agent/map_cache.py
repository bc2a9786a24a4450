"""Cache expert maps by digest."""

from __future__ import annotations

import abc
import collections

from tamarackthread.agent import order_errors
from tamarackthread.policy import expert_map

_CAPACITY = 4


class MapSource(abc.ABC):
    """Fetch a map that is not cached."""

    @abc.abstractmethod
    async def fetch(self, digest: str) -> expert_map.ExpertMap:
        """Return the map or raise ``MapUnknown``."""


class MapCache:
    """Cache a group's recent maps and fetch others from peers; control stores
    only digests, to keep its state small.
    """

    def __init__(
        self,
        initial: expert_map.ExpertMap,
        source: MapSource,
    ) -> None:
        """Start with the initial map, which is never evicted."""
        self._initial = initial
        self._source = source
        self._maps: collections.OrderedDict[str, expert_map.ExpertMap] = (
            collections.OrderedDict()
        )

    @property
    def initial_digest(self) -> str:
        """Return the digest of the map before the first switch."""
        return self._initial.digest()

    def add(self, placement: expert_map.ExpertMap) -> str:
        """Cache a map, evicting the least recently used; return its digest."""
        digest = placement.digest()
        self._maps[digest] = placement
        self._maps.move_to_end(digest)
        if len(self._maps) > _CAPACITY:
            self._maps.popitem(last=False)
        return digest

    def known(self, digest: str) -> expert_map.ExpertMap | None:
        """Return a cached map or ``None``."""
        if digest == self.initial_digest:
            return self._initial
        return self._maps.get(digest)

    async def get(self, digest: str) -> expert_map.ExpertMap:
        """Return a map, fetched if not cached; raise ``MapUnknown``."""
        cached = self.known(digest)
        if cached is not None:
            self.add(cached)
            return cached
        fetched = await self._source.fetch(digest)
        if fetched.digest() != digest:
            raise order_errors.MapUnknown(
                f'peer returned a map with another digest than {digest}'
            )
        self.add(fetched)
        return fetched
