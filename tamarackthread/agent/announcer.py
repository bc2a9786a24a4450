"""Announce the target to the control hosts until they know it as it is."""

from __future__ import annotations

import asyncio
import itertools
import logging

from tamarackthread.generated import settings as generated
from tamarackthread.generated.messages import ttypes as messages
from tamarackthread.shared import documents, errors, feed, findings, identity
from tamarackthread.shared import peers as dialling

TIMEOUT_SECONDS = 2.0
_log = logging.getLogger('tamarackthread.agent')


class Announcer:
    """Compare the replicated target document with the truth and mend it.

    Nothing is sent while they agree, so thousands of agents at rest cost
    the control hosts nothing.
    """

    def __init__(
        self,
        settings: generated.Settings,
        own: identity.Identity,
        peers: dialling.Peers,
        known: feed.ConfigFeed,
    ) -> None:
        """Announce nothing before ``run``."""
        assert settings.agent is not None
        self._settings = settings
        self._agent = settings.agent
        self._own = own
        self._peers = peers
        self._feed = known
        self._leaving = False
        self._turns = itertools.cycle(settings.control_addresses)

    async def run(self) -> None:
        """Look at each heartbeat whether the control hosts know us."""
        while True:
            if self._feed.is_current() and not self._is_known():
                await self._try()
            await asyncio.sleep(self._agent.heartbeat_seconds)

    async def leave(self) -> None:
        """Announce once that the target is leaving."""
        self._leaving = True
        await self._try()

    def _is_known(self) -> bool:
        found = self._feed.documents.get('target', self._agent.target_id)
        if found is None:
            return False
        try:
            known = documents.parse('target', found.body)
        except findings.DocumentUnreadable:
            return False
        return (
            known.incarnation == self._own.incarnation
            and known.address == self._own.address
            and known.service == self._agent.service
        )

    async def _try(self) -> None:
        address = next(self._turns, None)
        if address is None:
            return
        request = messages.Request(announce=self._announcement())
        try:
            await self._peers.request(address, request, TIMEOUT_SECONDS)
        except errors.CodedError as exc:
            _log.info('agent: announcement failed, %s %s', exc.code, exc)

    def _announcement(self) -> messages.Announcement:
        return messages.Announcement(
            target=self._agent.target_id,
            service_name=self._agent.service,
            zone=self._own.zone,
            region=self._own.region,
            address=self._own.address,
            incarnation=self._own.incarnation,
            leaving=self._leaving,
            group=self._agent.group,
            ranks=self._agent.ranks,
            checks_fencing=self._agent.checks_fencing,
        )
