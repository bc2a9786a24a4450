"""Make links: dial an address or take a connection, and greet."""

from __future__ import annotations

import asyncio

from tamarackthread.shared import errors, handshake, identity, link


async def connect(
    address: str,
    options: identity.LinkOptions,
    handler: link.Handler,
    seconds: float | None = None,
) -> link.Link:
    """Dial an address and greet; raise ``AddressUnreachable`` if nobody is.

    A connection must come about in ``seconds``, by default the link's timeout.
    """
    host, _, port = address.rpartition(':')
    try:
        async with asyncio.timeout(seconds or options.timeout_seconds):
            reader, writer = await asyncio.open_connection(
                host,
                int(port),
                ssl=options.dial_tls,
            )
    except (OSError, TimeoutError, ValueError) as exc:
        raise errors.AddressUnreachable(f'{address}: {exc}') from exc
    return await _greeted(reader, writer, options, handler, dialer=True)


async def accept(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    options: identity.LinkOptions,
    handler: link.Handler,
) -> link.Link:
    """Greet a connection that a peer dialled."""
    return await _greeted(reader, writer, options, handler, dialer=False)


async def _greeted(
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
    greeted = link.Link(reader, writer, options, peer, handler, dialer)
    greeted.start()
    return greeted
