"""Tell where a day's calls were lost, from the logs of all processes."""

from __future__ import annotations

import collections.abc
import json
import typing

import attrs
from cleo import helpers

from tamarackthread.cli import exit_codes, failures, log_lines, losses
from tamarackthread.cli.commands import base

# Rows of each table that people read; ``--json`` has all of them.
MOST_ROWS = 12
MOST_PLACES = 20


class LossesCommand(base.BaseCommand):
    """Print lost calls by cause, second, service and more."""

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

    def perform(self) -> exit_codes.ExitCode:
        """Print the report; refuse files in which no line is ours."""
        reading = log_lines.read(self._texts(), by_clock=True)
        for place in reading.unreadable[:MOST_PLACES]:
            self.complain(f'{place}: {failures.LineUnreadable.code} is no line')
        left = len(reading.unreadable) - MOST_PLACES
        if left > 0:
            self.complain(f'and {left} more')
        if not reading.lines:
            raise failures.LogsEmpty('no line of any file is a log line')
        found = losses.report(reading)
        if self.option('json'):
            self.say(json.dumps(as_object(found)))
        else:
            self._tell(found)
        return exit_codes.ExitCode.DONE

    def _texts(self) -> dict[str, collections.abc.Iterable[str]]:
        return {name: base.lines_of(name) for name in self.argument('files')}

    def _tell(self, found: losses.Report) -> None:
        self.say(
            f'{len(found.losses)} calls lost, '
            f'{found.unattributed_share:.0%} of them not attributed'
        )
        for dimension in losses.DIMENSIONS:
            self.say('')
            self.say(f'{dimension:52} calls  seconds')
            for row in found.by(dimension)[:MOST_ROWS]:
                self.say(f'{row.name:52} {row.calls:5}  {row.seconds:7.1f}')


def as_object(found: losses.Report) -> dict[str, typing.Any]:
    """Put a report into one object for scripts."""
    return {
        'calls': len(found.losses),
        'unattributed_share': round(found.unattributed_share, 4),
        'unreadable': [str(place) for place in found.unreadable],
        'by': {
            dimension: [attrs.asdict(row) for row in found.by(dimension)]
            for dimension in losses.DIMENSIONS
        },
    }
