"""Connect an operator's command to the control hosts."""

from __future__ import annotations

import collections.abc
import contextlib
import getpass
import os
import platform

import attrs

from tamarackthread.cli import client, failures
from tamarackthread.generated import settings as generated
from tamarackthread.generated.messages import ttypes as messages
from tamarackthread.shared import (
    addresses,
    identity,
    link_pool,
    process,
    settings,
)
from tamarackthread.shared.site import host_addresses

SETTINGS_VARIABLE = 'TAMARACKTHREAD_SETTINGS'


@attrs.frozen
class Options:
    """Where the control hosts are and how to authenticate to them.

    ``control`` overrides the addresses in the settings file.
    """

    settings_file: str = ''
    control: tuple[str, ...] = ()
    key_file: str = ''
    actor: str = ''
    timeout_seconds: float = client.DEFAULT_TIMEOUT_SECONDS


@contextlib.asynccontextmanager
async def open_operator(
    options: Options,
) -> collections.abc.AsyncIterator[client.Operator]:
    """Yield an operator client and close its links at the end."""
    loaded = _load_settings(options)
    control = options.control or _control_addresses(loaded)
    _check_addresses(control)
    actor = options.actor or _login_name()
    own = identity.Identity(
        node=f'operator-{actor}-{os.getpid()}',
        role=messages.Role.OPERATOR,
        region=loaded.node.region,
        zone=loaded.node.zone,
        incarnation=process.new_incarnation(),
    )
    peer_links = link_pool.LinkPool(process.link_options(loaded, own))
    try:
        yield client.Operator(
            peer_links,
            control,
            client.Author(actor, platform.node()),
            options.timeout_seconds,
        )
    finally:
        peer_links.close()


def _login_name() -> str:
    try:
        return getpass.getuser()
    except (KeyError, OSError):
        raise failures.OptionInvalid(
            'say --actor NAME: this process has no login name',
        ) from None


def _load_settings(options: Options) -> generated.Settings:
    name = options.settings_file or os.environ.get(SETTINGS_VARIABLE, '')
    if options.key_file:
        return generated.Settings(
            role='entry',
            node=generated.Node(id='operator', region='', zone=''),
            security=generated.Security(key_files=[options.key_file]),
        )
    if not name:
        raise failures.OptionInvalid(
            'say --settings FILE, or --control HOST:PORT with --key-file FILE',
        )
    return settings.load(name)


def _control_addresses(loaded: generated.Settings) -> tuple[str, ...]:
    if loaded.site is not None:
        return tuple(host_addresses.link_addresses(loaded.site))
    if loaded.control_addresses or loaded.control is None:
        return loaded.control_addresses
    members = loaded.control.members
    if members:
        return tuple(member.address for member in members)
    host = loaded.listen.advertise_host or loaded.listen.host
    return (f'{host}:{loaded.listen.port}',)


def _check_addresses(control: tuple[str, ...]) -> None:
    if not control:
        raise failures.OptionInvalid('no control address is known')
    for text in control:
        address = addresses.parse(text)
        if address is None or not address.port:
            raise failures.OptionInvalid(
                f'"{text}" is not an IP number and a port',
            )
