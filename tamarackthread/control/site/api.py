"""Take an operator's configuration and give it back, on any control host."""

from __future__ import annotations

import asyncio
import logging

from tamarackthread.control import consensus
from tamarackthread.control.site import committing, machine
from tamarackthread.shared import errors, log_events
from tamarackthread.shared.site import configuration, document

_log = logging.getLogger('tamarackthread.control')


class NewestUnknown(errors.CodedError):
    """This host can't be sure which configuration is the newest."""

    code = 'TT7104'
    status = 503


class SiteApi:
    """Replace and read the configuration of a site."""

    def __init__(
        self,
        group: consensus.Consensus,
        site: machine.SiteMachine,
        reader: configuration.Reader,
    ) -> None:
        """Propose to ``group``, which drives ``site``."""
        self._group = group
        self._site = site
        self._reader = reader

    async def replace(self, body: bytes) -> int:
        """Put a configuration in force and return its version.

        One that a higher version has overtaken is accepted without effect.
        Raises ``InvalidError`` before anything else is looked at, and
        ``ChangeUnsettled`` when no quorum has answered.
        """
        version = self._reader.read(body).version
        # What this host has applied is committed, so a held version may be
        # acknowledged without asking anybody.  That keeps a resent change
        # from being refused while no leader is known.
        if version <= self._site.held.version:
            return version
        asked = document.pack(version, body)
        until = asyncio.get_running_loop().time() + committing.TIMEOUT_SECONDS
        await committing.commit(self._group, asked.encode(), until)
        log_events.tell(
            _log,
            log_events.Event.CONFIGURATION,
            'control: accepted version %d',
            version,
            version=version,
        )
        return version

    async def read(self) -> document.Document:
        """Return the newest configuration; raise ``NewestUnknown``.

        A host that was cut off or suspended may hold an older one and not
        know it, so a quorum is asked each time.
        """
        try:
            await self._group.read_barrier(committing.TIMEOUT_SECONDS)
        except errors.CodedError as exc:
            raise NewestUnknown(str(exc)) from exc
        if not self._site.held.version:
            raise NewestUnknown('there is no configuration yet')
        return self._site.held
