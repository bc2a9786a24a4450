"""A site's configuration as sent, compressed for storage and transport."""

from __future__ import annotations

import struct
import zlib

import attrs

from tamarackthread.shared import errors

_VERSION = struct.Struct('>q')
# Higher levels gain little on repetitive routes and block the event loop.
_LEVEL = 1


class DocumentUnreadable(errors.CodedError):
    """Stored or received site configuration can't be unpacked."""

    code = 'TT7102'


@attrs.frozen
class Document:
    """One accepted configuration, compressed; version 0 means none."""

    version: int = 0
    packed: bytes = b''

    @property
    def body(self) -> bytes:
        """Return the decompressed body."""
        try:
            return zlib.decompress(self.packed)
        except zlib.error as exc:
            raise DocumentUnreadable(str(exc)) from exc

    def encode(self) -> bytes:
        """Serialise for the replicated log."""
        return _VERSION.pack(self.version) + self.packed


def pack(version: int, body: bytes) -> Document:
    """Compress a body."""
    return Document(version, zlib.compress(body, _LEVEL))


def decode(data: bytes) -> Document:
    """Decode a serialised document; empty data is version 0."""
    if not data:
        return Document()
    try:
        version = _VERSION.unpack_from(data)[0]
    except struct.error as exc:
        raise DocumentUnreadable(str(exc)) from exc
    return Document(version, data[_VERSION.size :])
