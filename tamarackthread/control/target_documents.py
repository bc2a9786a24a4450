"""Keep the target documents true to what agents announce.

A document is written when a target joins, changes, drains or leaves.  That a
target lives is known from the feed, where its agent is a node like any other,
so that thousands of targets at rest cost no write.
"""

from __future__ import annotations

import asyncio
import json

import attrs

from tamarackthread.control import config_proposer, configuration
from tamarackthread.generated import documents as generated
from tamarackthread.generated.messages import ttypes as messages
from tamarackthread.shared import documents, errors, subtree

MAX_ATTEMPTS = 4
OWN_ACTOR = 'control'


class TargetUnknown(errors.CodedError):
    """Target is not known to the control hosts."""

    code = 'TT3501'
    status = 404


class TargetBusy(errors.CodedError):
    """Target document kept changing; nothing was done."""

    code = 'TT3502'
    status = 409


class AnnouncementInvalid(errors.CodedError):
    """Announcement does not make a valid target."""

    code = 'TT3503'
    status = 400


class DocumentWriter:
    """Write the documents of one kind that processes announce."""

    def __init__(
        self, kind: str, propose: config_proposer.ConfigProposer
    ) -> None:
        """Write through ``propose``."""
        self._kind = kind
        self._propose = propose

    async def write(
        self,
        name: str,
        body: str,
        version: int,
        actor: str,
        origin: str = '',
    ) -> bool:
        """Change a document; tell whether ``version`` was still the newest."""
        change = messages.ChangeRequest(
            change_id='',
            actor=actor,
            origin=origin or actor,
            kind=self._kind,
            name=name,
            based_on=version,
            body=body,
        )
        reply = await self._propose.change(change)
        if reply.status == messages.ChangeStatus.INVALID:
            text = '; '.join(found.text for found in reply.findings)
            raise AnnouncementInvalid(text)
        return reply.status == messages.ChangeStatus.ACCEPTED

    async def delete(self, name: str, version: int) -> None:
        """Delete a document whose process has gone, unless it changed."""
        await self.write(name, '', version, OWN_ACTOR)


class TargetDocuments:
    """Announce and drain targets as the leader."""

    def __init__(
        self,
        machine: configuration.Configuration,
        written: DocumentWriter,
    ) -> None:
        """Write through ``written``; ``machine`` shows what is committed."""
        self._machine = machine
        self._written = written

    async def announce(
        self,
        announced: messages.Announcement,
        node: str,
    ) -> int:
        """Record a target as announced; give the revision that holds it."""
        for _ in range(MAX_ATTEMPTS):
            held, version = self._held(announced.target)
            wanted = _merge(announced, held)
            if wanted is None or wanted == held:
                return self._machine.documents.revision
            body = _body(wanted)
            if await self._written.write(announced.target, body, version, node):
                return self._machine.documents.revision
        raise TargetBusy(announced.target)

    async def drain(self, request: messages.DrainRequest, origin: str) -> int:
        """Mark a target as leaving, or take the mark back."""
        leaving = not request.cancel
        for _ in range(MAX_ATTEMPTS):
            held, version = self._held(request.target)
            if held is None:
                raise TargetUnknown(request.target)
            if held.leaving == leaving:
                return self._machine.documents.revision
            body = _body(attrs.evolve(held, leaving=leaving))
            actor = request.actor or origin
            if await self._written.write(
                request.target,
                body,
                version,
                actor,
                origin,
            ):
                return self._machine.documents.revision
        raise TargetBusy(request.target)

    def address_of(self, name: str) -> str:
        """Give where a target's agent listens, empty if it is unknown."""
        held, _ = self._held(name)
        return '' if held is None else held.address

    def _held(self, name: str) -> tuple[generated.Target | None, int]:
        latest = self._machine.documents.latest(documents.TARGET, name)
        if latest is None:
            return None, 0
        if not latest.body:
            return None, latest.version
        return documents.parse(documents.TARGET, latest.body), latest.version


class LivenessSweep:
    """Forget what was announced by processes not seen for some time."""

    def __init__(
        self,
        machine: configuration.Configuration,
        below: subtree.Subtree,
        written: DocumentWriter,
        kind: str,
        gone_seconds: float,
    ) -> None:
        """Forget a document ``gone_seconds`` after its process was seen."""
        self._machine = machine
        self._below = below
        self._written = written
        self._kind = kind
        self._gone_seconds = gone_seconds
        self._unseen_since: dict[str, float] = {}
        # Reading each body anew at each sweep would take a fifth of a core
        # with 2,100 targets.
        self._addresses: dict[str, tuple[int, str]] = {}

    def restart(self) -> None:
        """Count anew, because a new leader has not heard of anybody yet."""
        self._unseen_since.clear()

    async def sweep(self) -> None:
        """Look once at all documents of the kind."""
        now = asyncio.get_running_loop().time()
        self._below.expire(now)
        seen = self._below.addresses()
        unseen: dict[str, float] = {}
        overdue = []
        for document in self._machine.documents.each(self._kind):
            if self._address(document) in seen:
                continue
            since = self._unseen_since.get(document.name, now)
            unseen[document.name] = since
            if now - since >= self._gone_seconds:
                overdue.append(document)
        self._unseen_since = unseen
        for document in overdue:
            await self._written.delete(document.name, document.version)

    def _address(self, document: messages.Document) -> str:
        known = self._addresses.get(document.name)
        if known is not None and known[0] == document.revision:
            return known[1]
        announced = documents.parse(self._kind, document.body)
        found = (document.revision, announced.address)
        self._addresses[document.name] = found
        return announced.address


def _merge(
    announced: messages.Announcement,
    held: generated.Target | None,
) -> generated.Target | None:
    """Build the target, or ``None`` for news from a process that is over.

    A drain mark outlives announcements of the process that it was set for; a
    process that starts anew takes work again.
    """
    same_start = held is not None and held.incarnation == announced.incarnation
    leaving = bool(announced.leaving)
    if leaving and not same_start:
        return None
    if held is not None and same_start:
        leaving = leaving or held.leaving
    return generated.Target(
        service=announced.service_name,
        region=announced.region,
        zone=announced.zone,
        address=announced.address,
        group=announced.group or '',
        rank=announced.rank or 0,
        ranks=announced.ranks or 1,
        incarnation=announced.incarnation or 0,
        leaving=leaving,
        checks_fencing=bool(announced.checks_fencing),
    )


def _body(target: generated.Target) -> str:
    return json.dumps(attrs.asdict(target), separators=(',', ':'))
