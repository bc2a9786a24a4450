"""Choose where a node takes its configuration from."""

from __future__ import annotations

import abc
import collections
import collections.abc
import random


class ParentSelector(abc.ABC):
    """The rule by which the next parent is chosen."""

    @abc.abstractmethod
    def choose(self) -> str | None:
        """Give the address to ask next, ``None`` if there is none now."""

    def redirect(self, addresses: collections.abc.Sequence[str]) -> None:
        """Take the addresses that a parent named in its place."""

    def has_redirects(self) -> bool:
        """Tell whether there are addresses that a parent named."""
        return False

    def confirm(self) -> None:
        """Hear that the parent chosen last serves this node."""


class RandomParentSelector(ParentSelector):
    """Ask control hosts in a random order, and whom they name instead.

    Each failure leads to another address, so a node looks through all ways
    to a quorum before its lease ends.
    """

    def __init__(
        self,
        addresses: collections.abc.Sequence[str],
        rng: random.Random,
    ) -> None:
        """Start with the addresses of control hosts from the settings."""
        self._order = list(addresses)
        rng.shuffle(self._order)
        self._named: collections.deque[str] = collections.deque()
        self._position = 0

    def choose(self) -> str | None:
        """Prefer an address that was named, else the next control host."""
        if self._named:
            return self._named.popleft()
        if not self._order:
            return None
        chosen = self._order[self._position % len(self._order)]
        self._position += 1
        return chosen

    def redirect(self, addresses: collections.abc.Sequence[str]) -> None:
        """Ask these next, in the order in which they were named."""
        self._named = collections.deque(addresses)

    def has_redirects(self) -> bool:
        """Tell whether there are named addresses that were not asked yet."""
        return bool(self._named)

    def confirm(self) -> None:
        """Forget the others that were named.

        By the time that the parent fails they may be long gone, and each
        would cost some of what is left of the lease.
        """
        self._named.clear()
