"""Propose commands of the configuration group with the leader's time stamps."""

from __future__ import annotations

import asyncio
import collections.abc
import copy

from tamarackthread.control import configuration, group, leases
from tamarackthread.generated.messages import ttypes as messages
from tamarackthread.shared import documents, replies, wire

MILLISECONDS = 1000

WallClock = collections.abc.Callable[[], float]


class ConfigProposer:
    """Encode requests as commands and decode the machine's results.

    Wall clock time is for the audit trail only; leases count the time that has
    elapsed on the loop's clock between commands.
    """

    def __init__(self, config: group.Group, wall_clock: WallClock) -> None:
        """Propose to ``config``; ``wall_clock`` returns Unix seconds."""
        self._config = config
        self._wall_clock = wall_clock
        self._stamped_at: float | None = None
        self._term = 0

    async def change(
        self,
        change: messages.ChangeRequest,
    ) -> messages.ChangeReply:
        """Validate a change and commit it together with its findings."""
        findings = documents.check(change.kind, change.name, change.body)
        stored = change
        if len(change.body.encode()) > documents.MAX_BODY_BYTES:
            stored = copy.copy(change)
            stored.body = ''
        command = messages.ConfigCommand(change=stored, findings=findings)
        reply = await self._propose(command)
        return reply.change

    async def lease(
        self,
        request: messages.LeaseRequest,
    ) -> messages.LeaseReply:
        """Commit a request for a lease."""
        reply = await self._propose(messages.ConfigCommand(lease=request))
        return reply.lease

    async def decide(
        self,
        request: messages.DecisionRequest,
    ) -> messages.DecisionReply:
        """Commit a decision unless one exists already."""
        reply = await self._propose(messages.ConfigCommand(decision=request))
        return reply.decision

    def lease_manager(
        self,
        machine: configuration.Configuration,
    ) -> leases.LeaseManager:
        """Create the lease keeper that tracks lease times on this host."""
        clock = asyncio.get_running_loop().time
        return leases.LeaseManager(
            lambda: machine.lease_table, self.lease, clock
        )

    async def _propose(
        self,
        command: messages.ConfigCommand,
    ) -> messages.Reply:
        command.unix_ms = int(self._wall_clock() * MILLISECONDS)
        command.elapsed_ms = self._elapsed_ms()
        committed = await self._config.propose(wire.encode(command))
        reply = wire.decode(messages.Reply, committed.result)
        if reply.failure is not None:
            replies.raise_failure(reply.failure)
        return reply

    def _elapsed_ms(self) -> int:
        now = asyncio.get_running_loop().time()
        stamped_at = self._stamped_at
        # The previous leader may have counted the time before this term.
        if stamped_at is None or self._term != self._config.term:
            stamped_at = now
        elapsed = int((now - stamped_at) * MILLISECONDS)
        self._stamped_at = stamped_at + elapsed / MILLISECONDS
        self._term = self._config.term
        return elapsed
