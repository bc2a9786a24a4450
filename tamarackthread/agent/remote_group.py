"""Control a group from outside it, for a roll-out."""

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

# Returns the recent failure ratio of a group's calls, from 0 to 1.
FailureRatio = collections.abc.Callable[[], float]


@attrs.frozen
class RemoteGroupSettings:
    """Identify a group and set the timeouts of its orders."""

    name: str
    version: str
    order_seconds: float = 2
    poll_seconds: float = 1
    load_seconds: float = 3600


class RemoteGroup(rollout.RolloutGroup):
    """Send orders to the agent that currently owns the group."""

    def __init__(
        self,
        settings: RemoteGroupSettings,
        transport: rank_transport.RankTransport,
        failure_ratio: FailureRatio,
    ) -> None:
        """Assume that the group runs the version of ``settings``."""
        self._settings = settings
        self._transport = transport
        self._failure_ratio = failure_ratio
        self._version = settings.version

    @property
    def name(self) -> str:
        """Return the group's name."""
        return self._settings.name

    async def load_version(self, version: str, rollout_id: str) -> str:
        """Load the version at all ranks; resending the order polls or resumes."""
        body = json.dumps({'version': version})
        order = self._order('load_version', f'{rollout_id}-{version}', body)
        loop = asyncio.get_running_loop()
        deadline = loop.time() + self._settings.load_seconds
        while loop.time() < deadline:
            state = await self._order_owner(order)
            if state is not None and state.state == order_state.DONE:
                previous = self._version
                self._version = version
                return previous
            if state is not None and state.state == order_state.CANCELLED:
                raise order_errors.EngineFailed(
                    'an operator cancelled the order'
                )
            await asyncio.sleep(self._settings.poll_seconds)
        raise order_errors.EngineFailed(
            'timed out while the group loaded the version'
        )

    async def health(self, seconds: float) -> rollout.GroupHealth:
        """Sample step times for some seconds; raise ``EngineFailed`` if none."""
        loop = asyncio.get_running_loop()
        deadline = loop.time() + seconds
        samples: list[float] = []
        while loop.time() < deadline:
            samples.extend(await self._step_times())
            await asyncio.sleep(self._settings.poll_seconds)
        if not samples:
            raise order_errors.EngineFailed(
                f'{self.name} reported no step time'
            )
        mean = sum(samples) / len(samples)
        return rollout.GroupHealth(mean, self._failure_ratio())

    async def _order_owner(
        self,
        order: messages.GroupOrder,
    ) -> order_state.OrderState | None:
        """Send an order to the owner's rank; return ``None`` if none is found."""
        for rank in self._transport.ranks:
            state = await self._send(rank, order)
            if state is None or state.code == order_errors.NotOwner.code:
                continue
            return state
        return None

    async def _step_times(self) -> list[float]:
        order = self._order(order_state.STATUS, 'status', '')
        for rank in self._transport.ranks:
            state = await self._send(rank, order)
            if state is not None and state.state == order_state.DONE:
                return [float(json.loads(state.result)['step_ms'])]
        return []

    async def _send(
        self,
        rank: int,
        order: messages.GroupOrder,
    ) -> order_state.OrderState | None:
        try:
            reply = await self._transport.send(
                rank,
                order,
                self._settings.order_seconds,
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
            group=self._settings.name,
            fence=_OPERATOR_FENCE,
            order_id=order_id,
            action=action,
            body=body,
            deadline_ms=int(self._settings.order_seconds * _MS),
        )
