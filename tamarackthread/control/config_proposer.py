"""Propose commands of the configuration group with the leader's stamps."""

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
    """Turn requests into commands and the machine's answers into replies.

    The wall clock is for people who read the audit trail.  Promises count
    the time that passed on the loop's clock between commands.
    """

    def __init__(self, config: group.Group, wall_clock: WallClock) -> None:
        """Propose to ``config``; ``wall`` gives seconds since 1970."""
        self._config = config
        self._wall_clock = wall_clock
        self._stamped_at: float | None = None
        self._term = 0

    async def change(
        self,
        change: messages.ChangeRequest,
    ) -> messages.ChangeReply:
        """Check a change and commit it, or commit that it was refused."""
        found = documents.check(change.kind, change.name, change.body)
        kept = change
        if len(change.body.encode()) > documents.MAX_BODY_BYTES:
            kept = copy.copy(change)
            kept.body = ''
        command = messages.ConfigCommand(change=kept, findings=found)
        reply = await self._propose(command)
        return reply.change

    async def lease(
        self,
        request: messages.LeaseRequest,
    ) -> messages.LeaseReply:
        """Commit the hand-over of a lease."""
        reply = await self._propose(messages.ConfigCommand(lease=request))
        return reply.lease

    async def decide(
        self,
        request: messages.DecisionRequest,
    ) -> messages.DecisionReply:
        """Commit a decision unless there is one."""
        reply = await self._propose(messages.ConfigCommand(decision=request))
        return reply.decision

    def lease_keeper(
        self,
        machine: configuration.Configuration,
    ) -> leases.LeaseKeeper:
        """Make the keeper that counts lease times on this host."""
        clock = asyncio.get_running_loop().time
        return leases.LeaseKeeper(lambda: machine.table, self.lease, clock)

    async def _propose(
        self,
        command: messages.ConfigCommand,
    ) -> messages.Reply:
        command.unix_ms = int(self._wall_clock() * MILLISECONDS)
        command.elapsed_ms = self._elapsed_ms()
        done = await self._config.propose(wire.encode(command))
        reply = wire.decode(messages.Reply, done.result)
        if reply.failure is not None:
            replies.raise_failure(reply.failure)
        return reply

    def _elapsed_ms(self) -> int:
        now = asyncio.get_running_loop().time()
        since = self._stamped_at
        # In a new term others may have counted the same time.
        if since is None or self._term != self._config.term:
            since = now
        elapsed = int((now - since) * MILLISECONDS)
        self._stamped_at = since + elapsed / MILLISECONDS
        self._term = self._config.term
        return elapsed
