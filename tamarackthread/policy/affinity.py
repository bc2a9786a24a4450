"""Remember which prompt prefixes a target's cache probably holds.

Cache events come late, doubled and with gaps.  They are only hints: a wrong
one costs a prefill, never an answer, so a gap weakens what is remembered
instead of throwing it away.
"""

from __future__ import annotations

import collections
import collections.abc

import attrs
import xxhash

from tamarackthread.generated.messages import ttypes as messages

BLOCK_BYTES = 512
BLOCK_TOKENS = 128
MAX_BLOCKS = 64


@attrs.frozen(slots=True, kw_only=True)
class AffinitySettings:
    """Hold the limits of the memory for one target.

    ``sent_confidence`` is the trust, from 0 to 1, in a prefix that the cache must hold
    because a call with it was just sent there, and ``gap_factor`` what a gap
    leaves of the trust in everything older.
    """

    max_prefixes: int = 4096
    sent_confidence: float = 0.7
    gap_factor: float = 0.5
    min_confidence: float = 0.1


def prefix_hashes(prompt: bytes) -> tuple[int, ...]:
    """Hash each whole block of a prompt together with all before it.

    The hashes are signed 64-bit numbers, as the messages carry them.
    """
    digest = xxhash.xxh64()
    hashes = []
    usable = min(len(prompt) // BLOCK_BYTES, MAX_BLOCKS)
    for block in range(usable):
        start = block * BLOCK_BYTES
        digest.update(prompt[start : start + BLOCK_BYTES])
        hashes.append(digest.intdigest() - (1 << 63))
    return tuple(hashes)


class PrefixView:
    """Keep one entry's belief about one target's prefix cache."""

    def __init__(self, settings: AffinitySettings | None = None) -> None:
        """Start with an empty cache."""
        self._settings = settings or AffinitySettings()
        self._trust: collections.OrderedDict[int, float] = (
            collections.OrderedDict()
        )
        self._sequence: int | None = None

    def observe(
        self,
        notes: collections.abc.Sequence[messages.PrefixNote],
        sequence: int,
    ) -> None:
        """Take in cache events.

        ``sequence`` counts all events of the target up to and with these, so
        doubled ones are recognised and missing ones noticed.
        """
        fresh = self._fresh(notes, sequence)
        for note in fresh:
            if note.held:
                self._set(note.prefix, 1)
                continue
            self._trust.pop(note.prefix, None)

    def sent(self, prefixes: collections.abc.Iterable[int]) -> None:
        """Guess that the target will cache a call's prefixes."""
        for prefix in prefixes:
            known = self._trust.get(prefix, 0)
            self._set(prefix, max(known, self._settings.sent_confidence))

    def cached_tokens(self, prefixes: collections.abc.Iterable[int]) -> float:
        """Estimate how many leading prompt tokens need no prefill."""
        total: float = 0
        for prefix in prefixes:
            trust = self._trust.get(prefix, 0)
            if trust < self._settings.min_confidence:
                break
            total += trust * BLOCK_TOKENS
        return total

    def _fresh(
        self,
        notes: collections.abc.Sequence[messages.PrefixNote],
        sequence: int,
    ) -> collections.abc.Sequence[messages.PrefixNote]:
        last = self._sequence
        if last is None:
            self._sequence = sequence
            return notes
        if sequence <= last:
            return ()
        self._sequence = sequence
        missing = sequence - len(notes) - last
        if missing > 0:
            self._weaken()
            return notes
        return notes[-missing:] if missing else notes

    def _weaken(self) -> None:
        for prefix, trust in self._trust.items():
            self._trust[prefix] = trust * self._settings.gap_factor

    def _set(self, prefix: int, trust: float) -> None:
        self._trust[prefix] = trust
        self._trust.move_to_end(prefix)
        if len(self._trust) > self._settings.max_prefixes:
            self._trust.popitem(last=False)
