"""Show the status of the configuration and the audit trail."""

from __future__ import annotations

import typing

from cleo import helpers

from tamarackthread.cli import client, exit_codes, render
from tamarackthread.cli.commands import base


class StatusCommand(base.OperatorCommand):
    """Show on how many nodes a revision is in force."""

    name = 'status'
    description = 'Tell on how many nodes a revision is in force.'
    help = (
        'With --wait the command returns once the revision is in force '
        'everywhere, and exits with 7 if --patience ends before.'
    )
    options: typing.ClassVar = [
        helpers.option(
            'wait', 'w', 'Revision to wait for; 0 is the newest.', flag=False
        ),
        base.JSON_OPTION,
    ]

    async def act(self, operator: client.Operator) -> exit_codes.ExitCode:
        """Print the status, with ``--wait`` after waiting."""
        waits = self.option('wait') is not None
        revision = self.integer_option('wait') if waits else 0
        status = await operator.status(revision)
        if waits:
            revision = revision or status.revision
            status = await operator.wait(revision)
        self.print_result(
            render.status_values(status),
            render.status_text(status, revision),
        )
        if waits and not status.in_force_everywhere:
            return exit_codes.ExitCode.NOT_IN_FORCE
        return exit_codes.ExitCode.DONE


class AuditCommand(base.OperatorCommand):
    """Show who changed what, and when."""

    name = 'audit'
    description = 'Show who asked for which change, and what became of it.'
    options: typing.ClassVar = [
        helpers.option(
            'after',
            None,
            'Start after this revision; else the newest are shown.',
            flag=False,
        ),
        helpers.option(
            'limit', None, 'Most records to show.', flag=False, default='100'
        ),
        helpers.option('diff', None, 'Show what each change changed.'),
        base.JSON_OPTION,
    ]

    async def act(self, operator: client.Operator) -> exit_codes.ExitCode:
        """Print the records, oldest first."""
        limit = self.integer_option('limit', minimum=1)
        if self.option('after') is None:
            records = await operator.newest_audit(limit)
        else:
            records = await operator.audit(self.integer_option('after'), limit)
        if self.option('json'):
            self.print_line(
                render.as_json(
                    [render.audit_values(record) for record in records],
                ),
            )
            return exit_codes.ExitCode.DONE
        for record in records:
            self.print_line(render.audit_text(record, self.option('diff')))
        return exit_codes.ExitCode.DONE
