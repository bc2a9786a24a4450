"""Put together what an agent does for the group of its rank."""

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
_RETIRE_SECONDS = 0.1


@attrs.frozen
class GroupSettings:
    """Say which rank of which group this is.

    Only a few ranks of a group are ``candidate`` owners, because each of
    them asks control for the lease again and again.
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
    """Hold the parts and run their tasks; the agent's role plugs it in."""

    def __init__(
        self,
        settings: GroupSettings,
        control: control_client.ControlClient,
        transport: rank_transport.RankTransport,
        rank_engine: engine.Engine,
        urgent: weight_loading.UrgentSignal | None = None,
    ) -> None:
        """Build the parts; ``start`` runs them.

        ``urgent`` is what the gate tells of urgent calls.
        """
        self._settings = settings
        self._store = _store(settings, control)
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
            weight_loading.WeightLoader(rank_engine, self.urgent, self._store),
        )
        self.executor = orders.OrderExecutor(
            settings.group,
            control,
            rank_engine,
            self.participant,
            self.maps,
            self._store,
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
        self._planning: list[asyncio.Task[None]] = []

    def start(self) -> None:
        """Run the rank's side, and an owner if this rank is a candidate."""
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
        """Plan for the group while this rank owns it.

        Called again, it takes the place of the planning before.
        """
        planning = balancer.Balancer(
            self.owner,
            self.coordinator,
            placement.IncrementalPlanner(weights),
            source,
            self.maps,
            settings,
            offload.ThreadOffload(),
        )
        before = tuple(self._planning)
        work = asyncio.create_task(self._plan(planning, before))
        self._planning = [task for task in before if not task.done()]
        self._planning.append(work)
        return planning

    async def stop(self) -> None:
        """Stop, and let another owner begin at once."""
        self.abandon()
        if self.owner.is_owner:
            await self.owner.release()

    def abandon(self) -> None:
        """Stop without a word to anyone."""
        self.participant.close()
        for task in (*self._tasks, *self._planning):
            task.cancel()

    async def handle_order(
        self,
        order: messages.GroupOrder,
    ) -> messages.GroupOrderReply:
        """Take an owner's order for this rank, or an operator's for all.

        Operators send fencing number 0, which no owner ever has; the agent
        that owns the group gives the order to every rank under its own.
        """
        is_read = order.action in orders.UNFENCED
        if is_read or order.fence != OPERATOR_FENCE:
            return await self.executor.handle_order(order)
        try:
            state = await self._order_all(order)
        except errors.CodedError as exc:
            state = order_state.from_failure(exc, order_state.REFUSED)
        return messages.GroupOrderReply(
            accepted=state.state != order_state.REFUSED,
            body=state.to_json(),
            highest_fence=self.executor.highest_fence,
        )

    async def _plan(
        self,
        planning: balancer.Balancer,
        before: tuple[asyncio.Task[None], ...],
    ) -> None:
        # A switch that is cut off after its intent has no outcome, and the
        # ranks hold at its step until the owner is lost.  Between switches
        # there is nothing to cut off.
        while before and self.coordinator.is_busy:
            await asyncio.sleep(_RETIRE_SECONDS)
        for task in before:
            task.cancel()
        await planning.run()

    async def _order_all(
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
    """Sum up what the ranks answered; the slowest rank gives the progress.

    The result has each rank's state or error code as JSON.
    """
    states = {
        rank: _as_state(answer) for rank, answer in sorted(answers.items())
    }
    found = {one.state for one in states.values()}
    overall = order_state.RUNNING
    if len(found) == 1:
        overall = found.pop()
    elif order_state.REFUSED in found or order_state.FAILED in found:
        overall = order_state.FAILED
    bad = next((one for one in states.values() if one.code), None)
    return order_state.OrderState(
        overall,
        done=min(one.done for one in states.values()),
        code=bad.code if bad else '',
        text=bad.text if bad else '',
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


def _store(
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
