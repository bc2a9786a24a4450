"""Decide whether a group needs a new map, and compute it."""

from __future__ import annotations

import asyncio
import logging

from tamarackthread.control.site.maps import (
    group_maps,
    group_state,
    ranks,
    switching,
)
from tamarackthread.policy import group_planning, rebalancing
from tamarackthread.shared import log_events, offload
from tamarackthread.shared.site import site_metrics

# Minimum ratio of the busiest rank's load to the mean; below it the copies cost
# more than the shorter steps save.
MIN_SKEW = 1.45
MIN_GAIN = 0.25
# Minimum time saved per step, unless the group is full: each switch costs copies
# and two orders per rank.
MIN_SAVED_SECONDS = 0.015
# Steps expected to be shorter than this need no further balancing; the margin
# covers steps that read a prompt.
SHORT_STEP_SECONDS = 0.05
MILLISECONDS = 1000
_log = logging.getLogger('tamarackthread.control')


class MapPlanner:
    """Plan maps that shorten the steps with few copies."""

    def __init__(self, work: offload.Offload) -> None:
        """Run the computation in ``work`` to keep heartbeats on time."""
        self._work = work

    async def plan(
        self,
        state: group_state.GroupState,
        group: switching.Group,
    ) -> ranks.GroupMap | None:
        """Return a better map, or ``None`` if no change pays off."""
        if not state.demand.is_settled:
            return None
        # Long copies for a demand that mixes two would delay the map that the
        # new demand needs.
        if state.awaits_demand:
            return None
        tokens = state.demand.tokens
        paces = [report.pace for report in group.reports]
        current_skew = group_maps.skew(state.placement, tokens, paces)
        site_metrics.GROUP_SKEW.labels(group.name).set(current_skew)
        if current_skew < MIN_SKEW:
            return None
        new_map, planned = await self._balance(
            state, tokens, paces, current_skew
        )
        copies = group_maps.total_copies(state.placement, new_map)
        max_per_rank = group_maps.max_copies(state.placement, new_map)
        log_events.emit(
            _log,
            log_events.Event.PLAN,
            'control: group %s is uneven by %.2f, a map of %d copies has %.2f',
            group.name,
            current_skew,
            copies,
            planned,
            group=group.name,
            skew=round(current_skew, 2),
            planned=round(planned, 2),
            copies=copies,
            most_copies=max_per_rank,
            step_ms=round(state.step_seconds * MILLISECONDS),
        )
        saved = state.step_seconds * (1 - planned / current_skew)
        is_worthwhile = state.is_full or saved >= MIN_SAVED_SECONDS
        return (
            new_map
            if is_worthwhile and current_skew - planned >= MIN_GAIN
            else None
        )

    async def _balance(
        self,
        state: group_state.GroupState,
        tokens: group_maps.Tokens,
        paces: group_maps.Paces,
        current_skew: float,
    ) -> tuple[ranks.GroupMap, float]:
        """Plan a map with as few copies as needed; return it and its skew."""
        # Half of the copies are enough, except past the capacity: steps are
        # long there with any map, and all callers feel the last tenth of skew.
        if state.has_long_copies:
            return await self._plan_staged(state, tokens, paces)
        for min_gain in (rebalancing.COARSE_MIN_GAIN, rebalancing.MIN_GAIN):
            bounds = rebalancing.Bounds(
                state.shape.placements, state.shape.max_new, min_gain
            )
            new_map = await self._work.run(
                group_maps.plan, state.placement, tokens, bounds, paces
            )
            planned = group_maps.skew(new_map, tokens, paces)
            is_short = (
                state.step_seconds * planned / current_skew < SHORT_STEP_SECONDS
            )
            if is_short and not state.is_full:
                break
        return new_map, planned

    async def _plan_staged(
        self,
        state: group_state.GroupState,
        tokens: group_maps.Tokens,
        paces: group_maps.Paces,
    ) -> tuple[ranks.GroupMap, float]:
        """Plan a map whose copies take less time than it saves."""
        bounds = rebalancing.Bounds(state.shape.placements, state.shape.max_new)
        new_map = await self._work.run(
            group_planning.plan,
            state.placement,
            tokens,
            bounds,
            paces,
            state.cost(asyncio.get_running_loop().time()),
        )
        return new_map, group_maps.skew(new_map, tokens, paces)
