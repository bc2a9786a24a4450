"""Keep the entry documents true to what entries announce.

Every entry works out its subset of targets from the list of all entries, so
the list is replicated.  It is written when an entry joins, moves or is gone,
and costs nothing in between.
"""

from __future__ import annotations

import json

import attrs

from tamarackthread.control import configuration, targets
from tamarackthread.generated import documents as generated
from tamarackthread.generated.messages import ttypes as messages
from tamarackthread.shared import documents


class EntryRegistry:
    """Announce and forget entries as the leader."""

    def __init__(
        self,
        machine: configuration.Configuration,
        written: targets.DocumentWriter,
    ) -> None:
        """Write through ``written``; ``machine`` shows what is committed."""
        self._machine = machine
        self._written = written

    async def announce(
        self,
        announced: messages.Announcement,
        node: str,
    ) -> int:
        """Record an entry as announced; give the revision that holds it."""
        wanted = generated.Entry(
            region=announced.region,
            zone=announced.zone,
            address=announced.address,
            incarnation=announced.incarnation or 0,
        )
        body = json.dumps(attrs.asdict(wanted), separators=(',', ':'))
        for _ in range(targets.TRIES):
            latest = self._machine.documents.latest(
                documents.ENTRY,
                announced.entry,
            )
            if latest is not None and latest.body == body:
                return self._machine.documents.revision
            version = 0 if latest is None else latest.version
            if await self._written.write(
                announced.entry,
                body,
                version,
                node,
            ):
                return self._machine.documents.revision
        raise targets.TargetBusy(announced.entry)
