"""Trace one request through the logs of many processes."""

from __future__ import annotations

import collections.abc
import sys
import typing

from cleo import helpers

from tamarackthread.cli import exit_codes, request_trace
from tamarackthread.cli.commands import base


class ExplainCommand(base.BaseCommand):
    """Print the decisions on a request and the state they were based on."""

    name = 'explain'
    description = "Tell one request's story from logs written as JSON."
    help = (
        'Reads the files, or standard input, and mixes the lines by time. '
        'docs/OPERATIONS.md shows how to go on from there.'
    )
    arguments: typing.ClassVar = [
        helpers.argument('request', 'Identity of the request.'),
        helpers.argument(
            'files', 'Logs of processes.', optional=True, multiple=True
        ),
    ]

    def run_command(self) -> exit_codes.ExitCode:
        """Print the trace; fail if no line has the request's id."""
        trace = request_trace.collect(
            self.argument('request'), self._read_lines()
        )
        if trace.unreadable:
            self.print_error(
                f'{trace.unreadable} lines are no JSON and left out'
            )
        if not trace.lines:
            self.print_error('no line names this request')
            return exit_codes.ExitCode.REFUSED
        for text in request_trace.format_lines(trace):
            self.print_line(text)
        return exit_codes.ExitCode.DONE

    def _read_lines(self) -> collections.abc.Iterator[str]:
        names = self.argument('files')
        if not names:
            yield from sys.stdin
            return
        for name in names:
            yield from base.read_lines(name)
