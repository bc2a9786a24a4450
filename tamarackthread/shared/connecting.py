"""Establish links: dial or accept a connection and run the handshake."""

from __future__ import annotations

import asyncio

from tamarackthread.shared import errors, handshake, identity, link


async def connect(
    address: str,
    options: identity.LinkOptions,
    handler: link.Handler,
    dial_timeout_seconds: float | None = None,
) -> link.Link:
    """Dial an address and run the handshake; raise ``AddressUnreachable`` if
    no connection is made in time, by default the timeout of the options.
    """
    host, _, port = address.rpartition(':')
    try:
        async with asyncio.timeout(
            dial_timeout_seconds or options.timeout_seconds
        ):
            reader, writer = await asyncio.open_connection(
                host,
                int(port),
                ssl=options.dial_tls,
            )
    except (OSError, TimeoutError, ValueError) as exc:
        raise errors.AddressUnreachable(f'{address}: {exc}') from exc
    return await _authenticated(reader, writer, options, handler, dialer=True)


async def accept(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    options: identity.LinkOptions,
    handler: link.Handler,
) -> link.Link:
    """Run the handshake on an accepted connection."""
    return await _authenticated(reader, writer, options, handler, dialer=False)


async def _authenticated(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    options: identity.LinkOptions,
    handler: link.Handler,
    dialer: bool,
) -> link.Link:
    try:
        peer = await handshake.authenticate(reader, writer, options, dialer)
    except BaseException:
        writer.close()
        raise
    established = link.Link(reader, writer, options, peer, handler, dialer)
    established.start()
    return established
