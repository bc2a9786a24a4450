"""Estimate which prompt prefixes a target's cache holds, from cache events that
may be late, repeated or lost; a wrong estimate only costs a prefill.
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
    """Hold the limits of a ``PrefixView``; confidences are from 0 to 1."""

    max_prefixes: int = 4096
    # Confidence in the prefixes of a call that was just sent.
    sent_confidence: float = 0.7
    # Applied to the confidence in all older prefixes when events were lost.
    gap_factor: float = 0.5
    # Prefixes below it count as not cached.
    min_confidence: float = 0.1


def prefix_hashes(prompt: bytes) -> tuple[int, ...]:
    """Return the chained hash of each whole block of a prompt, as signed 64-bit
    integers.
    """
    digest = xxhash.xxh64()
    hashes = []
    blocks = min(len(prompt) // BLOCK_BYTES, MAX_BLOCKS)
    for index in range(blocks):
        start = index * BLOCK_BYTES
        digest.update(prompt[start : start + BLOCK_BYTES])
        hashes.append(digest.intdigest() - (1 << 63))
    return tuple(hashes)


class PrefixView:
    """Hold one entry's estimate of one target's prefix cache."""

    def __init__(self, settings: AffinitySettings | None = None) -> None:
        """Start with an empty cache."""
        self._settings = settings or AffinitySettings()
        self._confidence: collections.OrderedDict[int, float] = (
            collections.OrderedDict()
        )
        self._sequence: int | None = None

    def observe(
        self,
        notes: collections.abc.Sequence[messages.PrefixNote],
        sequence: int,
    ) -> None:
        """Apply cache events; ``sequence`` is the number of the last one, by
        which repeated and lost events are detected.
        """
        new_notes = self._new_notes(notes, sequence)
        for note in new_notes:
            if note.held:
                self._set(note.prefix, 1)
                continue
            self._confidence.pop(note.prefix, None)

    def sent(self, prefixes: collections.abc.Iterable[int]) -> None:
        """Expect the target to cache the prefixes of a sent call."""
        for prefix in prefixes:
            known = self._confidence.get(prefix, 0)
            self._set(prefix, max(known, self._settings.sent_confidence))

    def cached_tokens(self, prefixes: collections.abc.Iterable[int]) -> float:
        """Estimate the number of leading prompt tokens that need no prefill."""
        total: float = 0
        for prefix in prefixes:
            confidence = self._confidence.get(prefix, 0)
            if confidence < self._settings.min_confidence:
                break
            total += confidence * BLOCK_TOKENS
        return total

    def _new_notes(
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
            self._discount()
            return notes
        return notes[-missing:] if missing else notes

    def _discount(self) -> None:
        for prefix, confidence in self._confidence.items():
            self._confidence[prefix] = confidence * self._settings.gap_factor

    def _set(self, prefix: int, confidence: float) -> None:
        self._confidence[prefix] = confidence
        self._confidence.move_to_end(prefix)
        if len(self._confidence) > self._settings.max_prefixes:
            self._confidence.popitem(last=False)
