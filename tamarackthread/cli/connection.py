"""Open the way from an operator's terminal to the control hosts."""

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
    peers,
    process,
    settings,
)
from tamarackthread.shared.site import places

SETTINGS_VARIABLE = 'TAMARACKTHREAD_SETTINGS'


@attrs.frozen
class Options:
    """How the operator said where control is.

    Either a settings file, or addresses with a key file; addresses given
    beside a settings file take the place of those in it.
    """

    settings_file: str = ''
    control: tuple[str, ...] = ()
    key_file: str = ''
    actor: str = ''
    patience_seconds: float = client.DEFAULT_PATIENCE_SECONDS


@contextlib.asynccontextmanager
async def operator(
    options: Options,
) -> collections.abc.AsyncIterator[client.Operator]:
    """Give an operator client whose links are closed at the end."""
    chosen = _settings(options)
    control = options.control or _control_addresses(chosen)
    _check_addresses(control)
    actor = options.actor or _login_name()
    own = identity.Identity(
        node=f'operator-{actor}-{os.getpid()}',
        role=messages.Role.OPERATOR,
        region=chosen.node.region,
        zone=chosen.node.zone,
        incarnation=process.new_incarnation(),
    )
    dialled = peers.Peers(process.link_options(chosen, own))
    try:
        yield client.Operator(
            dialled,
            control,
            client.Author(actor, platform.node()),
            options.patience_seconds,
        )
    finally:
        dialled.close()


def _login_name() -> str:
    try:
        return getpass.getuser()
    except (KeyError, OSError):
        raise failures.OptionInvalid(
            'say --actor NAME: this process has no login name',
        ) from None


def _settings(options: Options) -> generated.Settings:
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


def _control_addresses(chosen: generated.Settings) -> tuple[str, ...]:
    if chosen.site is not None:
        return tuple(places.link_addresses(chosen.site))
    if chosen.control_addresses or chosen.control is None:
        return chosen.control_addresses
    members = chosen.control.members
    if members:
        return tuple(member.address for member in members)
    host = chosen.listen.advertise_host or chosen.listen.host
    return (f'{host}:{chosen.listen.port}',)


def _check_addresses(control: tuple[str, ...]) -> None:
    if not control:
        raise failures.OptionInvalid('no control address is known')
    for text in control:
        address = addresses.parse(text)
        if address is None or not address.port:
            raise failures.OptionInvalid(
                f'"{text}" is not an IP number and a port',
            )
