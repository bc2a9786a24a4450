"""Frame what is written to disk, and tell a torn write from corruption.

A frame is a header and a payload, each under its own checksum.  One group
commit is one frame, and the next is written only after the last was synced.
So a crash can tear only the last frame; anything else that fails its checksum
was once synced and has rotted.
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
_SECTOR = 512
_ZERO_RUN = 16
_LONGEST = (1 << 32) - 1


@attrs.frozen
class Scan:
    """What a file held: whole payloads and the size that they cover."""

    payloads: tuple[bytes, ...]
    good_bytes: int


def encode(payload: bytes) -> bytes:
    """Build one frame."""
    if len(payload) > _LONGEST:
        raise ValueError(f'frame of {len(payload)} bytes')
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
    """Read a file's frames; raise ``LogCorrupt`` with the place of a bad one.

    With ``may_be_torn`` a last frame that looks half written is left out of
    ``good_bytes``, for the caller to cut off.
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
        raise failures.LogCorrupt('frame fails its checksum', name, offset)
    return Scan(payloads=tuple(payloads), good_bytes=offset)


def checksum(data: bytes) -> int:
    """Hash a whole file into 63 bits, which fit a signed field."""
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
    """Tell a write that a crash broke off from bytes that changed later.

    Bit rot in the last synced frame would, if cut off as torn, silently lose
    an acknowledged change.  A torn write leaves a short file or sectors never
    written, which read as zeros; rot leaves the length and no such sector.
    A good frame further on means that this one was synced, so it rotted.
    """
    if _good_frame_after(data, offset):
        return False
    size = _size_at(data, offset)
    if size is not None and offset + HEADER_BYTES + size > len(data):
        return True
    if size is None and len(data) - offset < HEADER_BYTES:
        return True
    return _has_unwritten_sector(data, offset)


def _good_frame_after(data: bytes, offset: int) -> bool:
    place = data.find(_MAGIC, offset + 1)
    while place >= 0:
        if _payload_at(data, place) is not None:
            return True
        place = data.find(_MAGIC, place + 1)
    return False


def _has_unwritten_sector(data: bytes, offset: int) -> bool:
    start = offset
    while start < len(data):
        end = min(len(data), start - start % _SECTOR + _SECTOR)
        piece = data[start:end]
        if len(piece) >= _ZERO_RUN and not any(piece):
            return True
        start = end
    return False
