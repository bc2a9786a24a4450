"""Replace and read the site's configuration on any control host."""

from __future__ import annotations

import asyncio
import logging

from tamarackthread.control import consensus
from tamarackthread.control.site import committing, machine
from tamarackthread.shared import errors, log_events
from tamarackthread.shared.site import configuration, document

_log = logging.getLogger('tamarackthread.control')


class NewestUnknown(errors.CodedError):
    """This host can't confirm which configuration is the newest."""

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
        """Propose changes to ``group``, whose state machine is ``site``."""
        self._group = group
        self._site = site
        self._reader = reader

    async def replace(self, body: bytes) -> int:
        """Commit a configuration and return its version.

        An older version is accepted without effect.  Raises ``InvalidError``
        before it proposes anything, ``ChangeUnsettled`` without a quorum.
        """
        version = self._reader.read(body).version
        # Applied versions are committed, so they can be acknowledged without a
        # quorum; that also covers retries while there is no leader.
        if version <= self._site.held.version:
            return version
        asked = document.pack(version, body)
        until = asyncio.get_running_loop().time() + committing.TIMEOUT_SECONDS
        await committing.commit(self._group, asked.encode(), until)
        log_events.emit(
            _log,
            log_events.Event.CONFIGURATION,
            'control: accepted version %d',
            version,
            version=version,
        )
        return version

    async def read(self) -> document.Document:
        """Return the newest configuration; raise ``NewestUnknown``.

        A quorum confirms each read, as this host's copy may be outdated.
        """
        try:
            await self._group.read_barrier(committing.TIMEOUT_SECONDS)
        except errors.CodedError as exc:
            raise NewestUnknown(str(exc)) from exc
        if not self._site.held.version:
            raise NewestUnknown('there is no configuration yet')
        return self._site.held
