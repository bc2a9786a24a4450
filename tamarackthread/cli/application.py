"""Build the command line application from its commands."""

from __future__ import annotations

import collections.abc
import sys

import cleo.application
from cleo import exceptions
from cleo.commands import command
from cleo.io.inputs import argv_input

import tamarackthread
from tamarackthread.cli import exit_codes
from tamarackthread.cli.commands import (
    check,
    documents,
    explain,
    losses,
    members,
    roles,
    system,
    targets,
    zones,
)

NAME = 'tamarackthread'
_COMMANDS_BEFORE_DOCUMENTS = (
    roles.EntryCommand,
    roles.AgentCommand,
    roles.ControlCommand,
    check.CheckCommand,
    explain.ExplainCommand,
    losses.LossesCommand,
)
_COMMANDS_AFTER_DOCUMENTS = (
    targets.TargetListCommand,
    targets.TargetDrainCommand,
    zones.ZoneListCommand,
    zones.ZoneEvacuateCommand,
    zones.ZoneRestoreCommand,
    system.StatusCommand,
    system.AuditCommand,
    members.MembersCommand,
    members.AddCommand,
    members.RemoveCommand,
    members.ReplaceCommand,
)
_DOCUMENT_KINDS = ('profile', 'service', 'organisation')


_HELP = """\
<b>{name}</b> {version}: balance calls over model groups and plain services.

  Run a role     tamarackthread check FILE, then entry|agent|control -s FILE
  Change things  tamarackthread profile show NAME -s FILE > my.json
                 edit my.json, then profile apply NAME my.json -s FILE --wait
  Undo           tamarackthread profile history NAME, then profile rollback
  Look           tamarackthread status, audit, target list, zone list,
                 control members
  Ask why        tamarackthread explain REQUEST-ID LOG..., losses LOG...
  Learn more     tamarackthread COMMAND --help"""


class Application(cleo.application.Application):
    """The command line, with an overview of its commands."""

    @property
    def help(self) -> str:
        """Return the overview that precedes the list of commands."""
        return _HELP.format(name=self.name, version=self.version)


def build() -> Application:
    """Build the application with all of its commands."""
    application = Application(NAME, tamarackthread.VERSION)
    application.auto_exits(auto_exits=False)
    application.catch_exceptions(catch_exceptions=False)
    for added in _commands():
        application.add(added)
    return application


def main(arguments: collections.abc.Sequence[str] | None = None) -> int:
    """Run one command line and return its exit code."""
    given = list(sys.argv[1:] if arguments is None else arguments)
    try:
        return build().run(argv_input.ArgvInput([NAME, *given]))
    except exceptions.CleoError as exc:
        sys.stderr.write(f'{exc}\nAsk "{NAME} help" or "{NAME} list".\n')
        return int(exit_codes.ExitCode.USAGE)
    except KeyboardInterrupt:
        return int(exit_codes.ExitCode.REFUSED)


def _commands() -> collections.abc.Iterator[command.Command]:
    for command_class in _COMMANDS_BEFORE_DOCUMENTS:
        yield command_class()
    for kind in _DOCUMENT_KINDS:
        yield from documents.for_kind(kind)
    for command_class in _COMMANDS_AFTER_DOCUMENTS:
        yield command_class()
