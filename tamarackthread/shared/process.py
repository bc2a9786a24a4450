"""Set up the links of a role's process, and wait for its shutdown."""

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

# Reports the bound addresses to whoever started the process.
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
    """The listening socket of a process and the options of its links."""

    bound: socket.socket
    options: identity.LinkOptions


def bind_links(settings: generated.Settings) -> LinkBinding:
    """Bind the address for links and build the identity with that address."""
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
    """Return a number for this start of the process, from the wall clock.
    Peers compare it only for equality, so the clock may be set back.
    """
    now = datetime.datetime.now(tz=datetime.UTC)
    return int(now.timestamp() * 1_000_000)


def catch_stop_signals() -> asyncio.Event:
    """Return an event that SIGTERM and SIGINT set from now on.

    A role calls it before it serves anything: uncaught, the signal ends the
    process with the requests that it has read.
    """
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopping.set)
    return stopping


def first_failure(
    tasks: collections.abc.Iterable[asyncio.Task[None]],
) -> BaseException | None:
    """Return the exception of a background task that ended, or ``None``.  The
    process should then exit, to be restarted instead of running without it.
    """
    for task in tasks:
        if task.done() and not task.cancelled():
            return task.exception() or RuntimeError(f'{task!r} has ended')
    return None


async def wait_until_idle(
    idle: collections.abc.Awaitable[None],
    seconds: float,
    log: logging.Logger,
    warning: str,
) -> None:
    """Wait until idle without a timeout, because stopping would cut off calls;
    log a warning every ``seconds``.
    """
    task = asyncio.ensure_future(idle)
    while not task.done():
        await asyncio.wait((task,), timeout=seconds)
        if not task.done():
            log.warning(warning)
