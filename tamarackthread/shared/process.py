"""Set up what every role's process needs, and wait for its planned stop."""

from __future__ import annotations

import asyncio
import collections.abc
import datetime
import logging
import signal
import socket
import types

import attrs

from tamarackthread.generated import settings as generated
from tamarackthread.generated.messages import ttypes as messages
from tamarackthread.shared import identity, listener, security

# Tells whoever started the process which addresses were picked.
Announce = collections.abc.Callable[[dict[str, str]], None]

_ROLES = types.MappingProxyType(
    {
        'entry': messages.Role.ENTRY,
        'agent': messages.Role.AGENT,
        'control': messages.Role.CONTROL,
    }
)


@attrs.frozen
class LinkBinding:
    """The bound socket of a process and the options of its links."""

    bound: socket.socket
    options: identity.LinkOptions


def bind_links(settings: generated.Settings) -> LinkBinding:
    """Bind the address for links and build the identity that names it."""
    listen = settings.listen
    bound = listener.bind(listen.host, listen.port)
    address = listener.address_of(bound)
    if listen.advertise_host:
        port = address.rpartition(':')[2]
        address = f'{listen.advertise_host}:{port}'
    own = identity.Identity(
        node=settings.node.id,
        role=_ROLES[settings.role],
        region=settings.node.region,
        zone=settings.node.zone,
        address=address,
        incarnation=new_incarnation(),
    )
    return LinkBinding(bound, link_options(settings, own))


def link_options(
    settings: generated.Settings,
    own: identity.Identity,
) -> identity.LinkOptions:
    """Build the options of all links of a process."""
    tls = settings.security.tls
    contexts = None if tls is None else security.make_contexts(tls)
    return identity.LinkOptions(
        identity=own,
        keys=security.read_keys(settings.security.key_files),
        heartbeat_seconds=settings.link.heartbeat_seconds,
        timeout_seconds=settings.link.timeout_seconds,
        window_bytes=settings.link.window_bytes,
        dial_tls=None if contexts is None else contexts.dial,
        listen_tls=None if contexts is None else contexts.listen,
    )


def new_incarnation() -> int:
    """Number this start of the process: wall clock microseconds.

    Entries and agents have no disk to count on.  A host whose wall clock
    was set back starts with a lower number than before; its peers then see
    a number that differs from the one they know, which is all they compare.
    """
    now = datetime.datetime.now(tz=datetime.UTC)
    return int(now.timestamp() * 1_000_000)


async def wait_for_stop_signal() -> None:
    """Wait for SIGTERM or SIGINT."""
    asked = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, asked.set)
    await asked.wait()


def first_failure(
    working: collections.abc.Iterable[asyncio.Task[None]],
) -> BaseException | None:
    """Return why one of a process's endless tasks has ended, if any has.

    Work that a fault has ended is missed by nobody, while the process would
    look alive for ever: an entry that follows nobody any more goes on with an
    old configuration.  Ended, it is started anew.
    """
    for task in working:
        if task.done() and not task.cancelled():
            return task.exception() or RuntimeError(f'{task!r} has ended')
    return None


async def wait_until_idle(
    idle: collections.abc.Awaitable[None],
    seconds: float,
    log: logging.Logger,
    question: str,
) -> None:
    """Wait until idle, however long; past the limit ask the operator.

    Stopping at the limit would cut off whatever still runs, and its caller
    would never know why.  So the limit only makes the question loud.
    """
    waiting = asyncio.ensure_future(idle)
    while not waiting.done():
        await asyncio.wait((waiting,), timeout=seconds)
        if not waiting.done():
            log.warning(question)
