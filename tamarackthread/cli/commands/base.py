"""Provide the options, output and exit codes common to all commands."""

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
    """List the options for the control hosts and the operator's identity."""
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


def read_lines(name: str) -> list[str]:
    """Read a log's lines; raise ``OptionInvalid`` if there is no such file."""
    try:
        content = pathlib.Path(name).read_text(errors='replace')
    except OSError as exc:
        raise failures.OptionInvalid(f'{name}: {exc.strerror}') from exc
    return content.splitlines()


class BaseCommand(command.Command, abc.ABC):
    """Report coded errors on standard error and by exit code."""

    def handle(self) -> int:
        """Run the command; called by the library."""
        try:
            return int(self.run_command())
        except findings.InvalidError as exc:
            for finding in exc.findings:
                self.print_error(str(finding))
            return int(exit_codes.ExitCode.INVALID)
        except failures.CommandFailed as exc:
            self.print_error(failures.describe(exc))
            return int(exc.exit_code)
        except errors.CodedError as exc:
            self.print_error(failures.describe(exc))
            return int(exit_codes.ExitCode.REFUSED)

    @abc.abstractmethod
    def run_command(self) -> exit_codes.ExitCode:
        """Run the command and return its result."""

    def print_line(self, text: str) -> None:
        """Print a line without interpreting the library's markup."""
        self.io.output.write_line(text, type=output.Type.RAW)

    def print_error(self, text: str) -> None:
        """Print a line on standard error."""
        self.io.error_output.write_line(text, type=output.Type.RAW)

    def integer_option(self, name: str, minimum: int = 0) -> int:
        """Parse an integer option; raise ``OptionInvalid`` if it is invalid."""
        value = self.option(name)
        try:
            number = int(value)
        except (TypeError, ValueError):
            raise failures.OptionInvalid(
                f'--{name} takes a whole number, not "{value}"',
            ) from None
        if number < minimum:
            raise failures.OptionInvalid(
                f'--{name} must be at least {minimum}',
            )
        return number


class OperatorCommand(BaseCommand, abc.ABC):
    """A command that sends requests to the control hosts."""

    def configure(self) -> None:
        """Add the options of all operator commands; called by the library."""
        super().configure()
        for added in operator_options():
            self._definition.add_option(added)

    def run_command(self) -> exit_codes.ExitCode:
        """Connect to the control hosts, act, and close the links."""
        return asyncio.run(self._connected())

    @abc.abstractmethod
    async def act(self, operator: client.Operator) -> exit_codes.ExitCode:
        """Run the command with a connected operator client."""

    def print_result(self, value: object, text: str) -> None:
        """Print the value as JSON with ``--json``, otherwise the text."""
        self.print_line(render.as_json(value) if self.option('json') else text)

    async def wait_until_in_force(
        self,
        operator: client.Operator,
        revision: int,
    ) -> exit_codes.ExitCode:
        """Wait for a revision; raise ``NotInForce`` after the timeout."""
        status = await operator.wait(revision)
        if status.in_force_everywhere:
            return exit_codes.ExitCode.DONE
        self.print_error(render.status_text(status, revision))
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
