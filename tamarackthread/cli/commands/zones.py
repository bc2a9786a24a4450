"""List, evacuate and restore the availability zones of a site."""

from __future__ import annotations

import abc
import typing

from cleo import helpers

from tamarackthread.cli import client, exit_codes, render
from tamarackthread.cli.commands import base
from tamarackthread.generated.messages import ttypes as messages

_HEADERS = ('name', 'evacuated', 'changes')
_NAME = helpers.argument('name', 'Name of the availability zone.')


class ZoneCommand(base.OperatorCommand, abc.ABC):
    """A command that sends a zone request to a site's control hosts."""

    options: typing.ClassVar = [base.JSON_OPTION]

    async def act(self, operator: client.Operator) -> exit_codes.ExitCode:
        """Print the state of all zones after the request."""
        zones = await operator.zones(self.request())
        values = [
            {
                'name': zone.name,
                'evacuated': bool(zone.is_evacuated),
                'changes': zone.revision,
            }
            for zone in zones
        ]
        rows = [
            [zone.name, render.yes_no(zone.is_evacuated), str(zone.revision)]
            for zone in zones
        ]
        self.print_result(values, render.table(_HEADERS, rows))
        return exit_codes.ExitCode.DONE

    @abc.abstractmethod
    def request(self) -> messages.SiteZoneRequest:
        """Build the request."""


class ZoneListCommand(ZoneCommand):
    """List the zones of a site."""

    name = 'zone list'
    description = 'Show each availability zone and whether it is evacuated.'

    def request(self) -> messages.SiteZoneRequest:
        """Build a request to list the zones."""
        return messages.SiteZoneRequest()


class ZoneEvacuateCommand(ZoneCommand):
    """Stop sending work to the targets of a zone."""

    name = 'zone evacuate'
    description = 'Send no more work to the targets of an availability zone.'
    help = (
        'Every entry obeys within seconds; streams under way go on to their '
        'end.  It stands until "zone restore", over restarts and lost disks.'
    )
    arguments: typing.ClassVar = [_NAME]

    def request(self) -> messages.SiteZoneRequest:
        """Build a request to evacuate a zone."""
        return messages.SiteZoneRequest(
            name=self.argument('name'), is_evacuated=True
        )


class ZoneRestoreCommand(ZoneCommand):
    """Resume sending work to the targets of a zone."""

    name = 'zone restore'
    description = 'Send work to the targets of an availability zone again.'
    help = 'Its targets are taken for cold at first and get work gradually.'
    arguments: typing.ClassVar = [_NAME]

    def request(self) -> messages.SiteZoneRequest:
        """Build a request to restore a zone."""
        return messages.SiteZoneRequest(
            name=self.argument('name'), is_evacuated=False
        )
