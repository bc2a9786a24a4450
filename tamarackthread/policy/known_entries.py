"""Know which entries may send to a target, and their order."""

from __future__ import annotations

import collections.abc
import hashlib

# An entry that was told of no other takes it that there are so many.
ASSUMED_ENTRIES = 32
_HASH_BYTES = 8

ListEntries = collections.abc.Callable[[], collections.abc.Sequence[str]]


class KnownEntries:
    """Hold all entries that were ever known.

    Entries that fall silent stay: they may be cut off from this one and not
    from the target.
    """

    def __init__(self, own: str, entries: ListEntries) -> None:
        """Begin with the entries known now, of which this one is ``own``."""
        self._own = own
        self._entries = entries
        self._known: dict[str, None] = {}
        self._positions: dict[str, int] = {}

    def count(self) -> int:
        """Return how many entries may send to a target."""
        self._learn()
        return len(self._known) or ASSUMED_ENTRIES

    def position(self, target: str) -> int | None:
        """Return this entry's place among all for one target, from 0.

        The order is another for each target and the same at all entries.
        ``None`` if this entry is not known yet.
        """
        self._learn()
        if self._own not in self._known:
            return None
        if target not in self._positions:
            own = _mark(self._own, target)
            self._positions[target] = sum(
                _mark(entry, target) < own for entry in self._known
            )
        return self._positions[target]

    def _learn(self) -> None:
        before = len(self._known)
        self._known.update(dict.fromkeys(self._entries()))
        if len(self._known) > before:
            self._positions.clear()


def _mark(entry: str, target: str) -> bytes:
    text = f'{entry} {target}'.encode()
    return hashlib.blake2b(text, digest_size=_HASH_BYTES).digest()
