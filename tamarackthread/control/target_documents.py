"""Maintain the target documents; liveness is tracked by the feed instead."""

from __future__ import annotations

import asyncio
import json

import attrs

from tamarackthread.control import config_proposer, configuration
from tamarackthread.generated import documents as generated
from tamarackthread.generated.messages import ttypes as messages
from tamarackthread.shared import documents, errors, subtree

MAX_ATTEMPTS = 4
ACTOR = 'control'


class TargetUnknown(errors.CodedError):
    """Target is unknown to the control hosts."""

    code = 'TT3501'
    status = 404


class TargetBusy(errors.CodedError):
    """Target document has too many concurrent changes; nothing was done."""

    code = 'TT3502'
    status = 409


class AnnouncementInvalid(errors.CodedError):
    """Announcement is not a valid target."""

    code = 'TT3503'
    status = 400


class DocumentWriter:
    """Write the documents of one kind of announced processes."""

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
        """Write a document; return whether ``version`` was the latest.

        Raises ``AnnouncementInvalid`` for a body that has findings.
        """
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
            text = '; '.join(finding.text for finding in reply.findings)
            raise AnnouncementInvalid(text)
        return reply.status == messages.ChangeStatus.ACCEPTED

    async def delete(self, name: str, version: int) -> None:
        """Delete a document unless it was changed after ``version``."""
        await self.write(name, '', version, ACTOR)


class TargetDocuments:
    """Record announced and draining targets as the leader."""

    def __init__(
        self,
        machine: configuration.Configuration,
        writer: DocumentWriter,
    ) -> None:
        """Write through ``writer``; read committed documents of ``machine``."""
        self._machine = machine
        self._writer = writer

    async def announce(
        self,
        announcement: messages.Announcement,
        node: str,
    ) -> int:
        """Record a target; return its revision or raise ``TargetBusy``."""
        for _ in range(MAX_ATTEMPTS):
            current, version = self._current(announcement.target)
            updated = _merge(announcement, current)
            if updated is None or updated == current:
                return self._machine.documents.revision
            body = _encode(updated)
            if await self._writer.write(
                announcement.target, body, version, node
            ):
                return self._machine.documents.revision
        raise TargetBusy(announcement.target)

    async def drain(self, request: messages.DrainRequest, origin: str) -> int:
        """Mark a target as draining, or clear the mark; return the revision.

        Raises ``TargetUnknown``, ``TargetBusy``.
        """
        leaving = not request.cancel
        for _ in range(MAX_ATTEMPTS):
            current, version = self._current(request.target)
            if current is None:
                raise TargetUnknown(request.target)
            if current.leaving == leaving:
                return self._machine.documents.revision
            body = _encode(attrs.evolve(current, leaving=leaving))
            actor = request.actor or origin
            if await self._writer.write(
                request.target,
                body,
                version,
                actor,
                origin,
            ):
                return self._machine.documents.revision
        raise TargetBusy(request.target)

    def address_of(self, name: str) -> str:
        """Return the address of a target's agent, empty if unknown."""
        current, _ = self._current(name)
        return '' if current is None else current.address

    def _current(self, name: str) -> tuple[generated.Target | None, int]:
        latest = self._machine.documents.latest(documents.TARGET, name)
        if latest is None:
            return None, 0
        if not latest.body:
            return None, latest.version
        return documents.parse(documents.TARGET, latest.body), latest.version


class LivenessSweep:
    """Delete documents of processes that have left the feed."""

    def __init__(
        self,
        machine: configuration.Configuration,
        below: subtree.Subtree,
        writer: DocumentWriter,
        kind: str,
        absent_seconds: float,
    ) -> None:
        """Delete a document once its process is absent ``absent_seconds``."""
        self._machine = machine
        self._below = below
        self._writer = writer
        self._kind = kind
        self._absent_seconds = absent_seconds
        self._absent_since: dict[str, float] = {}
        # Cached by revision: parsing every body in each sweep is slow.
        self._addresses: dict[str, tuple[int, str]] = {}

    def restart(self) -> None:
        """Reset absence times: a new leader has no reports from nodes yet."""
        self._absent_since.clear()

    async def sweep(self) -> None:
        """Check all documents of the kind once."""
        now = asyncio.get_running_loop().time()
        self._below.expire(now)
        present = self._below.addresses()
        absent: dict[str, float] = {}
        overdue = []
        for document in self._machine.documents.each(self._kind):
            if self._address(document) in present:
                continue
            absent_since = self._absent_since.get(document.name, now)
            absent[document.name] = absent_since
            if now - absent_since >= self._absent_seconds:
                overdue.append(document)
        self._absent_since = absent
        for document in overdue:
            await self._writer.delete(document.name, document.version)

    def _address(self, document: messages.Document) -> str:
        cached = self._addresses.get(document.name)
        if cached is not None and cached[0] == document.revision:
            return cached[1]
        parsed = documents.parse(self._kind, document.body)
        entry = (document.revision, parsed.address)
        self._addresses[document.name] = entry
        return parsed.address


def _merge(
    announcement: messages.Announcement,
    current: generated.Target | None,
) -> generated.Target | None:
    """Return the new target, ``None`` for a stale leave announcement.

    A drain mark lasts until the process restarts under a new incarnation.
    """
    same_process = (
        current is not None and current.incarnation == announcement.incarnation
    )
    leaving = bool(announcement.leaving)
    if leaving and not same_process:
        return None
    if current is not None and same_process:
        leaving = leaving or current.leaving
    return generated.Target(
        service=announcement.service_name,
        region=announcement.region,
        zone=announcement.zone,
        address=announcement.address,
        group=announcement.group or '',
        rank=announcement.rank or 0,
        ranks=announcement.ranks or 1,
        incarnation=announcement.incarnation or 0,
        leaving=leaving,
        checks_fencing=bool(announcement.checks_fencing),
    )


def _encode(target: generated.Target) -> str:
    return json.dumps(attrs.asdict(target), separators=(',', ':'))
