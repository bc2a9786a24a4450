"""Check settings files without starting anything."""

from __future__ import annotations

import typing

import attrs
from cleo import helpers

from tamarackthread.cli import exit_codes, render
from tamarackthread.cli.commands import base
from tamarackthread.shared import settings_checks


class CheckCommand(base.BaseCommand):
    """Report everything that is wrong with settings files."""

    name = 'check'
    description = 'Report everything that is wrong with settings files.'
    help = 'Each finding has its file, line and column, a code and a hint.'
    arguments: typing.ClassVar = [
        helpers.argument('file', 'Settings file.', multiple=True),
    ]
    options: typing.ClassVar = [base.JSON_OPTION]

    def run_command(self) -> exit_codes.ExitCode:
        """Print the findings of all files."""
        file_findings = []
        for name in self.argument('file'):
            file_findings.extend(settings_checks.check(name))
        if self.option('json'):
            self.print_line(
                render.as_json(
                    [attrs.asdict(finding) for finding in file_findings]
                )
            )
        else:
            for finding in file_findings:
                self.print_line(str(finding))
        if file_findings:
            return exit_codes.ExitCode.INVALID
        if not self.option('json'):
            self.print_line('no findings')
        return exit_codes.ExitCode.DONE
