"""Track the entries that may send to a target, in an order for each target."""

from __future__ import annotations

import collections.abc
import hashlib

# Number of entries assumed while none is known.
ASSUMED_ENTRIES = 32
_HASH_BYTES = 8

ListEntries = collections.abc.Callable[[], collections.abc.Sequence[str]]


class KnownEntries:
    """Hold every entry ever known; unreachable ones stay, because they may
    still reach the targets.
    """

    def __init__(self, own: str, entries: ListEntries) -> None:
        """Read names from ``entries``; ``own`` is this entry's name."""
        self._own = own
        self._entries = entries
        self._listed: tuple[str, ...] = ()
        self._known: dict[str, None] = {}
        self._positions: dict[str, int] = {}

    def count(self) -> int:
        """Return the number of entries that may send to a target."""
        self._refresh()
        return len(self._known) or ASSUMED_ENTRIES

    def position(self, target: str) -> int | None:
        """Return this entry's index for a target, ``None`` if it is unknown;
        the order is hashed per target and the same at all entries.
        """
        self._refresh()
        if self._own not in self._known:
            return None
        if target not in self._positions:
            own = _hash(self._own, target)
            self._positions[target] = sum(
                _hash(entry, target) < own for entry in self._known
            )
        return self._positions[target]

    def _refresh(self) -> None:
        # Asked several times for each call, while lists rarely change.
        listed = tuple(self._entries())
        if listed == self._listed:
            return
        self._listed = listed
        before = len(self._known)
        self._known.update(dict.fromkeys(listed))
        if len(self._known) > before:
            self._positions.clear()


def _hash(entry: str, target: str) -> bytes:
    text = f'{entry} {target}'.encode()
    return hashlib.blake2b(text, digest_size=_HASH_BYTES).digest()
