"""Show and change the members of the replicated groups."""

from __future__ import annotations

import abc
import typing

from cleo import helpers

from tamarackthread.cli import client, exit_codes, failures, render
from tamarackthread.cli.commands import base
from tamarackthread.generated.messages import ttypes as messages
from tamarackthread.shared import documents, errors

CONFIG_GROUP = 'config'

_GROUP = helpers.option(
    'group',
    'g',
    'Only this replicated group: config, claims-0 and so on; else all.',
    flag=False,
)
_NODE = helpers.argument('node', 'Name of the control host.')
_ADDRESS = helpers.argument('address', 'Its address for links, HOST:PORT.')
_OPTIONS = (_GROUP, base.JSON_OPTION)


class MemberCommand(base.OperatorCommand, abc.ABC):
    """A command that asks replicated groups, each for its members."""

    async def act(self, operator: client.Operator) -> exit_codes.ExitCode:
        """Ask each group; one that refuses does not keep the others back."""
        replies = {}
        code = exit_codes.ExitCode.DONE
        for group in await self._groups(operator):
            request = self.request()
            request.group = group
            try:
                replies[group] = await operator.member(request)
            except errors.CodedError as exc:
                self.complain(f'{group}: {failures.describe(exc)}')
                code = getattr(exc, 'exit_code', exit_codes.ExitCode.REFUSED)
        values = {
            name: render.members_values(reply)
            for name, reply in replies.items()
        }
        self.show(values, render.members_text(replies))
        return code

    async def _groups(self, operator: client.Operator) -> list[str]:
        """Name the groups: configuration first, then each shard of claims."""
        chosen = self.option('group')
        if chosen:
            return [chosen]
        groups = {
            documents.parse(held.kind, held.body).group
            for held in await operator.list_documents('shard')
        }
        return [CONFIG_GROUP, *sorted(groups)]

    @abc.abstractmethod
    def request(self) -> messages.MemberRequest:
        """Build the request without its group."""


class MembersCommand(MemberCommand):
    """List the members of a group."""

    name = 'control members'
    description = 'List the control hosts of a replicated group.'
    options: typing.ClassVar = _OPTIONS

    def request(self) -> messages.MemberRequest:
        """Ask for the list."""
        return messages.MemberRequest(action=client.LIST_MEMBERS)


class AddCommand(MemberCommand):
    """Add a control host."""

    name = 'control add'
    description = 'Add a control host; it counts once it has caught up.'
    arguments: typing.ClassVar = [_NODE, _ADDRESS]
    options: typing.ClassVar = _OPTIONS

    def request(self) -> messages.MemberRequest:
        """Ask to add."""
        return messages.MemberRequest(
            action='add',
            node=self.argument('node'),
            address=self.argument('address'),
        )


class RemoveCommand(MemberCommand):
    """Remove a control host."""

    name = 'control remove'
    description = 'Remove a control host; the others go on without it.'
    arguments: typing.ClassVar = [_NODE]
    options: typing.ClassVar = _OPTIONS

    def request(self) -> messages.MemberRequest:
        """Ask to remove."""
        return messages.MemberRequest(
            action='remove',
            node=self.argument('node'),
        )


class ReplaceCommand(MemberCommand):
    """Put a new control host in the place of a lost one."""

    name = 'control replace'
    description = 'Put a control host in the place of another.'
    help = (
        'The new host first catches up as a learner; then it becomes a '
        'voter and the old one leaves.  Give the old name again for a host '
        'that lost its disk.'
    )
    arguments: typing.ClassVar = [
        helpers.argument('old', 'Name of the host that leaves.'),
        _NODE,
        _ADDRESS,
    ]
    options: typing.ClassVar = _OPTIONS

    def request(self) -> messages.MemberRequest:
        """Ask to replace."""
        return messages.MemberRequest(
            action='replace',
            replaces=self.argument('old'),
            node=self.argument('node'),
            address=self.argument('address'),
        )
