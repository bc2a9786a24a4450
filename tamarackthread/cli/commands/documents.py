"""List, show and change documents; each kind has the same commands."""

from __future__ import annotations

import abc
import json
import pathlib
import typing

from cleo import helpers

from tamarackthread.cli import (
    changes,
    client,
    document_files,
    exit_codes,
    failures,
    render,
)
from tamarackthread.cli.commands import base
from tamarackthread.generated.messages import ttypes as messages
from tamarackthread.shared import documents, structure

_NAME_ARGUMENT = helpers.argument('name', 'Name of the document.')
_FILE_ARGUMENT = helpers.argument(
    'file', 'File with the body, JSON with comments.'
)
_BASED_ON_OPTION = helpers.option(
    'based-on',
    None,
    'Version that the change was made from, if the file does not say.',
    flag=False,
)
_CHANGE_ID_OPTION = helpers.option(
    'change-id',
    None,
    'Id of a change to repeat after its outcome was unknown.',
    flag=False,
)
_CHANGE_OPTIONS = (
    _BASED_ON_OPTION,
    _CHANGE_ID_OPTION,
    base.WAIT_OPTION,
    base.JSON_OPTION,
)


class DocumentCommand(base.OperatorCommand, abc.ABC):
    """A command for one kind of documents."""

    verb = ''
    summary = ''

    def __init__(self, kind: str) -> None:
        """Make the command for a kind, such as ``profile``."""
        self._kind = kind
        self.name = f'{kind} {self.verb}'
        article = 'an' if kind[0] in 'aeiou' else 'a'
        one = f'{article} {kind}'
        self.description = self.summary.format(kind=kind, one=one)
        super().__init__()

    async def find(
        self,
        operator: client.Operator,
        name: str,
    ) -> messages.Document:
        """Read a document; raise ``DocumentNotFound`` if there is none."""
        found = await operator.document(self._kind, name)
        if found is None:
            raise failures.DocumentNotFound(f'{self._kind} {name}')
        return found


class ListCommand(DocumentCommand):
    """Name all documents of a kind."""

    verb = 'list'
    summary = 'Name each {kind} with its version.'
    options: typing.ClassVar = [base.JSON_OPTION]

    async def act(self, operator: client.Operator) -> exit_codes.ExitCode:
        """Print a table, or all documents as JSON."""
        found = await operator.list_documents(self._kind)
        rows = [(held.name, held.version, held.revision) for held in found]
        self.show(
            [render.document_values(held) for held in found],
            render.table(('name', 'version', 'revision'), rows),
        )
        return exit_codes.ExitCode.DONE


class ShowCommand(DocumentCommand):
    """Print one document so that it can be edited and applied."""

    verb = 'show'
    summary = 'Print one {kind}, ready to be edited and applied.'
    arguments: typing.ClassVar = [_NAME_ARGUMENT]
    options: typing.ClassVar = [
        helpers.option('effective', None, 'Add the defaults left out.'),
        base.JSON_OPTION,
    ]

    async def act(self, operator: client.Operator) -> exit_codes.ExitCode:
        """Print the document in force."""
        found = await self.find(operator, self.argument('name'))
        if self.option('effective'):
            whole = documents.parse(found.kind, found.body)
            found.body = json.dumps(structure.to_body(whole))
        self.show(
            render.document_values(found), document_files.format_file(found)
        )
        return exit_codes.ExitCode.DONE


class DiffCommand(DocumentCommand):
    """Compare a file with what is in force."""

    verb = 'diff'
    summary = 'Show how a file differs from the {kind} in force.'
    arguments: typing.ClassVar = [_NAME_ARGUMENT, _FILE_ARGUMENT]
    options: typing.ClassVar = [base.JSON_OPTION]

    async def act(self, operator: client.Operator) -> exit_codes.ExitCode:
        """Print a unified diff; the exit code says whether there is any."""
        name = self.argument('name')
        path = pathlib.Path(self.argument('file'))
        file = document_files.read(path, self._kind, name)
        current = await operator.document(self._kind, name)
        shown = document_files.unified_diff(
            document_files.body_or_empty(current),
            file.body,
            'in force',
            str(path),
        )
        if shown or self.option('json'):
            self.show({'difference': shown}, shown)
        if shown:
            return exit_codes.ExitCode.DIFFERENT
        return exit_codes.ExitCode.DONE


class HistoryCommand(DocumentCommand):
    """Show the versions of a document that are kept."""

    verb = 'history'
    summary = 'Show the versions of {one} and what each changed.'
    arguments: typing.ClassVar = [_NAME_ARGUMENT]
    options: typing.ClassVar = [base.JSON_OPTION]

    async def act(self, operator: client.Operator) -> exit_codes.ExitCode:
        """Print each version with its difference from the one before."""
        name = self.argument('name')
        history = await changes.versions(operator, self._kind, name)
        if not history:
            raise failures.DocumentNotFound(f'{self._kind} {name}')
        values = [render.document_values(held) for held in history]
        self.show(values, '\n'.join(_format_history(history)))
        return exit_codes.ExitCode.DONE


class ChangeCommand(DocumentCommand, abc.ABC):
    """A command that makes one change."""

    async def act(self, operator: client.Operator) -> exit_codes.ExitCode:
        """Make the change, say what became of it, and wait if asked."""
        result = await self.change(operator)
        title = f'{self._kind} {self.argument("name")}'
        self.show(
            render.result_values(result),
            render.result_text(result, title),
        )
        if result.outcome == changes.Outcome.CONFLICT:
            return exit_codes.ExitCode.CONFLICT
        if self.option('wait'):
            return await self.settle(operator, result.revision)
        return exit_codes.ExitCode.DONE

    @abc.abstractmethod
    async def change(self, operator: client.Operator) -> changes.Result:
        """Make the change."""

    def build_edit(
        self, body: str, based_on: int | None = None
    ) -> changes.Edit:
        """Build what the operator wants; an option goes before the file."""
        if self.option('based-on') is not None:
            based_on = self.number('based-on')
        return changes.Edit(
            kind=self._kind,
            name=self.argument('name'),
            body=body,
            based_on=based_on,
            change_id=self.option('change-id') or '',
        )


class ApplyCommand(ChangeCommand):
    """Make a file's body the newest version."""

    verb = 'apply'
    summary = 'Make a file the newest version of {one}.'
    arguments: typing.ClassVar = [_NAME_ARGUMENT, _FILE_ARGUMENT]
    options: typing.ClassVar = _CHANGE_OPTIONS
    help = (
        'Start from "show NAME > FILE": its first line names the version, '
        'so that a change made by somebody else in between is a conflict '
        'and not lost.  A conflict prints the difference and exits with 3.'
    )

    async def change(self, operator: client.Operator) -> changes.Result:
        """Read the file and apply it."""
        path = pathlib.Path(self.argument('file'))
        file = document_files.read(path, self._kind, self.argument('name'))
        edit = self.build_edit(file.body, file.based_on)
        return await changes.apply(operator, edit)


class RollbackCommand(ChangeCommand):
    """Go back to an earlier version, as a new version."""

    verb = 'rollback'
    summary = 'Undo: make an earlier version of {one} the newest one.'
    arguments: typing.ClassVar = [
        _NAME_ARGUMENT,
        helpers.argument('to', 'Version to go back to, see "history".'),
    ]
    options: typing.ClassVar = _CHANGE_OPTIONS

    async def change(self, operator: client.Operator) -> changes.Result:
        """Find the version and apply it."""
        given = self.argument('to')
        if not given.isdecimal():
            raise failures.OptionInvalid(f'"{given}" is not a version')
        return await changes.roll_back(
            operator, self.build_edit(''), int(given)
        )


class DeleteCommand(ChangeCommand):
    """Delete a document; its history stays."""

    verb = 'delete'
    summary = 'Delete {one}; "rollback" brings it back.'
    arguments: typing.ClassVar = [_NAME_ARGUMENT]
    options: typing.ClassVar = _CHANGE_OPTIONS

    async def change(self, operator: client.Operator) -> changes.Result:
        """Delete the version in force."""
        return await changes.delete(operator, self.build_edit(''))


def _format_history(
    history: list[messages.Document],
) -> typing.Iterator[str]:
    before = ''
    for held in history:
        note = '' if held.body else ' (deleted)'
        yield f'version {held.version}, revision {held.revision}{note}'
        shown = document_files.unified_diff(
            before, held.body, 'before', 'after'
        )
        yield from shown.splitlines()[2:]
        before = held.body


def for_kind(kind: str) -> list[DocumentCommand]:
    """Make all commands for a kind that operators write."""
    return [
        ListCommand(kind),
        ShowCommand(kind),
        DiffCommand(kind),
        HistoryCommand(kind),
        ApplyCommand(kind),
        RollbackCommand(kind),
        DeleteCommand(kind),
    ]
