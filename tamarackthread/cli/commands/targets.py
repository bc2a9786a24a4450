"""List targets and take them out of service."""

from __future__ import annotations

import json
import typing

from cleo import helpers

from tamarackthread.cli import client, exit_codes, render
from tamarackthread.cli.commands import base

_HEADERS = ('name', 'service', 'zone', 'address', 'group', 'ranks', 'leaving')


class TargetListCommand(base.OperatorCommand):
    """Show the targets that have announced themselves."""

    name = 'target list'
    description = 'Show each target that has announced itself.'
    options: typing.ClassVar = [
        helpers.option(
            'service', None, 'Only targets of this service.', flag=False
        ),
        base.JSON_OPTION,
    ]

    async def act(self, operator: client.Operator) -> exit_codes.ExitCode:
        """Print a table, or all target documents as JSON."""
        chosen = []
        for held in await operator.list_documents('target'):
            service = json.loads(held.body).get('service')
            if self.option('service') in {None, service}:
                chosen.append(render.document_values(held))
        rows = [_row(values) for values in chosen]
        self.show(chosen, render.table(_HEADERS, rows))
        return exit_codes.ExitCode.DONE


class TargetDrainCommand(base.OperatorCommand):
    """Take a target out of service, or back."""

    name = 'target drain'
    description = 'Let a target finish its work and take no new work.'
    help = (
        'The agent refuses new calls at once, as not run; calls in flight '
        'go on to their end.  --cancel takes the target back into service.'
    )
    arguments: typing.ClassVar = [
        helpers.argument('name', 'Name of the target.'),
    ]
    options: typing.ClassVar = [
        helpers.option('cancel', None, 'Take new work again.'),
        base.WAIT_OPTION,
        base.JSON_OPTION,
    ]

    async def act(self, operator: client.Operator) -> exit_codes.ExitCode:
        """Ask the agent and say what it now does."""
        name = self.argument('name')
        cancel = bool(self.option('cancel'))
        revision = await operator.drain(name, cancel)
        state = 'takes new work' if cancel else 'takes no new work'
        self.show(
            {'target': name, 'leaving': not cancel, 'revision': revision},
            f'target {name} {state}, revision {revision}',
        )
        if self.option('wait'):
            return await self.settle(operator, revision)
        return exit_codes.ExitCode.DONE


def _row(values: dict[str, typing.Any]) -> list[str]:
    body = values['body']
    leaving = render.yes_no(body.get('leaving', False))
    cells = [values['name']]
    for key in _HEADERS[1:-1]:
        cells.append(str(body.get(key) or '-'))
    return [*cells, leaving]
