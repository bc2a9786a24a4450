"""Turn messages into frames and frames into messages.

A frame is a fixed header and a payload.  Control payloads are thrift structs
in the compact protocol; stream data is passed on as raw bytes so that a
relayed token costs no decoding.
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

# Everything that the library raises on bytes that are no such message.
_NONSENSE = (
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
    """Name what a frame carries."""

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
    """One received frame.

    ``sequence`` numbers the frames of a stream in one direction and ``tag``
    repeats the first bytes of the call's identity.
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
    """Read a generated message; raise ``FrameInvalid`` on nonsense."""
    transport = TTransport.TMemoryBuffer(payload)
    protocol = TCompactProtocol.TCompactProtocolAccelerated(transport)
    message = kind()
    try:
        message.read(protocol)  # type: ignore[attr-defined]
    except _NONSENSE as exc:
        raise errors.FrameInvalid(f'{kind.__name__}: {exc}') from exc
    return message


def pack(
    kind: Kind,
    payload: bytes = b'',
    stream: int = 0,
    sequence: int = 0,
    tag: int = 0,
) -> bytes:
    """Build one frame; raise ``FrameTooLarge`` before anything is sent."""
    if len(payload) > MAX_PAYLOAD_BYTES:
        raise errors.FrameTooLarge(f'{len(payload)} bytes')
    return HEADER.pack(len(payload), kind, stream, sequence, tag) + payload


def unpack_header(header: bytes) -> tuple[int, Kind, int, int, int]:
    """Read a header; raise on a payload over the limit or unknown kind."""
    size, kind, stream, sequence, tag = HEADER.unpack(header)
    if size > MAX_PAYLOAD_BYTES:
        raise errors.FrameTooLarge(f'{size} bytes')
    try:
        return size, Kind(kind), stream, sequence, tag
    except ValueError as exc:
        raise errors.FrameInvalid(f'frame kind {kind}') from exc
