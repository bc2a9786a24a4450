"""Tell one request's story from the logs of many processes."""

from __future__ import annotations

import collections.abc
import sys
import typing

from cleo import helpers

from tamarackthread.cli import exit_codes, request_trace
from tamarackthread.cli.commands import base


class ExplainCommand(base.BaseCommand):
    """Print a request's decisions in order, and what led to them."""

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

    def perform(self) -> exit_codes.ExitCode:
        """Print the story; refuse if no line names the request."""
        told = request_trace.tell(self.argument('request'), self._texts())
        if told.unreadable:
            self.complain(f'{told.unreadable} lines are no JSON and left out')
        if not told.lines:
            self.complain('no line names this request')
            return exit_codes.ExitCode.REFUSED
        for text in request_trace.describe(told):
            self.say(text)
        return exit_codes.ExitCode.DONE

    def _texts(self) -> collections.abc.Iterator[str]:
        names = self.argument('files')
        if not names:
            yield from sys.stdin
            return
        for name in names:
            yield from base.lines_of(name)
