"""Frame data on disk and distinguish torn writes from corruption.

Header and payload have a checksum each.  A frame is written only after the
previous one was synced, so that a crash can tear only the last.
"""

from __future__ import annotations

import struct

import attrs
import xxhash

from tamarackthread.control import failures

_MAGIC = b'TTf1'
_PREFIX = struct.Struct('>4sI')
_CHECKS = struct.Struct('>IQ')
HEADER_BYTES = _PREFIX.size + _CHECKS.size
_SECTOR_BYTES = 512
_MIN_ZERO_BYTES = 16
_MAX_PAYLOAD_BYTES = (1 << 32) - 1


@attrs.frozen
class Scan:
    """The complete payloads of a file and the bytes that they cover."""

    payloads: tuple[bytes, ...]
    good_bytes: int


def encode(payload: bytes) -> bytes:
    """Encode one frame."""
    if len(payload) > _MAX_PAYLOAD_BYTES:
        raise ValueError(f'frame payload of {len(payload)} bytes is too large')
    prefix = _PREFIX.pack(_MAGIC, len(payload))
    return b''.join(
        (
            prefix,
            _CHECKS.pack(
                xxhash.xxh32_intdigest(prefix),
                xxhash.xxh3_64_intdigest(payload),
            ),
            payload,
        )
    )


def scan(name: str, data: bytes, may_be_torn: bool) -> Scan:
    """Decode a file's frames; raises ``LogCorrupt`` with a bad one's offset.

    With ``may_be_torn``, a torn last frame is excluded from ``good_bytes``.
    """
    payloads = []
    offset = 0
    while offset < len(data):
        payload = _payload_at(data, offset)
        if payload is not None:
            payloads.append(payload)
            offset += HEADER_BYTES + len(payload)
            continue
        if may_be_torn and _looks_torn(data, offset):
            break
        raise failures.LogCorrupt('frame has an invalid checksum', name, offset)
    return Scan(payloads=tuple(payloads), good_bytes=offset)


def checksum(data: bytes) -> int:
    """Hash data to 63 bits, which fit a signed field."""
    return xxhash.xxh3_64_intdigest(data) >> 1


def _payload_at(data: bytes, offset: int) -> bytes | None:
    size = _size_at(data, offset)
    if size is None:
        return None
    start = offset + HEADER_BYTES
    payload = data[start : start + size]
    _, expected = _CHECKS.unpack_from(data, offset + _PREFIX.size)
    if len(payload) < size or xxhash.xxh3_64_intdigest(payload) != expected:
        return None
    return payload


def _size_at(data: bytes, offset: int) -> int | None:
    if offset + HEADER_BYTES > len(data):
        return None
    prefix = data[offset : offset + _PREFIX.size]
    magic, size = _PREFIX.unpack(prefix)
    expected, _ = _CHECKS.unpack_from(data, offset + _PREFIX.size)
    if magic != _MAGIC or xxhash.xxh32_intdigest(prefix) != expected:
        return None
    return size


def _looks_torn(data: bytes, offset: int) -> bool:
    """Return whether a bad frame is a torn write rather than corruption."""
    # A torn write leaves a short file or zeroed sectors; bit rot doesn't, and
    # truncating a rotten frame would lose acknowledged entries.
    if _has_valid_frame_after(data, offset):
        return False
    size = _size_at(data, offset)
    if size is not None and offset + HEADER_BYTES + size > len(data):
        return True
    if size is None and len(data) - offset < HEADER_BYTES:
        return True
    return _has_unwritten_sector(data, offset)


def _has_valid_frame_after(data: bytes, offset: int) -> bool:
    position = data.find(_MAGIC, offset + 1)
    while position >= 0:
        if _payload_at(data, position) is not None:
            return True
        position = data.find(_MAGIC, position + 1)
    return False


def _has_unwritten_sector(data: bytes, offset: int) -> bool:
    start = offset
    while start < len(data):
        end = min(len(data), start - start % _SECTOR_BYTES + _SECTOR_BYTES)
        sector = data[start:end]
        if len(sector) >= _MIN_ZERO_BYTES and not any(sector):
            return True
        start = end
    return False
