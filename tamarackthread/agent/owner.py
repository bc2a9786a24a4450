"""Own a group: hold its lease and send its orders under a fencing number.  A
new owner first raises the fencing number at every rank's agent.
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
# With less of the lease left, no order is sent.
_MIN_LEASE_SECONDS = 0.001


@attrs.frozen
class OwnerSettings:
    """``order_seconds`` is the timeout of one order.  Unless engines check fencing
    numbers, a new owner waits ``grace_seconds`` for its predecessor's orders.
    """

    group: str
    holder: str
    lease_ms: int = 2000
    grace_seconds: float = 0.1
    order_seconds: float = 0.5
    retry_seconds: float = 0.1
    checks_fencing: bool = False


class GroupOwner:
    """Acquire the group's lease and send orders while holding it."""

    def __init__(
        self,
        settings: OwnerSettings,
        control: control_client.ControlClient,
        transport: rank_transport.RankTransport,
    ) -> None:
        """Prepare the lease; ``run`` acquires it."""
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
        """Return the fencing number of the latest lease."""
        return self._lease.fence

    @property
    def control(self) -> control_client.ControlClient:
        """Return the client of control."""
        return self._control

    @property
    def transport(self) -> rank_transport.RankTransport:
        """Return the transport to the ranks."""
        return self._transport

    @property
    def is_owner(self) -> bool:
        """Tell whether the lease is held and the takeover has finished."""
        return self._ready.is_set() and self._lease.is_held

    async def wait_owner(self) -> None:
        """Wait until this process is the owner."""
        while not self.is_owner:
            await self._ready.wait()
            # ``wait`` may return at once; lets ``run`` clear the event first if
            # the lease has expired.
            await asyncio.sleep(0)
            if not self._lease.is_held:
                await asyncio.sleep(self._settings.retry_seconds)

    async def run(self) -> None:
        """Acquire and renew the lease, again after each loss."""
        while True:
            await self._lease.acquire()
            _log.info(
                'owner: acquired the lease of %s, fencing number %d',
                self.group,
                self._lease.fence,
            )
            taking_over = asyncio.create_task(self._take_over())
            try:
                await self._lease.maintain()
            finally:
                taking_over.cancel()
                self._ready.clear()
            _log.warning(
                'owner: lost the lease of %s, fencing number %d',
                self.group,
                self._lease.fence,
            )

    async def release(self) -> None:
        """Release the lease, so that another owner need not wait for expiry."""
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
        """Send an order to one rank; raise its refusal or ``NotOwner``.  The
        deadline ends with the lease, before another owner can act.
        """
        wanted = seconds or self._settings.order_seconds
        left = min(wanted, self._lease.seconds_left)
        if left < _MIN_LEASE_SECONDS:
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
        """Send an order to all ranks concurrently; return states or errors."""
        ranks = list(self._transport.ranks)
        return await self.order_ranks(ranks, action, order_id, body)

    async def order_ranks(
        self,
        ranks: collections.abc.Sequence[int],
        action: str,
        order_id: str,
        body: str = '',
        seconds: float | None = None,
    ) -> dict[int, order_state.OrderState | errors.CodedError]:
        """Send an order to some ranks, with a timeout of ``seconds`` each."""
        sending = [
            self.order(rank, action, order_id, body, seconds) for rank in ranks
        ]
        answers = await asyncio.gather(*sending, return_exceptions=True)
        for answer in answers:
            if not isinstance(
                answer, errors.CodedError | order_state.OrderState
            ):
                raise answer
        return dict(zip(ranks, answers, strict=True))

    async def record(
        self,
        record: switch_record.SwitchRecord,
    ) -> switch_record.SwitchRecord | None:
        """Record a stage of a switch at control, with retries while the lease
        lasts; return the record in force, ``None`` if control refused it.
        """
        request = record.to_request(self.group, self._lease.fence)
        while self._lease.is_held:
            try:
                reply = await self._control.decide(request)
            except errors.CodedError:
                await asyncio.sleep(self._settings.retry_seconds)
                continue
            return switch_record.from_reply(reply)
        raise order_errors.NotOwner('lease expired before control answered')

    async def _take_over(self) -> None:
        """Abort an open switch and raise the fencing number at all ranks, so
        that delayed orders of the previous owner are refused.
        """
        try:
            # Before fencing, since armed ranks wait at the switch's step until
            # they get its outcome.
            await self._abort_open_switch()
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

    async def _abort_open_switch(self) -> None:
        latest = await self._read_latest()
        if latest is None:
            return
        if latest.is_open:
            aborted = latest.with_outcome(switch_record.Stage.ABORTED)
            latest = await self.record(aborted)
        if latest is not None:
            await self.send_outcome(latest)

    async def send_outcome(self, record: switch_record.SwitchRecord) -> None:
        """Send a switch's outcome to all ranks; unreached ones poll control."""
        await self.order_all(
            order_state.MAP_OUTCOME,
            f'outcome-{record.number}',
            record.to_json(),
        )

    async def _read_latest(self) -> switch_record.SwitchRecord | None:
        while self._lease.is_held:
            try:
                return await self._control.latest(self.group)
            except errors.CodedError:
                await asyncio.sleep(self._settings.retry_seconds)
        raise order_errors.NotOwner()
