"""Hold a site's configuration as it was sent, packed for log and links."""

from __future__ import annotations

import struct
import zlib

import attrs

from tamarackthread.shared import errors

_VERSION = struct.Struct('>q')
# Level 1 packs a document with hundreds of like routes to a tenth in a few
# milliseconds; higher levels gain little and hold up the event loop.
_LEVEL = 1


class DocumentUnreadable(errors.CodedError):
    """Stored or received site configuration can't be unpacked."""

    code = 'TT7102'


@attrs.frozen
class Document:
    """One accepted configuration; version 0 stands for none.

    The body is kept packed: it is stored, sent to every node and read back
    far more often than anybody looks into it.
    """

    version: int = 0
    packed: bytes = b''

    @property
    def body(self) -> bytes:
        """Unpack the body as it was sent."""
        try:
            return zlib.decompress(self.packed)
        except zlib.error as exc:
            raise DocumentUnreadable(str(exc)) from exc

    def encode(self) -> bytes:
        """Serialise for the log."""
        return _VERSION.pack(self.version) + self.packed


def pack(version: int, body: bytes) -> Document:
    """Pack a body that was just sent."""
    return Document(version, zlib.compress(body, _LEVEL))


def decode(data: bytes) -> Document:
    """Read what ``encode`` wrote; empty data is no configuration."""
    if not data:
        return Document()
    try:
        version = _VERSION.unpack_from(data)[0]
    except struct.error as exc:
        raise DocumentUnreadable(str(exc)) from exc
    return Document(version, data[_VERSION.size :])
