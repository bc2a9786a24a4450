"""Select the parent that a node pulls its configuration from."""

from __future__ import annotations

import abc
import collections
import collections.abc
import random


class ParentSelector(abc.ABC):
    """Select the next parent to try."""

    @abc.abstractmethod
    def choose(self) -> str | None:
        """Return the next address to try, ``None`` if there is none."""

    def redirect(self, addresses: collections.abc.Sequence[str]) -> None:
        """Handle a redirect of a parent to other addresses."""

    def has_redirects(self) -> bool:
        """Return whether addresses of a redirect are left to try."""
        return False

    def confirm(self) -> None:
        """Handle that the last selected parent serves this node."""


class RandomParentSelector(ParentSelector):
    """Cycle through control hosts in random order; redirects come first."""

    def __init__(
        self,
        addresses: collections.abc.Sequence[str],
        rng: random.Random,
    ) -> None:
        """Shuffle the addresses of control hosts."""
        self._addresses = list(addresses)
        rng.shuffle(self._addresses)
        self._redirects: collections.deque[str] = collections.deque()
        self._next_index = 0

    def choose(self) -> str | None:
        """Return the next redirect, else the next control host."""
        if self._redirects:
            return self._redirects.popleft()
        if not self._addresses:
            return None
        address = self._addresses[self._next_index % len(self._addresses)]
        self._next_index += 1
        return address

    def redirect(self, addresses: collections.abc.Sequence[str]) -> None:
        """Try these addresses next, in their order."""
        self._redirects = collections.deque(addresses)

    def has_redirects(self) -> bool:
        """Return whether addresses of a redirect are left to try."""
        return bool(self._redirects)

    def confirm(self) -> None:
        """Drop the other redirects: when this parent fails they may be stale,
        and each failed attempt costs some of the remaining lease.
        """
        self._redirects.clear()
