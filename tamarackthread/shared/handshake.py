"""Authenticate both peers of a connection by an HMAC over their greetings;
nonces prevent replay, and a label for each side prevents reflection.
"""

from __future__ import annotations

import asyncio
import hmac
import secrets

import attrs

from tamarackthread.generated.messages import ttypes as messages
from tamarackthread.shared import errors, identity, wire

NONCE_BYTES = 16
TIMEOUT_SECONDS = 3.0
# A greeting has a few names; a peer is not known before it.
MAX_BYTES = 4096
DIALER_LABEL = b'dialer'
LISTENER_LABEL = b'listener'
_ROLES = frozenset(messages.Role)


@attrs.frozen
class Peer:
    """The authenticated peer of a link."""

    node: str
    role: messages.Role
    region: str
    zone: str
    address: str
    incarnation: int


async def authenticate(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    options: identity.LinkOptions,
    dialer: bool,
) -> Peer:
    """Exchange greetings and proofs; raise ``GreetingRefused`` if invalid."""
    try:
        async with asyncio.timeout(TIMEOUT_SECONDS):
            return await _exchange_proofs(reader, writer, options, dialer)
    except TimeoutError as exc:
        raise errors.GreetingRefused('handshake timed out') from exc
    except (OSError, EOFError) as exc:
        raise errors.LinkLost(f'during the handshake: {exc}') from exc


async def _exchange_proofs(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    options: identity.LinkOptions,
    dialer: bool,
) -> Peer:
    own = wire.encode(_greeting(options.identity))
    writer.write(wire.pack(wire.Kind.GREETING, own))
    peer_payload = await _read_payload(reader, wire.Kind.GREETING)
    greeting = wire.decode(messages.Greeting, peer_payload)
    _validate(greeting)
    own_label, peer_label = (
        (DIALER_LABEL, LISTENER_LABEL)
        if dialer
        else (LISTENER_LABEL, DIALER_LABEL)
    )
    mac = _sign(options.keys[0], own_label, own, peer_payload)
    proof = messages.Proof(mac=mac)
    writer.write(wire.pack(wire.Kind.PROOF, wire.encode(proof)))
    peer_proof = wire.decode(
        messages.Proof,
        await _read_payload(reader, wire.Kind.PROOF),
    )
    for key in options.keys:
        expected = _sign(key, peer_label, peer_payload, own)
        if hmac.compare_digest(expected, peer_proof.mac or b''):
            return _peer(greeting)
    raise errors.GreetingRefused(f'{greeting.node} shares no key with us')


def _greeting(own: identity.Identity) -> messages.Greeting:
    return messages.Greeting(
        version=wire.PROTOCOL_VERSION,
        node=own.node,
        role=own.role,
        region=own.region,
        zone=own.zone,
        nonce=secrets.token_bytes(NONCE_BYTES),
        address=own.address,
        incarnation=own.incarnation,
    )


def _peer(greeting: messages.Greeting) -> Peer:
    return Peer(
        node=greeting.node or '',
        role=messages.Role(greeting.role),
        region=greeting.region or '',
        zone=greeting.zone or '',
        address=greeting.address or '',
        incarnation=greeting.incarnation or 0,
    )


def _validate(greeting: messages.Greeting) -> None:
    if greeting.version != wire.PROTOCOL_VERSION:
        raise errors.GreetingRefused(
            f'version {greeting.version} is not {wire.PROTOCOL_VERSION}',
        )
    if greeting.role not in _ROLES:
        raise errors.GreetingRefused(f'role {greeting.role} is unknown')
    if len(greeting.nonce or b'') < NONCE_BYTES:
        raise errors.GreetingRefused('greeting without a nonce')


async def _read_payload(reader: asyncio.StreamReader, kind: wire.Kind) -> bytes:
    header = await reader.readexactly(wire.HEADER_BYTES)
    size, received_kind = wire.unpack_header(header)[:2]
    if size > MAX_BYTES:
        raise errors.GreetingRefused(f'{size} bytes')
    if received_kind != kind:
        raise errors.GreetingRefused(
            f'{received_kind.name} instead of {kind.name}'
        )
    return await reader.readexactly(size)


def _sign(key: bytes, label: bytes, first: bytes, second: bytes) -> bytes:
    size = len(first).to_bytes(4, 'big')
    return hmac.digest(key, label + size + first + second, 'sha256')
