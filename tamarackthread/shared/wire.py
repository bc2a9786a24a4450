"""Encode and decode frames: a fixed header and a payload, which is a thrift
struct in the compact protocol or, for stream data, raw bytes.
"""

from __future__ import annotations

import enum
import struct
import typing

import attrs
from thrift.protocol import TCompactProtocol, TProtocol
from thrift.transport import TTransport

from tamarackthread.shared import errors

HEADER = struct.Struct('>IBIII')
HEADER_BYTES = HEADER.size
MAX_PAYLOAD_BYTES = 1 << 20
PROTOCOL_VERSION = 1

# What the thrift library raises on malformed input.
_DECODE_ERRORS = (
    TProtocol.TProtocolException,
    TTransport.TTransportException,
    ValueError,
    TypeError,
    OverflowError,
    EOFError,
    MemoryError,
)

_Message = typing.TypeVar('_Message')


class Kind(enum.IntEnum):
    """Type of a frame."""

    GREETING = 1
    PROOF = 2
    HEARTBEAT = 3
    ECHO = 4
    REQUEST = 5
    REPLY = 6
    OPEN = 7
    HEAD = 8
    DATA = 9
    END = 10
    CREDIT = 11
    CANCEL = 12
    CLOSING = 13


@attrs.frozen(slots=True)
class Frame:
    """One received frame; ``sequence`` counts a stream's frames in one
    direction and ``tag`` holds the first bytes of the call id.
    """

    kind: Kind
    stream: int
    sequence: int
    tag: int
    payload: bytes


def encode(message: typing.Any) -> bytes:
    """Serialise a generated message in the compact protocol."""
    transport = TTransport.TMemoryBuffer()
    protocol = TCompactProtocol.TCompactProtocolAccelerated(transport)
    message.write(protocol)
    return transport.getvalue()


def decode(kind: type[_Message], payload: bytes) -> _Message:
    """Parse a generated message; raise ``FrameInvalid`` if malformed."""
    transport = TTransport.TMemoryBuffer(payload)
    protocol = TCompactProtocol.TCompactProtocolAccelerated(transport)
    message = kind()
    try:
        message.read(protocol)  # type: ignore[attr-defined]
    except _DECODE_ERRORS as exc:
        raise errors.FrameInvalid(f'{kind.__name__}: {exc}') from exc
    return message


def pack(
    kind: Kind,
    payload: bytes = b'',
    stream: int = 0,
    sequence: int = 0,
    tag: int = 0,
) -> bytes:
    """Build one frame; raise ``FrameTooLarge`` over the payload limit."""
    if len(payload) > MAX_PAYLOAD_BYTES:
        raise errors.FrameTooLarge(f'{len(payload)} bytes')
    return HEADER.pack(len(payload), kind, stream, sequence, tag) + payload


def unpack_header(header: bytes) -> tuple[int, Kind, int, int, int]:
    """Parse a header; raise ``FrameTooLarge`` over the payload limit and
    ``FrameInvalid`` for an unknown kind.
    """
    size, kind, stream, sequence, tag = HEADER.unpack(header)
    if size > MAX_PAYLOAD_BYTES:
        raise errors.FrameTooLarge(f'{size} bytes')
    try:
        return size, Kind(kind), stream, sequence, tag
    except ValueError as exc:
        raise errors.FrameInvalid(f'frame kind {kind}') from exc
