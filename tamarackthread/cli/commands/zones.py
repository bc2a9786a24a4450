"""Evacuate availability zones of a site and take them back."""

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
    """Ask a control host of a site for its zones, after a change if any."""

    options: typing.ClassVar = [base.JSON_OPTION]

    async def act(self, operator: client.Operator) -> exit_codes.ExitCode:
        """Print all zones as they are after the request."""
        found = await operator.zones(self.request())
        values = [
            {
                'name': zone.name,
                'evacuated': bool(zone.is_evacuated),
                'changes': zone.revision,
            }
            for zone in found
        ]
        rows = [
            [zone.name, render.yes_no(zone.is_evacuated), str(zone.revision)]
            for zone in found
        ]
        self.show(values, render.table(_HEADERS, rows))
        return exit_codes.ExitCode.DONE

    @abc.abstractmethod
    def request(self) -> messages.SiteZoneRequest:
        """Build the request."""


class ZoneListCommand(ZoneCommand):
    """Show the zones of a site."""

    name = 'zone list'
    description = 'Show each availability zone and whether it is evacuated.'

    def request(self) -> messages.SiteZoneRequest:
        """Ask for the list."""
        return messages.SiteZoneRequest()


class ZoneEvacuateCommand(ZoneCommand):
    """Send nothing more to the targets of a zone."""

    name = 'zone evacuate'
    description = 'Send no more work to the targets of an availability zone.'
    help = (
        'Every entry obeys within seconds; streams under way go on to their '
        'end.  It stands until "zone restore", over restarts and lost disks.'
    )
    arguments: typing.ClassVar = [_NAME]

    def request(self) -> messages.SiteZoneRequest:
        """Ask to evacuate."""
        return messages.SiteZoneRequest(
            name=self.argument('name'), is_evacuated=True
        )


class ZoneRestoreCommand(ZoneCommand):
    """Send work to the targets of a zone again."""

    name = 'zone restore'
    description = 'Send work to the targets of an availability zone again.'
    help = 'Its targets are taken for cold at first and get work gradually.'
    arguments: typing.ClassVar = [_NAME]

    def request(self) -> messages.SiteZoneRequest:
        """Ask to take it back."""
        return messages.SiteZoneRequest(
            name=self.argument('name'), is_evacuated=False
        )
