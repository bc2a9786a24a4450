"""Take part in the lock-step group of this agent's target, if it has one."""

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
from tamarackthread.shared import catalogue, errors, identity, peers

FIRST_CANDIDATES = 3
_RETRY_SECONDS = 0.5
# Stands for no worth at all, where a division by zero would plan nonsense.
_LEAST_WORTH = 1e-6
_log = logging.getLogger('tamarackthread.grouping')


class GroupNotReady(errors.CodedError):
    """Agent's target has no group, or its engine was not heard from yet."""

    code = 'TT5902'
    status = 503


class GroupMismatch(errors.CodedError):
    """Settings and engine disagree on rank or size of the group."""

    code = 'TT5903'
    status = 409


@attrs.frozen
class _InForce:
    """A balancer and the settings that it was made with."""

    planning: balancer.Balancer
    settings: balancer.BalancerSettings


class GroupMembership:
    """Build the group's part once the engine has told its size."""

    def __init__(
        self,
        own: generated_settings.Agent,
        node: identity.Identity,
        links: peers.Peers,
        control: control_client.ControlClient,
    ) -> None:
        """Do nothing before ``start``."""
        self._own = own
        self._node = node
        self._links = links
        self._control = control
        self._watch = moves.UrgentCallMonitor()
        self._urgent = weight_loading.UrgentSignal(self._watch)
        self._client = engine_client.EngineClient(
            own.target_url,
            own.connect_timeout_seconds,
        )
        self._engine = http_engine.HttpEngine(self._client, own.rank)
        self._addresses = rank_addresses.RankAddresses(own.group)
        self._balance: generated.Balance | None = None
        self._runtime: group_runtime.GroupRuntime | None = None
        self._tokens: engine_tokens.EngineTokenSource | None = None
        self._in_force: _InForce | None = None
        self._joining: asyncio.Task[None] | None = None
        self._handling: set[asyncio.Task[messages.GroupOrderReply]] = set()

    @property
    def urgent(self) -> weight_loading.UrgentSignal:
        """Give what the gate tells of urgent calls."""
        return self._urgent

    @property
    def runtime(self) -> group_runtime.GroupRuntime | None:
        """Give the group's part; ``None`` before the engine was heard."""
        return self._runtime

    @property
    def planning(self) -> balancer.Balancer | None:
        """Give the balancer in force; candidates have one by a profile."""
        return None if self._in_force is None else self._in_force.planning

    async def start(self) -> None:
        """Start to wait for the engine, in a group."""
        if not self._own.group:
            return
        await self._client.start()
        self._joining = asyncio.create_task(self._join())
        self._joining.add_done_callback(_report_fault)

    async def stop(self) -> None:
        """Leave the group's engine as it is and give ownership back."""
        if self._runtime is not None:
            await self._runtime.stop()
        await self.abandon()

    async def abandon(self) -> None:
        """Stop without a word to control or the other ranks."""
        if self._joining is not None:
            self._joining.cancel()
        if self._runtime is not None:
            self._runtime.abandon()
        for order in self._handling:
            order.cancel()
        await self._client.stop()

    def update_addresses(self, held: catalogue.Catalogue) -> None:
        """Take the addresses of the other ranks from the documents."""
        if self._own.group:
            self._addresses.update(held)

    def apply_balance(self, balance: generated.Balance) -> None:
        """Balance from now on as the profile says."""
        self._balance = balance
        self._watch.pause_seconds = balance.urgent_pause_seconds
        self._apply()

    async def handle_order(
        self,
        order: messages.GroupOrder,
    ) -> messages.GroupOrderReply:
        """Take an order, and finish it also when its link is lost.

        An order cut off half way leaves open what the engine has done of it.
        """
        if self._runtime is None:
            raise GroupNotReady()
        work = self._runtime.handle_order(order)
        task = asyncio.create_task(work)
        self._handling.add(task)
        task.add_done_callback(self._handling.discard)
        return await asyncio.shield(task)

    async def _join(self) -> None:
        last = ''
        while True:
            try:
                shape = await self._shape()
            except errors.CodedError as exc:
                if str(exc) != last:
                    last = str(exc)
                    _log.warning('grouping: not ready, %s %s', exc.code, exc)
                await asyncio.sleep(_RETRY_SECONDS)
                continue
            break
        self._build(shape)

    async def _shape(self) -> expert_map.GroupShape:
        """Ask the engine for the group's size and compare it with ours."""
        state = await self._engine.state()
        found = (state.rank, state.shape.ranks)
        wanted = (self._own.rank, self._own.ranks)
        if found != wanted:
            text = f'engine has rank {found[0]} of {found[1]}'
            raise GroupMismatch(f'{text}, settings {wanted[0]} of {wanted[1]}')
        expert_map.cold_start(state.shape).check()
        return state.shape

    def _build(self, shape: expert_map.GroupShape) -> None:
        own = self._own
        # Every rank counts, for engines do not tell of one that they do
        # without: while a rank is lost, no switch is decided.
        transport = rank_transport.LinkTransport(
            self._links,
            lambda: range(shape.ranks),
            lambda: self._addresses.addresses,
        )
        runtime = group_runtime.GroupRuntime(
            group_runtime.GroupSettings(
                own.group,
                own.rank,
                # A process that starts anew must not renew the lease of the
                # one before, whose orders may still be on their way.
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
        _log.info('grouping: rank %d of %s', own.rank, own.group)
        if is_candidate(own):
            self._tokens = engine_tokens.EngineTokenSource(self._client, shape)
            self._apply()

    def _apply(self) -> None:
        """Plan as the profile says, and not before there is one.

        Only new times need a new balancer, which starts its forecast anew.
        """
        balance = self._balance
        if balance is None or self._runtime is None or self._tokens is None:
            return
        wanted = balancer_settings(balance)
        weights = planner_settings(balance)
        held = self._in_force
        if held is None or held.settings != wanted:
            planning = self._runtime.balance(self._tokens, weights, wanted)
            held = _InForce(planning, wanted)
            self._in_force = held
        held.planning.set_planner(placement.IncrementalPlanner(weights))
        held.planning.set_paused(paused=not balance.enabled)


def _report_fault(joining: asyncio.Task[None]) -> None:
    """Log what a defect ended; nobody waits for the task."""
    if not joining.cancelled() and joining.exception() is not None:
        _log.error('grouping: cannot join', exc_info=joining.exception())


def is_candidate(own: generated_settings.Agent) -> bool:
    """Tell whether an agent stands for owner of its group."""
    if own.candidate == 'auto':
        return own.rank < FIRST_CANDIDATES
    return own.candidate == 'yes'


def planner_settings(balance: generated.Balance) -> placement.BalanceSettings:
    """Turn a profile's weights into the planner's trade-off."""
    worth = max(balance.evenness_weight, _LEAST_WORTH)
    return placement.BalanceSettings(
        move_cost_seconds=balance.move_weight / worth,
        min_gain=balance.hysteresis_share,
        max_moves_per_layer=balance.moves_per_change,
    )


def balancer_settings(balance: generated.Balance) -> balancer.BalancerSettings:
    """Take the balancer's times from a profile."""
    return balancer.BalancerSettings(
        interval_seconds=balance.interval_seconds,
        horizon_seconds=balance.forecast_seconds,
    )
