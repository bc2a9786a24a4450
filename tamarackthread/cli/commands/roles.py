"""Run the long-running roles: entry, agent and control."""

from __future__ import annotations

import abc
import collections.abc
import importlib
import typing

from cleo import helpers

from tamarackthread.cli import exit_codes, failures, render
from tamarackthread.cli.commands import base
from tamarackthread.generated import settings as generated
from tamarackthread.shared import (
    errors,
    findings,
    process,
    role_start,
    settings,
)

_Run = collections.abc.Callable[
    [generated.Settings, process.Announce | None],
    collections.abc.Coroutine[None, None, None],
]


class RoleCommand(base.BaseCommand, abc.ABC):
    """Run one role in this process until a signal stops it."""

    role = ''
    module = ''
    options: typing.ClassVar = [
        helpers.option(
            'settings',
            's',
            'Settings file, JSON with comments.',
            flag=False,
        ),
        helpers.option(
            'print-addresses',
            None,
            'Print the addresses in use as a line of JSON.',
        ),
    ]
    help = (
        'SIGTERM stops it without cutting off a call, SIGHUP reads the '
        'settings again.  "tamarackthread check FILE" checks a file first.'
    )

    def run_command(self) -> exit_codes.ExitCode:
        """Load the settings and run the role until its graceful stop."""
        name = self.option('settings')
        if not name:
            raise failures.OptionInvalid('say --settings FILE')
        loaded = settings.load(name)
        if loaded.role != self.role:
            raise failures.OptionInvalid(
                f'{name} is for role "{loaded.role}", not "{self.role}"',
            )
        try:
            role_start.run(loaded, name, self._run)
        except findings.InvalidError:
            raise
        except errors.CodedError as exc:
            self.print_error(
                f'{self.role} could not run: {failures.describe(exc)}'
            )
            return exit_codes.ExitCode.START_FAILED
        except OSError as exc:
            self.print_error(f'{self.role} could not run: {exc}')
            return exit_codes.ExitCode.START_FAILED
        return exit_codes.ExitCode.DONE

    async def _run(self, loaded: generated.Settings) -> None:
        # Imported late, so that a process does not load the code of the other
        # roles into its memory.
        run: _Run = importlib.import_module(self.module).run
        announce = (
            self._print_addresses if self.option('print-addresses') else None
        )
        await run(loaded, announce)

    def _print_addresses(self, addresses: dict[str, str]) -> None:
        self.print_line(render.as_json(addresses))
        self.io.output.flush()


class EntryCommand(RoleCommand):
    """Run an entry."""

    name = 'entry'
    role = 'entry'
    module = 'tamarackthread.entry.role'
    description = "Run an entry: take callers' calls and route them."


class AgentCommand(RoleCommand):
    """Run an agent."""

    name = 'agent'
    role = 'agent'
    module = 'tamarackthread.agent.role'
    description = 'Run an agent: guard the target beside it.'


class ControlCommand(RoleCommand):
    """Run a control host."""

    name = 'control'
    role = 'control'
    module = 'tamarackthread.control.host'
    description = 'Run a control host: keep the replicated state.'
