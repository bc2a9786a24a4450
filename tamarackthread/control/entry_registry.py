"""Maintain the replicated documents that list the entries.

Each entry derives its subset of targets from the whole list.
"""

from __future__ import annotations

import json

import attrs

from tamarackthread.control import configuration, target_documents
from tamarackthread.generated import documents as generated
from tamarackthread.generated.messages import ttypes as messages
from tamarackthread.shared import documents


class EntryRegistry:
    """Record announced entries as the leader."""

    def __init__(
        self,
        machine: configuration.Configuration,
        writer: target_documents.DocumentWriter,
    ) -> None:
        """Write through ``writer``; read committed documents of ``machine``."""
        self._machine = machine
        self._writer = writer

    async def announce(
        self,
        announcement: messages.Announcement,
        node: str,
    ) -> int:
        """Record an entry and return the revision that contains it."""
        entry = generated.Entry(
            region=announcement.region,
            zone=announcement.zone,
            address=announcement.address,
            incarnation=announcement.incarnation or 0,
        )
        body = json.dumps(attrs.asdict(entry), separators=(',', ':'))
        for _ in range(target_documents.MAX_ATTEMPTS):
            latest = self._machine.documents.latest(
                documents.ENTRY,
                announcement.entry,
            )
            if latest is not None and latest.body == body:
                return self._machine.documents.revision
            version = 0 if latest is None else latest.version
            if await self._writer.write(
                announcement.entry,
                body,
                version,
                node,
            ):
                return self._machine.documents.revision
        raise target_documents.TargetBusy(announcement.entry)
