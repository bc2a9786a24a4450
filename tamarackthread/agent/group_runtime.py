"""Build and run the parts of an agent that serve its rank's group."""

from __future__ import annotations

import asyncio
import json
import random

import attrs

from tamarackthread.agent import (
    balancer,
    control_client,
    engine,
    map_cache,
    order_errors,
    order_state,
    orders,
    owner,
    rank_transport,
    store_slots,
    switch_coordinator,
    switch_participant,
    weight_loading,
)
from tamarackthread.generated.messages import ttypes as messages
from tamarackthread.policy import expert_map, moves, placement
from tamarackthread.shared import errors, offload

OPERATOR_FENCE = 0
_REPLACE_POLL_SECONDS = 0.1


@attrs.frozen
class GroupSettings:
    """Identify the rank.  Only a few ranks of a group are ``candidate``
    owners, because each of them polls control for the lease.
    """

    group: str
    rank: int
    holder: str
    initial: expert_map.ExpertMap
    candidate: bool
    checks_fencing: bool = False
    switching: switch_coordinator.CoordinatorSettings = (
        switch_coordinator.CoordinatorSettings()
    )
    store: store_slots.SlotSettings | None = None


class GroupRuntime:
    """Own the group components of one agent and run their tasks."""

    def __init__(
        self,
        settings: GroupSettings,
        control: control_client.ControlClient,
        transport: rank_transport.RankTransport,
        rank_engine: engine.Engine,
        urgent: weight_loading.UrgentSignal | None = None,
    ) -> None:
        """Build the components; the gate reports its calls to ``urgent``."""
        self._settings = settings
        self._limiter = _limiter(settings, control)
        self.urgent = urgent or weight_loading.UrgentSignal(
            moves.UrgentCallMonitor()
        )
        self.maps = map_cache.MapCache(
            settings.initial,
            rank_transport.PeerMapSource(settings.group, transport),
        )
        self.participant = switch_participant.SwitchParticipant(
            settings.group,
            settings.rank,
            rank_engine,
            control,
            self.maps,
            weight_loading.WeightLoader(
                rank_engine, self.urgent, self._limiter
            ),
        )
        self.executor = orders.OrderExecutor(
            settings.group,
            control,
            rank_engine,
            self.participant,
            self.maps,
            self._limiter,
        )
        self.owner = owner.GroupOwner(
            owner.OwnerSettings(
                settings.group,
                settings.holder,
                checks_fencing=settings.checks_fencing,
            ),
            control,
            transport,
        )
        self.coordinator = switch_coordinator.SwitchCoordinator(
            self.owner, settings.switching
        )
        self._tasks: list[asyncio.Task[None]] = []
        self._balancers: list[asyncio.Task[None]] = []

    def start(self) -> None:
        """Run the rank's tasks, and an owner if this rank is a candidate."""
        work = [self.executor.start(), self.participant.run()]
        if self._settings.candidate:
            work.append(self.owner.run())
        self._tasks = [asyncio.create_task(one) for one in work]

    def balance(
        self,
        source: balancer.TokenSource,
        weights: placement.BalanceSettings,
        settings: balancer.BalancerSettings,
    ) -> balancer.Balancer:
        """Start a balancer, in place of an earlier one."""
        planning = balancer.Balancer(
            self.owner,
            self.coordinator,
            placement.IncrementalPlanner(weights),
            source,
            self.maps,
            settings,
            offload.ThreadOffload(),
        )
        previous = tuple(self._balancers)
        work = asyncio.create_task(self._replace_balancer(planning, previous))
        self._balancers = [task for task in previous if not task.done()]
        self._balancers.append(work)
        return planning

    async def stop(self) -> None:
        """Stop and release the lease."""
        self.abandon()
        if self.owner.is_owner:
            await self.owner.release()

    def abandon(self) -> None:
        """Stop without releasing the lease."""
        self.participant.close()
        for task in (*self._tasks, *self._balancers):
            task.cancel()

    async def handle_order(
        self,
        order: messages.GroupOrder,
    ) -> messages.GroupOrderReply:
        """Execute an owner's order at this rank.  An operator's, with fencing
        number 0, is sent by the owner to all ranks under its own number.
        """
        is_read = order.action in orders.UNFENCED
        if is_read or order.fence != OPERATOR_FENCE:
            return await self.executor.handle_order(order)
        try:
            state = await self._relay_to_all(order)
        except errors.CodedError as exc:
            state = order_state.from_failure(exc, order_state.REFUSED)
        return messages.GroupOrderReply(
            accepted=state.state != order_state.REFUSED,
            body=state.to_json(),
            highest_fence=self.executor.highest_fence,
        )

    async def _replace_balancer(
        self,
        planning: balancer.Balancer,
        previous: tuple[asyncio.Task[None], ...],
    ) -> None:
        # Cancelling a switch after its intent leaves it undecided, and the
        # ranks hold at its step until the next owner takes over.
        while previous and self.coordinator.is_busy:
            await asyncio.sleep(_REPLACE_POLL_SECONDS)
        for task in previous:
            task.cancel()
        await planning.run()

    async def _relay_to_all(
        self,
        order: messages.GroupOrder,
    ) -> order_state.OrderState:
        allowed = order_state.ENGINE_ACTIONS | {order_state.CANCEL}
        if order.action not in allowed:
            raise order_errors.OrderInvalid(order.action)
        if not self.owner.is_owner:
            raise order_errors.NotOwner()
        answers = await self.owner.order_all(
            order.action,
            order.order_id,
            order.body,
        )
        return combine_states(answers)


def combine_states(
    answers: dict[int, order_state.OrderState | errors.CodedError],
) -> order_state.OrderState:
    """Merge the answers of all ranks; progress is that of the slowest one.
    The result maps each rank to its state or error code, as JSON.
    """
    states = {
        rank: _as_state(answer) for rank, answer in sorted(answers.items())
    }
    distinct = {one.state for one in states.values()}
    overall = order_state.RUNNING
    if len(distinct) == 1:
        overall = distinct.pop()
    elif order_state.REFUSED in distinct or order_state.FAILED in distinct:
        overall = order_state.FAILED
    first_error = next((one for one in states.values() if one.code), None)
    return order_state.OrderState(
        overall,
        done=min(one.done for one in states.values()),
        code=first_error.code if first_error else '',
        text=first_error.text if first_error else '',
        result=json.dumps(
            {rank: one.code or one.state for rank, one in states.items()},
        ),
    )


def _as_state(
    answer: order_state.OrderState | errors.CodedError,
) -> order_state.OrderState:
    if isinstance(answer, order_state.OrderState):
        return answer
    return order_state.from_failure(answer, order_state.FAILED)


def _limiter(
    settings: GroupSettings,
    control: control_client.ControlClient,
) -> store_slots.StoreLimiter:
    if settings.store is None:
        return store_slots.UnlimitedStore()
    return store_slots.LeasedStoreLimiter(
        control,
        settings.holder,
        settings.store,
        random.Random(),
    )
