"""Report lost calls and their causes from the logs of all processes."""

from __future__ import annotations

import collections.abc
import json
import typing

import attrs
from cleo import helpers

from tamarackthread.cli import exit_codes, failures, log_lines, losses
from tamarackthread.cli.commands import base

# Limits of the text output; ``--json`` has everything.
MAX_TABLE_ROWS = 12
MAX_UNREADABLE_SHOWN = 20


class LossesCommand(base.BaseCommand):
    """Print lost calls by cause, second, service and other fields."""

    name = 'losses'
    description = 'Tell which calls were late, refused or failed, and why.'
    help = (
        'Reads logs written as JSON, of all processes of a site, in any '
        'order.  docs/OPERATIONS.md has an example.'
    )
    arguments: typing.ClassVar = [
        helpers.argument('files', 'Logs of processes.', multiple=True),
    ]
    options: typing.ClassVar = [
        base.JSON_OPTION,
    ]

    def run_command(self) -> exit_codes.ExitCode:
        """Print the report; raise ``LogsEmpty`` without any log line."""
        parsed = log_lines.read(self._read_files(), require_time=True)
        for location in parsed.unreadable[:MAX_UNREADABLE_SHOWN]:
            self.print_error(
                f'{location}: {failures.LineUnreadable.code} is not a log line'
            )
        omitted = len(parsed.unreadable) - MAX_UNREADABLE_SHOWN
        if omitted > 0:
            self.print_error(f'and {omitted} more')
        if not parsed.lines:
            raise failures.LogsEmpty('no line of any file is a log line')
        report = losses.report(parsed)
        if self.option('json'):
            self.print_line(json.dumps(report_values(report)))
        else:
            self._print_tables(report)
        return exit_codes.ExitCode.DONE

    def _read_files(self) -> dict[str, collections.abc.Iterable[str]]:
        return {name: base.read_lines(name) for name in self.argument('files')}

    def _print_tables(self, report: losses.Report) -> None:
        self.print_line(
            f'{len(report.losses)} calls lost, '
            f'{report.unattributed_share:.0%} of them not attributed'
        )
        for dimension in losses.DIMENSIONS:
            self.print_line('')
            self.print_line(f'{dimension:52} calls  seconds')
            for row in report.by(dimension)[:MAX_TABLE_ROWS]:
                self.print_line(
                    f'{row.name:52} {row.calls:5}  {row.seconds:7.1f}'
                )


def report_values(report: losses.Report) -> dict[str, typing.Any]:
    """Convert a report to JSON values."""
    return {
        'calls': len(report.losses),
        'unattributed_share': round(report.unattributed_share, 4),
        'unreadable': [str(location) for location in report.unreadable],
        'by': {
            dimension: [attrs.asdict(row) for row in report.by(dimension)]
            for dimension in losses.DIMENSIONS
        },
    }
