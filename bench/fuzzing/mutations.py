"""Change bytes in the ways that wires, disks and editors change them."""

from __future__ import annotations

import collections.abc
import random

SECTOR = 512
_MOST_ROUNDS = 4
_LONGEST_RUN = 64
_BYTE_VALUES = 256
_EDGES = (b'\x00', b'\x7f', b'\x80', b'\xff', b'\xff\xff\xff\xff\x0f')

Mutation = collections.abc.Callable[[random.Random, bytes], bytes]


def flip(rng: random.Random, data: bytes) -> bytes:
    """Flip one bit."""
    if not data:
        return data
    changed = bytearray(data)
    changed[rng.randrange(len(changed))] ^= 1 << rng.randrange(8)
    return bytes(changed)


def cut(rng: random.Random, data: bytes) -> bytes:
    """Leave out everything from some place on."""
    return data[: rng.randint(0, len(data))]


def remove(rng: random.Random, data: bytes) -> bytes:
    """Leave out a run of bytes."""
    start, end = _run(rng, data)
    return data[:start] + data[end:]


def repeat(rng: random.Random, data: bytes) -> bytes:
    """Write a run of bytes twice."""
    start, end = _run(rng, data)
    return data[:end] + data[start:]


def zero(rng: random.Random, data: bytes) -> bytes:
    """Set a run of bytes to zero."""
    start, end = _run(rng, data)
    return data[:start] + bytes(end - start) + data[end:]


def insert(rng: random.Random, data: bytes) -> bytes:
    """Put random or extreme bytes in."""
    place = rng.randint(0, len(data))
    added = rng.choice((rng.randbytes(rng.randint(1, 8)), *_EDGES))
    return data[:place] + added + data[place:]


def replace(rng: random.Random, data: bytes) -> bytes:
    """Set one byte to any value."""
    if not data:
        return data
    changed = bytearray(data)
    changed[rng.randrange(len(changed))] = rng.randrange(_BYTE_VALUES)
    return bytes(changed)


ALL: tuple[Mutation, ...] = (flip, cut, remove, repeat, zero, insert, replace)


def some(rng: random.Random, data: bytes) -> bytes:
    """Apply one to four mutations."""
    for _ in range(rng.randint(1, _MOST_ROUNDS)):
        data = rng.choice(ALL)(rng, data)
    return data


def _run(rng: random.Random, data: bytes) -> tuple[int, int]:
    start = rng.randint(0, len(data))
    return start, min(len(data), start + rng.randint(1, _LONGEST_RUN))
