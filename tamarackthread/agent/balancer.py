"""Keep a group's ranks even: observe, plan, and switch when it pays.

Runs beside each owner of a group; only the one that holds the lease plans
and switches.  Others go on observing, so that a new owner does not start
from nothing.
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
    """The tokens ``[layer, expert]`` of a window; seconds of the loop."""

    tokens: numpy.ndarray
    started: float


class TokenSource(abc.ABC):
    """Give the token counts that engines report, late and with gaps."""

    @abc.abstractmethod
    async def windows(self) -> list[TokenWindow]:
        """Return the windows that came since the last call."""


@attrs.frozen
class BalancerSettings:
    """Hold the constants; a plan is for the time ``ahead_seconds`` from it."""

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
        """Plan by ``work``, because a plan takes up to seconds."""
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
        self._last: placement.Plan | None = None
        self._paused = False

    @property
    def last_plan(self) -> placement.Plan | None:
        """Return the last plan made, for operators."""
        return self._last

    def set_paused(self, paused: bool) -> None:
        """Stop planning, or go on; a switch under way is not touched."""
        self._paused = paused

    def set_planner(self, planner: placement.Planner) -> None:
        """Plan from now on as another profile wants it."""
        self._planner = planner

    async def run(self) -> None:
        """Observe and plan at each interval, for ever."""
        while True:
            await asyncio.sleep(self._settings.interval_seconds)
            for window in await self._source.windows():
                self._forecaster.observe(window.tokens, window.started)
            if self._may_plan():
                await self._try_balance()

    def _may_plan(self) -> bool:
        if self._paused or self._forecaster.is_cold:
            return False
        return self._owner.is_owner

    async def _try_balance(self) -> None:
        try:
            await self._balance()
        except errors.CodedError as exc:
            _log.warning('balancer: no switch, %s %s', exc.code, exc)

    async def _balance(self) -> None:
        today = await self._today()
        now = asyncio.get_running_loop().time()
        outlook = self._forecaster.forecast(
            now + self._settings.horizon_seconds
        )
        present = set(self._owner.transport.ranks)
        lost = set(range(today.shape.ranks)) - present
        plan = await self._work.run(self._planner.plan, today, outlook, lost)
        self._last = plan
        if not plan.is_change:
            return
        _log.info(
            'balancer: %d moves for skew %.3f to %.3f',
            len(plan.moves),
            plan.skew_before,
            plan.skew_after,
        )
        await self._coordinator.switch_to(plan.new_map)

    async def _today(self) -> expert_map.ExpertMap:
        latest = await self._owner.control.latest(self._owner.group)
        if latest is None:
            return await self._maps.get(self._maps.initial_digest)
        return await self._maps.get(latest.settled_map)
