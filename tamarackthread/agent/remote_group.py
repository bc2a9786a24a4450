"""Reach a group from outside it, for a roll-out."""

from __future__ import annotations

import asyncio
import collections.abc
import json

import attrs

from tamarackthread.agent import (
    order_errors,
    order_state,
    rank_transport,
    rollout,
)
from tamarackthread.generated.messages import ttypes as messages
from tamarackthread.shared import errors

_OPERATOR_FENCE = 0
_MS = 1000

# Gives the share of a group's calls that failed lately, from 0 to 1.
FailureRatio = collections.abc.Callable[[], float]


@attrs.frozen
class RemoteGroupSettings:
    """Say how a group is reached; times are in seconds."""

    name: str
    version: str
    order_seconds: float = 2
    poll_seconds: float = 1
    load_seconds: float = 3600


class RemoteGroup(rollout.RolloutGroup):
    """Give orders to whichever agent owns the group at the moment."""

    def __init__(
        self,
        reach: RemoteGroupSettings,
        transport: rank_transport.RankTransport,
        failed: FailureRatio,
    ) -> None:
        """Take the version that the group runs from ``reach``."""
        self._reach = reach
        self._transport = transport
        self._failed = failed
        self._version = reach.version

    @property
    def name(self) -> str:
        """Return the group's name."""
        return self._reach.name

    async def load_version(self, version: str, rollout_id: str) -> str:
        """Have every rank load the version; sending again asks and resumes."""
        body = json.dumps({'version': version})
        order = self._order('load_version', f'{rollout_id}-{version}', body)
        loop = asyncio.get_running_loop()
        end = loop.time() + self._reach.load_seconds
        while loop.time() < end:
            state = await self._through_owner(order)
            if state is not None and state.state == order_state.DONE:
                previous = self._version
                self._version = version
                return previous
            if state is not None and state.state == order_state.CANCELLED:
                raise order_errors.EngineFailed('an operator cancelled it')
            await asyncio.sleep(self._reach.poll_seconds)
        raise order_errors.EngineFailed('version was not loaded in time')

    async def health(self, seconds: float) -> rollout.GroupHealth:
        """Sample step times for some seconds; raise if no rank answers."""
        loop = asyncio.get_running_loop()
        end = loop.time() + seconds
        samples: list[float] = []
        while loop.time() < end:
            samples.extend(await self._step_times())
            await asyncio.sleep(self._reach.poll_seconds)
        if not samples:
            raise order_errors.EngineFailed(f'{self.name} gave no step time')
        mean = sum(samples) / len(samples)
        return rollout.GroupHealth(mean, self._failed())

    async def _through_owner(
        self,
        order: messages.GroupOrder,
    ) -> order_state.OrderState | None:
        """Ask rank after rank until one owns the group, else ``None``."""
        for rank in self._transport.ranks:
            state = await self._ask(rank, order)
            if state is None or state.code == order_errors.NotOwner.code:
                continue
            return state
        return None

    async def _step_times(self) -> list[float]:
        order = self._order(order_state.STATUS, 'status', '')
        for rank in self._transport.ranks:
            state = await self._ask(rank, order)
            if state is not None and state.state == order_state.DONE:
                return [float(json.loads(state.result)['step_ms'])]
        return []

    async def _ask(
        self,
        rank: int,
        order: messages.GroupOrder,
    ) -> order_state.OrderState | None:
        try:
            reply = await self._transport.send(
                rank,
                order,
                self._reach.order_seconds,
            )
        except errors.CodedError:
            return None
        return order_state.from_json(reply.body)

    def _order(
        self,
        action: str,
        order_id: str,
        body: str,
    ) -> messages.GroupOrder:
        return messages.GroupOrder(
            group=self._reach.name,
            fence=_OPERATOR_FENCE,
            order_id=order_id,
            action=action,
            body=body,
            deadline_ms=int(self._reach.order_seconds * _MS),
        )
