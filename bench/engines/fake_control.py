"""Stand in for control: its real tables on one node that never forgets."""

from __future__ import annotations

import asyncio
import collections.abc
import typing

from bench.engines import network
from tamarackthread.agent import control_client, order_errors, switch_record
from tamarackthread.control import decisions, leases
from tamarackthread.generated.messages import ttypes as messages
from tamarackthread.shared import errors

CONTROL = 'control'
_COMMIT_SECONDS = 0.004
_CONTROL_TIMEOUT = 0.3


class Control:
    """Keep leases and decisions as the control hosts' machine does."""

    def __init__(self) -> None:
        """Start with nothing granted."""
        self._table = leases.LeaseTable()
        self._decisions = decisions.Decisions(self._table)
        self._keeper = leases.LeaseManager(
            lambda: self._table,
            self._commit,
            lambda: asyncio.get_running_loop().time(),
        )
        self.records: list[switch_record.SwitchRecord] = []

    async def lease(
        self,
        request: messages.LeaseRequest,
    ) -> messages.LeaseReply:
        """Answer about a lease."""
        return await self._keeper.request(request)

    async def decide(
        self,
        request: messages.DecisionRequest,
    ) -> messages.DecisionReply:
        """Record or read a decision; id 0 reads the latest."""
        if request.decision:
            await asyncio.sleep(_COMMIT_SECONDS)
        reply = self._decisions.decide(request)
        if reply.recorded:
            self._note(reply)
        return reply

    async def _commit(
        self,
        request: messages.LeaseRequest,
    ) -> messages.LeaseReply:
        await asyncio.sleep(_COMMIT_SECONDS)
        return self._table.apply(request)

    def _note(self, reply: messages.DecisionReply) -> None:
        record = switch_record.from_reply(reply)
        if record is not None and record not in self.records:
            self.records.append(record)


class LocalControl(control_client.ControlClient):
    """Reach control at once."""

    def __init__(self, control: Control) -> None:
        """Ask this one."""
        self._control = control

    async def lease(
        self,
        request: messages.LeaseRequest,
    ) -> messages.LeaseReply:
        """Answer about a lease."""
        return await self._control.lease(request)

    async def decide(
        self,
        request: messages.DecisionRequest,
    ) -> messages.DecisionReply:
        """Record or read a decision."""
        return await self._control.decide(request)


class NodeControl(control_client.ControlClient):
    """Reach control over the network from one node."""

    def __init__(
        self,
        node: str,
        links: network.Network,
        control: Control,
    ) -> None:
        """Call as ``node``."""
        self._node = node
        self._links = links
        self._control = control

    async def lease(
        self,
        request: messages.LeaseRequest,
    ) -> messages.LeaseReply:
        """Answer about a lease."""
        return await self._ask(lambda: self._control.lease(request))

    async def decide(
        self,
        request: messages.DecisionRequest,
    ) -> messages.DecisionReply:
        """Record or read a decision."""
        return await self._ask(lambda: self._control.decide(request))

    async def _ask(self, work: collections.abc.Callable) -> typing.Any:
        try:
            return await self._links.call(
                self._node,
                CONTROL,
                work,
                _CONTROL_TIMEOUT,
            )
        except errors.RequestTimeout as exc:
            raise order_errors.ControlUnreachable(str(exc)) from exc
