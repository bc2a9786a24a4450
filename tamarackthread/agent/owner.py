"""Own a group: hold its lease and give its orders under a fencing number.

Several agents of a group run an owner; only the one that holds the lease
acts.  A new owner first brings its fencing number to every rank's agent.
"""

from __future__ import annotations

import asyncio
import collections.abc
import logging

import attrs

from tamarackthread.agent import (
    control_client,
    group_lease,
    order_errors,
    order_state,
    rank_transport,
    switch_record,
)
from tamarackthread.generated.messages import ttypes as messages
from tamarackthread.shared import errors

_log = logging.getLogger('tamarackthread.owner')
_MS = 1000
# No order can arrive in less of a lease than this.
_LEAST_SECONDS = 0.001


@attrs.frozen
class OwnerSettings:
    """Hold an owner's constants.

    ``grace_seconds`` is how long an order may still be on its way into an
    engine after the agent's check; it is waited for where engines ignore
    fencing numbers.  ``order_seconds`` bounds one order.
    """

    group: str
    holder: str
    lease_ms: int = 2000
    grace_seconds: float = 0.1
    order_seconds: float = 0.5
    retry_seconds: float = 0.1
    checks_fencing: bool = False


class GroupOwner:
    """Take the group's lease when it is free, and act while it lasts."""

    def __init__(
        self,
        settings: OwnerSettings,
        control: control_client.ControlClient,
        transport: rank_transport.RankTransport,
    ) -> None:
        """Do nothing before ``run``."""
        self._settings = settings
        self._control = control
        self._transport = transport
        self._lease = group_lease.GroupLease(
            settings.group,
            settings.holder,
            settings.lease_ms,
            settings.retry_seconds,
            control,
        )
        self._ready = asyncio.Event()

    @property
    def group(self) -> str:
        """Return the group's name."""
        return self._settings.group

    @property
    def fence(self) -> int:
        """Return the fencing number of the lease last held."""
        return self._lease.fence

    @property
    def control(self) -> control_client.ControlClient:
        """Return the way to control."""
        return self._control

    @property
    def transport(self) -> rank_transport.RankTransport:
        """Return the way to the ranks."""
        return self._transport

    @property
    def is_owner(self) -> bool:
        """Tell whether the lease is held and the take-over is finished."""
        return self._ready.is_set() and self._lease.is_held

    async def wait_owner(self) -> None:
        """Wait until this process is the owner."""
        while not self.is_owner:
            await self._ready.wait()
            await asyncio.sleep(0)
            if not self._lease.is_held:
                await asyncio.sleep(self._settings.retry_seconds)

    async def run(self) -> None:
        """Take the lease, keep it, and begin anew when it is lost."""
        while True:
            await self._lease.acquire()
            _log.info('owner: holds %s as %d', self.group, self._lease.fence)
            taking_over = asyncio.create_task(self._take_over())
            try:
                await self._lease.maintain()
            finally:
                taking_over.cancel()
                self._ready.clear()
            _log.warning(
                'owner: lost %s, was %d', self.group, self._lease.fence
            )

    async def release(self) -> None:
        """Give the lease back, so that another owner need not wait."""
        self._ready.clear()
        await self._lease.release()

    async def order(
        self,
        rank: int,
        action: str,
        order_id: str,
        body: str = '',
        seconds: float | None = None,
    ) -> order_state.OrderState:
        """Give one rank an order; raise its refusal or ``NotOwner``.

        The order's deadline never lies after the lease, so that none can
        wait somewhere until the next owner acts.
        """
        wanted = seconds or self._settings.order_seconds
        left = min(wanted, self._lease.seconds_left)
        if left < _LEAST_SECONDS:
            raise order_errors.NotOwner()
        order = messages.GroupOrder(
            group=self.group,
            fence=self._lease.fence,
            order_id=order_id,
            action=action,
            body=body,
            deadline_ms=max(1, int(left * _MS)),
        )
        reply = await self._transport.send(rank, order, left)
        if reply.highest_fence > self._lease.fence:
            self._ready.clear()
            self._lease.invalidate(reply.highest_fence)
        state = order_state.from_json(reply.body)
        state.raise_failure()
        return state

    async def order_all(
        self,
        action: str,
        order_id: str,
        body: str = '',
    ) -> dict[int, order_state.OrderState | errors.CodedError]:
        """Give every rank the order at once and collect what became of it."""
        numbers = list(self._transport.ranks)
        return await self.order_ranks(numbers, action, order_id, body)

    async def order_ranks(
        self,
        numbers: collections.abc.Sequence[int],
        action: str,
        order_id: str,
        body: str = '',
        seconds: float | None = None,
    ) -> dict[int, order_state.OrderState | errors.CodedError]:
        """Give some ranks the order at once, with ``seconds`` for each."""
        giving = [
            self.order(rank, action, order_id, body, seconds)
            for rank in numbers
        ]
        answers = await asyncio.gather(*giving, return_exceptions=True)
        for answer in answers:
            if not isinstance(
                answer, errors.CodedError | order_state.OrderState
            ):
                raise answer
        return dict(zip(numbers, answers, strict=True))

    async def record(
        self,
        record: switch_record.SwitchRecord,
    ) -> switch_record.SwitchRecord | None:
        """Make a stage of a switch durable; return what is in force.

        Keeps trying while the lease lasts, because a lost answer leaves open
        whether the record stands.  ``None`` means that control refused it.
        """
        request = record.to_request(self.group, self._lease.fence)
        while self._lease.is_held:
            try:
                reply = await self._control.decide(request)
            except errors.CodedError:
                await asyncio.sleep(self._settings.retry_seconds)
                continue
            return switch_record.from_reply(reply)
        raise order_errors.NotOwner('lease ended before control answered')

    async def _take_over(self) -> None:
        """Close an open switch and bring the new number to all ranks.

        The failure: an order of the old owner that is still on its way runs
        after the new owner's first.  Engines that ignore numbers cannot tell,
        so every agent must know the new number before anything is ordered.
        """
        try:
            # An abort is safe before the numbers are known, and ranks may be
            # holding for it.
            await self._close_open_switch()
            await self._fence_ranks()
        except order_errors.NotOwner:
            return
        self._ready.set()

    async def _fence_ranks(self) -> None:
        if not self._settings.checks_fencing:
            await asyncio.sleep(self._settings.grace_seconds)
        while True:
            states = await self.order_all(
                order_state.FENCE,
                f'fence-{self._lease.fence}',
            )
            failed = [
                state
                for state in states.values()
                if isinstance(state, errors.CodedError)
            ]
            if not failed:
                return
            if not self._lease.is_held:
                raise order_errors.NotOwner()
            await asyncio.sleep(self._settings.retry_seconds)

    async def _close_open_switch(self) -> None:
        latest = await self._latest()
        if latest is None:
            return
        if latest.is_open:
            aborted = latest.with_outcome(switch_record.Stage.ABORTED)
            latest = await self.record(aborted)
        if latest is not None:
            await self.send_outcome(latest)

    async def send_outcome(self, record: switch_record.SwitchRecord) -> None:
        """Tell every rank how a switch ended; those that miss it ask."""
        await self.order_all(
            order_state.MAP_OUTCOME,
            f'outcome-{record.number}',
            record.to_json(),
        )

    async def _latest(self) -> switch_record.SwitchRecord | None:
        while self._lease.is_held:
            try:
                return await self._control.latest(self.group)
            except errors.CodedError:
                await asyncio.sleep(self._settings.retry_seconds)
        raise order_errors.NotOwner()
