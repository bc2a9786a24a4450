"""Check and execute orders for one rank's engine, as engines may not check
fencing numbers.  Resending an order polls its progress or resumes it.
"""

from __future__ import annotations

import asyncio
import collections
import collections.abc
import functools
import json
import logging

import attrs

from tamarackthread.agent import (
    control_client,
    engine,
    leased_load,
    map_cache,
    order_errors,
    order_state,
    store_slots,
    switch_participant,
    switch_record,
)
from tamarackthread.generated.messages import ttypes as messages
from tamarackthread.policy import expert_map
from tamarackthread.shared import errors

_log = logging.getLogger('tamarackthread.orders')
_MAX_JOBS = 256
_RETRY_SECONDS = 0.2
UNFENCED = frozenset((order_state.STATUS, order_state.MAP_GET))


_JobWork = collections.abc.Callable[[], collections.abc.Awaitable[str]]


@attrs.define(eq=False)
class _Job:
    """A long-running order, its task and its last reported state."""

    order: messages.GroupOrder
    state: order_state.OrderState
    task: asyncio.Task[None] | None = None


class OrderExecutor:
    """Check, execute and track the orders of one rank, by id."""

    def __init__(
        self,
        group: str,
        control: control_client.ControlClient,
        rank_engine: engine.Engine,
        participant: switch_participant.SwitchParticipant,
        maps: map_cache.MapCache,
        store: store_slots.StoreLimiter,
    ) -> None:
        """Refuse fenced orders until ``start`` has read the fencing number."""
        self._group = group
        self._control = control
        self._engine = rank_engine
        self._participant = participant
        self._maps = maps
        self._store = store
        self._highest_fence: int | None = None
        self._jobs: collections.OrderedDict[str, _Job] = (
            collections.OrderedDict()
        )
        self._execution_lock = asyncio.Lock()

    @property
    def highest_fence(self) -> int:
        """Return the highest fencing number seen, or 0."""
        return self._highest_fence or 0

    async def start(self) -> None:
        """Read the highest fencing number from control, with retries, so that
        a restarted agent refuses delayed orders of earlier owners.
        """
        while self._highest_fence is None:
            try:
                fence = await self._control.highest_fence(self._group)
            except errors.CodedError as exc:
                _log.warning('orders: cannot read the fencing number, %s', exc)
                await asyncio.sleep(_RETRY_SECONDS)
                continue
            self._highest_fence = max(self._highest_fence or 0, fence)

    async def handle_order(
        self,
        order: messages.GroupOrder,
    ) -> messages.GroupOrderReply:
        """Execute an order; coded errors become state ``refused``, which means
        not executed.  The deadline counts from the order's arrival.
        """
        now = asyncio.get_running_loop().time()
        expires_at = now + (order.deadline_ms or 0) / 1000
        try:
            state = await self._handle(order, expires_at)
        except errors.CodedError as exc:
            state = order_state.from_failure(exc, order_state.REFUSED)
        return messages.GroupOrderReply(
            accepted=state.state != order_state.REFUSED,
            body=state.to_json(),
            highest_fence=self.highest_fence,
        )

    async def _handle(
        self,
        order: messages.GroupOrder,
        expires_at: float,
    ) -> order_state.OrderState:
        if order.group != self._group:
            raise order_errors.OrderInvalid(
                f'agent is not of group {order.group}'
            )
        if order.action in UNFENCED:
            return await self._read(order)
        # Checked under the lock, because an order of a newer owner may have
        # been executed while this one waited.
        async with self._execution_lock:
            self._check(order, expires_at)
            return await self._dispatch(order)

    def _check(self, order: messages.GroupOrder, expires_at: float) -> None:
        if self._highest_fence is None:
            raise order_errors.FenceUnknown()
        if order.fence < self._highest_fence:
            raise order_errors.OrderStale(
                f'fence {order.fence} is lower than {self._highest_fence}',
            )
        if asyncio.get_running_loop().time() >= expires_at:
            raise order_errors.OrderExpired()
        self._highest_fence = order.fence

    async def _dispatch(
        self,
        order: messages.GroupOrder,
    ) -> order_state.OrderState:
        if order.action == order_state.FENCE:
            return _done()
        if order.action == order_state.CANCEL:
            return self._cancel(_fields(order)['order_id'])
        if order.action == order_state.MAP_ARM:
            record = switch_record.from_json(order.body)
            await self._participant.arm(record, order.fence)
            return _done()
        if order.action == order_state.MAP_OUTCOME:
            await self._participant.apply_outcome(
                switch_record.from_json(order.body)
            )
            return _done()
        return self._start_or_poll(order)

    async def _read(
        self,
        order: messages.GroupOrder,
    ) -> order_state.OrderState:
        if order.action == order_state.MAP_GET:
            found = self._maps.known(_fields(order)['digest'])
            if found is None:
                raise order_errors.MapUnknown()
            return _done(found.to_json())
        status = await self._engine.status()
        jobs = {name: job.state.state for name, job in self._jobs.items()}
        fields = attrs.asdict(status)
        fields.update(
            state=self._participant.state,
            switch=self._participant.record.number,
            map=self._participant.record.settled_map,
            orders=jobs,
        )
        return _done(json.dumps(fields))

    def _start_or_poll(
        self, order: messages.GroupOrder
    ) -> order_state.OrderState:
        """Start or resume a long-running order, or return its state; a poll
        may leave out the body.
        """
        job = self._jobs.get(order.order_id)
        if job is None:
            work = self._work_for(order)
            state = order_state.OrderState(order_state.RUNNING)
            job = _Job(order, state)
            self._add_job(order.order_id, job)
        elif job.state.state == order_state.FAILED:
            job.order.fence = order.fence
            work = self._work_for(job.order)
        else:
            return job.state
        job.state = attrs.evolve(job.state, state=order_state.RUNNING)
        job.task = asyncio.create_task(self._execute(job, work))
        return job.state

    def _work_for(
        self,
        order: messages.GroupOrder,
    ) -> _JobWork:
        def report(done: float) -> None:  # noqa: WPS430
            job = self._jobs[order.order_id]
            job.state = attrs.evolve(job.state, done=round(done, 4))

        if order.action == order_state.MAP_LOAD:
            target = expert_map.from_json(order.body)
            return functools.partial(self._load_map, target, report)
        if order.action in order_state.ENGINE_ACTIONS:
            return self._engine_work(order, report)
        raise order_errors.OrderInvalid(f'unknown action {order.action}')

    def _engine_work(
        self,
        order: messages.GroupOrder,
        report: engine.Report,
    ) -> _JobWork:
        execute = functools.partial(
            self._engine.execute,
            order.action,
            order.body,
            order.fence,
            report,
        )
        if order.action not in order_state.STORE_ACTIONS:
            return execute
        return functools.partial(
            leased_load.run,
            self._store,
            execute,
            urgent=bool(_fields(order)['urgent']),
        )

    async def _load_map(
        self,
        target: expert_map.ExpertMap,
        report: engine.Report,
    ) -> str:
        await self._participant.load(target, report)
        return target.digest()

    async def _execute(
        self,
        job: _Job,
        work: _JobWork,
    ) -> None:
        try:
            result = await work()
        except errors.CodedError as exc:
            failed = order_state.from_failure(exc, order_state.FAILED)
            job.state = attrs.evolve(failed, done=job.state.done)
        except asyncio.CancelledError:
            job.state = attrs.evolve(job.state, state=order_state.CANCELLED)
        else:
            job.state = _done(result)

    def _cancel(self, order_id: str) -> order_state.OrderState:
        job = self._jobs.get(order_id)
        if job is None:
            # Recorded, so that the order is not executed if it arrives later.
            state = order_state.OrderState(order_state.CANCELLED)
            self._add_job(order_id, _Job(messages.GroupOrder(), state))
            return _done()
        if job.task is not None:
            job.task.cancel()
        if job.state.state in {order_state.RUNNING, order_state.FAILED}:
            job.state = attrs.evolve(job.state, state=order_state.CANCELLED)
        return _done()

    def _add_job(self, order_id: str, job: _Job) -> None:
        self._jobs[order_id] = job
        for name, old in list(self._jobs.items()):
            if len(self._jobs) <= _MAX_JOBS:
                break
            if old.state.state != order_state.RUNNING:
                self._jobs.pop(name)


def _done(result: str = '') -> order_state.OrderState:
    return order_state.OrderState(order_state.DONE, done=1, result=result)


def _fields(order: messages.GroupOrder) -> dict[str, str]:
    try:
        fields = json.loads(order.body)
    except ValueError as exc:
        raise order_errors.OrderInvalid(str(exc)) from exc
    if not isinstance(fields, dict):
        raise order_errors.OrderInvalid('body is not a JSON object')
    return collections.defaultdict(str, fields)
