"""Give each command its options, its output and its exit code."""

from __future__ import annotations

import abc
import asyncio
import pathlib

from cleo import helpers
from cleo.commands import command
from cleo.io.inputs import option as inputs
from cleo.io.outputs import output

from tamarackthread.cli import client, connection, exit_codes, failures, render
from tamarackthread.shared import errors, findings

JSON_OPTION = helpers.option('json', None, 'Print JSON for scripts.')
WAIT_OPTION = helpers.option(
    'wait',
    'w',
    'Wait until the change is in force everywhere.',
)


def operator_options() -> list[inputs.Option]:
    """List the options that say where control is and who asks."""
    return [
        helpers.option(
            'settings',
            's',
            'Settings file that names the control hosts and the keys; '
            f'{connection.SETTINGS_VARIABLE} in the environment does the same.',
            flag=False,
        ),
        helpers.option(
            'control',
            'c',
            'Address of a control host as HOST:PORT; may be given again.',
            flag=False,
            multiple=True,
        ),
        helpers.option(
            'key-file',
            'k',
            'File with the shared secret, in place of a settings file.',
            flag=False,
        ),
        helpers.option(
            'actor',
            None,
            'Name for the audit trail; your login name if left out.',
            flag=False,
        ),
        helpers.option(
            'patience',
            'p',
            'Seconds to wait for an answer, or for --wait.',
            flag=False,
            default=str(client.DEFAULT_TIMEOUT_SECONDS),
        ),
    ]


def lines_of(name: str) -> list[str]:
    """Read a log's lines; raise ``OptionInvalid`` if there is no such file."""
    try:
        content = pathlib.Path(name).read_text(errors='replace')
    except OSError as exc:
        raise failures.OptionInvalid(f'{name}: {exc.strerror}') from exc
    return content.splitlines()


class BaseCommand(command.Command, abc.ABC):
    """Turn coded errors into words on standard error and an exit code."""

    def handle(self) -> int:
        """Run the command; called by the library."""
        try:
            return int(self.perform())
        except findings.InvalidError as exc:
            for found in exc.findings:
                self.complain(str(found))
            return int(exit_codes.ExitCode.INVALID)
        except failures.CommandFailed as exc:
            self.complain(failures.describe(exc))
            return int(exc.exit_code)
        except errors.CodedError as exc:
            self.complain(failures.describe(exc))
            return int(exit_codes.ExitCode.REFUSED)

    @abc.abstractmethod
    def perform(self) -> exit_codes.ExitCode:
        """Do the work and say how it ended."""

    def say(self, text: str) -> None:
        """Print a line as it is; tags of the library mean nothing in it."""
        self.io.output.write_line(text, type=output.Type.RAW)

    def complain(self, text: str) -> None:
        """Print a line on standard error."""
        self.io.error_output.write_line(text, type=output.Type.RAW)

    def number(self, name: str, smallest: int = 0) -> int:
        """Read an option that takes a whole number."""
        value = self.option(name)
        try:
            found = int(value)
        except (TypeError, ValueError):
            raise failures.OptionInvalid(
                f'--{name} takes a whole number, not "{value}"',
            ) from None
        if found < smallest:
            raise failures.OptionInvalid(
                f'--{name} must be at least {smallest}',
            )
        return found


class OperatorCommand(BaseCommand, abc.ABC):
    """A command that asks the control hosts."""

    def configure(self) -> None:
        """Add the options of all operator commands; called by the library."""
        super().configure()
        for added in operator_options():
            self._definition.add_option(added)

    def perform(self) -> exit_codes.ExitCode:
        """Connect, act, and close the links."""
        return asyncio.run(self._connected())

    @abc.abstractmethod
    async def act(self, operator: client.Operator) -> exit_codes.ExitCode:
        """Do the work with a connected operator client."""

    def show(self, value: object, text: str) -> None:
        """Print the value with ``--json`` and else the text."""
        self.say(render.as_json(value) if self.option('json') else text)

    async def settle(
        self,
        operator: client.Operator,
        revision: int,
    ) -> exit_codes.ExitCode:
        """Wait until a revision is in force everywhere."""
        status = await operator.wait(revision)
        if status.in_force_everywhere:
            return exit_codes.ExitCode.DONE
        self.complain(render.status_text(status, revision))
        raise failures.NotInForce(
            f'revision {revision} is not in force everywhere yet; '
            'it stays accepted, ask with "status --wait"',
        )

    async def _connected(self) -> exit_codes.ExitCode:
        async with connection.open_operator(self._options()) as operator:
            return await self.act(operator)

    def _options(self) -> connection.Options:
        return connection.Options(
            settings_file=self.option('settings') or '',
            control=tuple(self.option('control') or ()),
            key_file=self.option('key-file') or '',
            actor=self.option('actor') or '',
            timeout_seconds=self._timeout_seconds(),
        )

    def _timeout_seconds(self) -> float:
        value = self.option('patience')
        try:
            seconds = float(value)
        except ValueError:
            seconds = 0
        if seconds > 0:
            return seconds
        raise failures.OptionInvalid(
            f'--patience takes seconds, not "{value}"',
        )
