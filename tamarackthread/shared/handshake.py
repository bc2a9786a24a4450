"""Greet a peer and prove to each other that both belong to this system.

Each side sends its greeting with a fresh nonce and then an HMAC over both
greetings.  A recorded proof is useless later because the nonces differ, and
the side's label keeps a proof from being mirrored back to its maker.
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
DIALER = b'dialer'
LISTENER = b'listener'
_ROLES = frozenset(messages.Role)


@attrs.frozen
class Peer:
    """The other side of a link, as it proved itself."""

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
    """Exchange greetings and proofs; raise ``GreetingRefused`` on any doubt."""
    try:
        async with asyncio.timeout(TIMEOUT_SECONDS):
            return await _exchange(reader, writer, options, dialer)
    except TimeoutError as exc:
        raise errors.GreetingRefused('no greeting in time') from exc
    except (OSError, EOFError) as exc:
        raise errors.LinkLost(f'during greeting: {exc}') from exc


async def _exchange(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    options: identity.LinkOptions,
    dialer: bool,
) -> Peer:
    own = wire.encode(_greeting(options.identity))
    writer.write(wire.pack(wire.Kind.GREETING, own))
    theirs = await _read(reader, wire.Kind.GREETING)
    greeting = wire.decode(messages.Greeting, theirs)
    _check_version(greeting)
    own_label, their_label = (
        (DIALER, LISTENER) if dialer else (LISTENER, DIALER)
    )
    mac = _sign(options.keys[0], own_label, own, theirs)
    proof = messages.Proof(mac=mac)
    writer.write(wire.pack(wire.Kind.PROOF, wire.encode(proof)))
    answer = wire.decode(
        messages.Proof,
        await _read(reader, wire.Kind.PROOF),
    )
    for key in options.keys:
        expected = _sign(key, their_label, theirs, own)
        if hmac.compare_digest(expected, answer.mac or b''):
            return _peer(greeting)
    raise errors.GreetingRefused(f'{greeting.node} holds none of our keys')


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


def _check_version(greeting: messages.Greeting) -> None:
    if greeting.version != wire.PROTOCOL_VERSION:
        raise errors.GreetingRefused(
            f'version {greeting.version} is not {wire.PROTOCOL_VERSION}',
        )
    if greeting.role not in _ROLES:
        raise errors.GreetingRefused(f'role {greeting.role} is unknown')
    if len(greeting.nonce or b'') < NONCE_BYTES:
        raise errors.GreetingRefused('greeting without a nonce')


async def _read(reader: asyncio.StreamReader, kind: wire.Kind) -> bytes:
    header = await reader.readexactly(wire.HEADER_BYTES)
    size, found = wire.unpack_header(header)[:2]
    if found != kind:
        raise errors.GreetingRefused(f'{found.name} instead of {kind.name}')
    return await reader.readexactly(size)


def _sign(key: bytes, label: bytes, first: bytes, second: bytes) -> bytes:
    size = len(first).to_bytes(4, 'big')
    return hmac.digest(key, label + size + first + second, 'sha256')
