"""Rebalance a group's experts.  Every owner candidate observes the load, so
that its forecast is warm; only the lease holder plans and switches maps.
"""

from __future__ import annotations

import abc
import asyncio
import logging

import attrs
import numpy

from tamarackthread.agent import map_cache, owner, switch_coordinator
from tamarackthread.policy import expert_map, forecast, placement
from tamarackthread.shared import errors, offload

_log = logging.getLogger('tamarackthread.balancer')


@attrs.frozen(eq=False)
class TokenWindow:
    """Token counts ``[layer, expert]`` from ``started``, in loop seconds."""

    tokens: numpy.ndarray
    started: float


class TokenSource(abc.ABC):
    """Provide token counts reported by engines, delayed and with gaps."""

    @abc.abstractmethod
    async def windows(self) -> list[TokenWindow]:
        """Return the windows received since the last call."""


@attrs.frozen
class BalancerSettings:
    """Set the planning interval and the horizon of the load forecast."""

    interval_seconds: float = 300
    horizon_seconds: float = 300


class Balancer:
    """Run the planning loop of one group."""

    def __init__(
        self,
        group_owner: owner.GroupOwner,
        coordinator: switch_coordinator.SwitchCoordinator,
        planner: placement.Planner,
        source: TokenSource,
        maps: map_cache.MapCache,
        settings: BalancerSettings,
        work: offload.Offload,
    ) -> None:
        """Run the planner through ``work``, since it may take seconds."""
        self._owner = group_owner
        self._coordinator = coordinator
        self._planner = planner
        self._source = source
        self._maps = maps
        self._settings = settings
        self._work = work
        self._forecaster = forecast.Forecaster(
            forecast.ForecastSettings(
                window_seconds=settings.interval_seconds,
            ),
        )
        self._last_plan: placement.Plan | None = None
        self._paused = False

    @property
    def last_plan(self) -> placement.Plan | None:
        """Return the last plan made."""
        return self._last_plan

    def set_paused(self, paused: bool) -> None:
        """Pause or resume planning; a switch in progress continues."""
        self._paused = paused

    def set_planner(self, planner: placement.Planner) -> None:
        """Replace the planner used from the next interval on."""
        self._planner = planner

    async def run(self) -> None:
        """Observe and plan at each interval until cancelled."""
        while True:
            await asyncio.sleep(self._settings.interval_seconds)
            for window in await self._source.windows():
                self._forecaster.observe(window.tokens, window.started)
            if self._may_plan():
                await self._balance_or_log()

    def _may_plan(self) -> bool:
        if self._paused or self._forecaster.is_cold:
            return False
        return self._owner.is_owner

    async def _balance_or_log(self) -> None:
        try:
            await self._balance()
        except errors.CodedError as exc:
            _log.warning('balancer: rebalancing failed, %s %s', exc.code, exc)

    async def _balance(self) -> None:
        current = await self._current_map()
        now = asyncio.get_running_loop().time()
        expected_load = self._forecaster.forecast(
            now + self._settings.horizon_seconds
        )
        active = set(self._owner.transport.ranks)
        lost = set(range(current.shape.ranks)) - active
        plan = await self._work.run(
            self._planner.plan, current, expected_load, lost
        )
        self._last_plan = plan
        if not plan.is_change:
            return
        _log.info(
            'balancer: switching with %d moves, skew from %.3f to %.3f',
            len(plan.moves),
            plan.skew_before,
            plan.skew_after,
        )
        await self._coordinator.switch_to(plan.new_map)

    async def _current_map(self) -> expert_map.ExpertMap:
        latest = await self._owner.control.latest(self._owner.group)
        if latest is None:
            return await self._maps.get(self._maps.initial_digest)
        return await self._maps.get(latest.settled_map)
