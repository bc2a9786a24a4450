"""Keep the contents of expert maps that are named by their digests."""

from __future__ import annotations

import abc
import collections

from tamarackthread.agent import order_errors
from tamarackthread.policy import expert_map

_KEPT = 4


class MapSource(abc.ABC):
    """Find the content of a map elsewhere."""

    @abc.abstractmethod
    async def fetch(self, digest: str) -> expert_map.ExpertMap:
        """Return the map or raise ``MapUnknown``."""


class MapCache:
    """Hold the latest few maps of a group, and ask peers for others.

    Control keeps only digests: the contents of all groups' maps would be
    the larger part of its state.
    """

    def __init__(
        self,
        initial: expert_map.ExpertMap,
        source: MapSource,
    ) -> None:
        """Know the initial map, which the group's settings give."""
        self._initial = initial
        self._source = source
        self._maps: collections.OrderedDict[str, expert_map.ExpertMap] = (
            collections.OrderedDict()
        )

    @property
    def initial_digest(self) -> str:
        """Name the map of a group that has never switched."""
        return self._initial.digest()

    def add(self, placement: expert_map.ExpertMap) -> str:
        """Keep a map, dropping the one used longest ago; return its digest."""
        digest = placement.digest()
        self._maps[digest] = placement
        self._maps.move_to_end(digest)
        if len(self._maps) > _KEPT:
            self._maps.popitem(last=False)
        return digest

    def known(self, digest: str) -> expert_map.ExpertMap | None:
        """Return a map that is here."""
        if digest == self.initial_digest:
            return self._initial
        return self._maps.get(digest)

    async def get(self, digest: str) -> expert_map.ExpertMap:
        """Return a map, from a peer if need be; raise ``MapUnknown``."""
        found = self.known(digest)
        if found is not None:
            self.add(found)
            return found
        fetched = await self._source.fetch(digest)
        if fetched.digest() != digest:
            raise order_errors.MapUnknown(f'a peer gave another map: {digest}')
        self.add(fetched)
        return fetched
