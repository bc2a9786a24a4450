"""Join the lock-step group of this agent's target, if it has one."""

from __future__ import annotations

import asyncio
import logging

import attrs

from tamarackthread.agent import (
    balancer,
    control_client,
    engine_client,
    engine_tokens,
    group_runtime,
    http_engine,
    rank_addresses,
    rank_transport,
    store_slots,
    weight_loading,
)
from tamarackthread.generated import documents as generated
from tamarackthread.generated import settings as generated_settings
from tamarackthread.generated.messages import ttypes as messages
from tamarackthread.policy import expert_map, moves, placement
from tamarackthread.shared import catalogue, errors, identity, link_pool

FIRST_CANDIDATES = 3
_RETRY_SECONDS = 0.5
# Lower bound of the evenness weight, which is a divisor.
_MIN_EVENNESS = 1e-6
_log = logging.getLogger('tamarackthread.grouping')


class GroupNotReady(errors.CodedError):
    """Agent's target has no group, or its engine has not answered yet."""

    code = 'TT5902'
    status = 503


class GroupMismatch(errors.CodedError):
    """Settings and engine disagree on rank or size of the group."""

    code = 'TT5903'
    status = 409


@attrs.frozen
class _ActiveBalancer:
    """A balancer and the settings that it was created with."""

    planning: balancer.Balancer
    settings: balancer.BalancerSettings


class GroupMembership:
    """Start the group runtime once the engine has reported its size."""

    def __init__(
        self,
        own: generated_settings.Agent,
        node: identity.Identity,
        links: link_pool.LinkPool,
        control: control_client.ControlClient,
    ) -> None:
        """Prepare the engine client; ``start`` connects."""
        self._own = own
        self._node = node
        self._links = links
        self._control = control
        self._monitor = moves.UrgentCallMonitor()
        self._urgent = weight_loading.UrgentSignal(self._monitor)
        self._client = engine_client.EngineClient(
            own.target_url,
            own.connect_timeout_seconds,
        )
        self._engine = http_engine.HttpEngine(self._client, own.rank)
        self._addresses = rank_addresses.RankAddresses(own.group)
        self._balance: generated.Balance | None = None
        self._runtime: group_runtime.GroupRuntime | None = None
        self._tokens: engine_tokens.EngineTokenSource | None = None
        self._active: _ActiveBalancer | None = None
        self._joining: asyncio.Task[None] | None = None
        self._orders: set[asyncio.Task[messages.GroupOrderReply]] = set()

    @property
    def urgent(self) -> weight_loading.UrgentSignal:
        """Return the signal to which the gate reports urgent calls."""
        return self._urgent

    @property
    def runtime(self) -> group_runtime.GroupRuntime | None:
        """Return the group runtime, ``None`` until the engine has answered."""
        return self._runtime

    @property
    def planning(self) -> balancer.Balancer | None:
        """Return the balancer; only candidates with a profile have one."""
        return None if self._active is None else self._active.planning

    async def start(self) -> None:
        """Start waiting for the engine, if the target has a group."""
        if not self._own.group:
            return
        await self._client.start()
        self._joining = asyncio.create_task(self._join())
        self._joining.add_done_callback(_log_failure)

    async def stop(self) -> None:
        """Stop and release the group's lease; the engine keeps running."""
        if self._runtime is not None:
            await self._runtime.stop()
        await self.abandon()

    async def abandon(self) -> None:
        """Stop without releasing the lease."""
        if self._joining is not None:
            self._joining.cancel()
        if self._runtime is not None:
            self._runtime.abandon()
        for order in self._orders:
            order.cancel()
        await self._client.stop()

    def update_addresses(self, held: catalogue.Catalogue) -> None:
        """Read the addresses of the other ranks from the documents."""
        if self._own.group:
            self._addresses.update(held)

    def apply_balance(self, balance: generated.Balance) -> None:
        """Apply a profile's settings for balancing."""
        self._balance = balance
        self._monitor.pause_seconds = balance.urgent_pause_seconds
        self._apply()

    async def handle_order(
        self,
        order: messages.GroupOrder,
    ) -> messages.GroupOrderReply:
        """Handle an order to its end, even if its link is lost."""
        if self._runtime is None:
            raise GroupNotReady()
        work = self._runtime.handle_order(order)
        task = asyncio.create_task(work)
        self._orders.add(task)
        task.add_done_callback(self._orders.discard)
        return await asyncio.shield(task)

    async def _join(self) -> None:
        last_error = ''
        while True:
            try:
                shape = await self._shape()
            except errors.CodedError as exc:
                if str(exc) != last_error:
                    last_error = str(exc)
                    _log.warning('grouping: not ready, %s %s', exc.code, exc)
                await asyncio.sleep(_RETRY_SECONDS)
                continue
            break
        self._build(shape)

    async def _shape(self) -> expert_map.GroupShape:
        """Read the group's shape from the engine and check it against settings."""
        state = await self._engine.state()
        reported = (state.rank, state.shape.ranks)
        wanted = (self._own.rank, self._own.ranks)
        if reported != wanted:
            text = f'engine has rank {reported[0]} of {reported[1]}'
            raise GroupMismatch(f'{text}, settings {wanted[0]} of {wanted[1]}')
        expert_map.cold_start(state.shape).check()
        return state.shape

    def _build(self, shape: expert_map.GroupShape) -> None:
        own = self._own
        # Engines don't report lost ranks, so all ranks must take part in a
        # switch: none is committed while a rank is lost.
        transport = rank_transport.LinkTransport(
            self._links,
            lambda: range(shape.ranks),
            lambda: self._addresses.addresses,
        )
        runtime = group_runtime.GroupRuntime(
            group_runtime.GroupSettings(
                own.group,
                own.rank,
                # A restarted process must not renew its earlier lease, whose
                # orders may still be in flight.
                f'{self._node.node}-{self._node.incarnation}',
                expert_map.cold_start(shape),
                candidate=is_candidate(own),
                checks_fencing=own.checks_fencing,
                store=store_slots.SlotSettings(),
            ),
            self._control,
            transport,
            self._engine,
            self._urgent,
        )
        self._runtime = runtime
        runtime.start()
        _log.info('grouping: joined as rank %d of %s', own.rank, own.group)
        if is_candidate(own):
            self._tokens = engine_tokens.EngineTokenSource(self._client, shape)
            self._apply()

    def _apply(self) -> None:
        """Configure the balancer from the profile.  Only a change of its times
        creates a new one, because that resets the forecast.
        """
        balance = self._balance
        if balance is None or self._runtime is None or self._tokens is None:
            return
        wanted = balancer_settings(balance)
        weights = planner_settings(balance)
        held = self._active
        if held is None or held.settings != wanted:
            planning = self._runtime.balance(self._tokens, weights, wanted)
            held = _ActiveBalancer(planning, wanted)
            self._active = held
        held.planning.set_planner(placement.IncrementalPlanner(weights))
        held.planning.set_paused(paused=not balance.enabled)


def _log_failure(joining: asyncio.Task[None]) -> None:
    """Log an unexpected error of the task, which is not awaited."""
    if not joining.cancelled() and joining.exception() is not None:
        _log.error(
            'grouping: joining the group failed', exc_info=joining.exception()
        )


def is_candidate(own: generated_settings.Agent) -> bool:
    """Tell whether an agent is a candidate owner of its group."""
    if own.candidate == 'auto':
        return own.rank < FIRST_CANDIDATES
    return own.candidate == 'yes'


def planner_settings(balance: generated.Balance) -> placement.BalanceSettings:
    """Convert a profile's weights to the planner's settings."""
    evenness = max(balance.evenness_weight, _MIN_EVENNESS)
    return placement.BalanceSettings(
        move_cost_seconds=balance.move_weight / evenness,
        min_gain=balance.hysteresis_share,
        max_moves_per_layer=balance.moves_per_change,
    )


def balancer_settings(balance: generated.Balance) -> balancer.BalancerSettings:
    """Read the balancer's times from a profile."""
    return balancer.BalancerSettings(
        interval_seconds=balance.interval_seconds,
        horizon_seconds=balance.forecast_seconds,
    )
