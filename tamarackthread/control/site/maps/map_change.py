"""Run one change of a group's map, from the copies to the switch."""

from __future__ import annotations

import asyncio
import logging

from tamarackthread.control.site.maps import (
    group_maps,
    group_state,
    ranks,
    switching,
)
from tamarackthread.shared import log_events
from tamarackthread.shared.site import site_metrics

# Lead time from the hold order to the held step, scaled by the time that
# preparing took.  If the step is reached before all ranks are armed, calls wait.
MIN_LEAD_SECONDS = 0.05
LEAD_FACTOR = 0.6
SLOW_PREPARE_SECONDS = 0.15
SLOW_LEAD_FACTOR = 1.2
MAX_LEAD_SECONDS = 0.8
# Attempts to hold; if a step has already begun, a later one is tried.
HOLD_TRIES = 4
MILLISECONDS = 1000
_log = logging.getLogger('tamarackthread.control')


class MapChange:
    """A change of a group's map to a new version."""

    def __init__(
        self,
        client: ranks.Ranks,
        switcher: switching.Switcher,
        state: group_state.GroupState,
        group: switching.Group,
    ) -> None:
        """Send orders through ``switcher`` and record the result in ``state``."""
        self._ranks = client
        self._switcher = switcher
        self._state = state
        self._group = group

    async def run(self, version: int, new_map: ranks.GroupMap) -> bool:
        """Switch the group; return ``False`` only if it may be left held."""
        loop = asyncio.get_running_loop()
        state = self._state
        started_at = loop.time()
        await refresh_step_time(self._ranks, state, self._group)
        if not await self._switcher.prepare(self._group, version, new_map):
            return True
        prepare_seconds = loop.time() - started_at
        copies = group_maps.max_copies(state.placement, new_map)
        await asyncio.sleep(
            copies * state.shape.copy_seconds * state.copy_slack
        )
        step = await self._hold(prepare_seconds)
        if step is None:
            return True
        held_at = loop.time()
        if not await self._switcher.finish(
            self._group, ranks.Armed(version, step), self._group.members[:1]
        ):
            state.back_off(loop.time())
            return False
        state.record_switch(version, new_map, step, loop.time())
        self._log_switch(version, step, prepare_seconds, loop.time() - held_at)
        return True

    async def _hold(self, prepare_seconds: float) -> int | None:
        """Hold the group at an upcoming step; return it, or ``None``."""
        loop = asyncio.get_running_loop()
        await refresh_step_time(self._ranks, self._state, self._group)
        lead = _lead_seconds(prepare_seconds)
        for attempt in range(HOLD_TRIES):
            started_step = self._state.estimate_step(loop.time() + lead)
            step = started_step + 1 + attempt * 2
            if await self._switcher.hold(self._group, step):
                return step
        _log.info(
            'control: group %s could not be held, step %d had already begun',
            self._group.name,
            step,
        )
        return None

    def _log_switch(
        self,
        version: int,
        step: int,
        prepared: float,
        armed: float,
    ) -> None:
        site_metrics.MAP_SWITCHES.inc()
        log_events.emit(
            _log,
            log_events.Event.MAP,
            'control: group %s switches to map %d at step %d',
            self._group.name,
            version,
            step,
            group=self._group.name,
            map_version=version,
            step=step,
            step_ms=round(self._state.step_seconds * MILLISECONDS),
            prepare_ms=round(prepared * MILLISECONDS),
            arm_ms=round(armed * MILLISECONDS),
        )


async def refresh_step_time(
    client: ranks.Ranks,
    state: group_state.GroupState,
    group: switching.Group,
) -> None:
    """Update the step time, which a demand shift may have changed."""
    report = await client.report(group.serving[0])
    if report is None or report.epoch != group.epoch:
        return
    state.update_from(report, asyncio.get_running_loop().time())


def _lead_seconds(prepare_seconds: float) -> float:
    """Return how far ahead to schedule the switch, in seconds."""
    if prepare_seconds >= SLOW_PREPARE_SECONDS:
        return min(MAX_LEAD_SECONDS, prepare_seconds * SLOW_LEAD_FACTOR)
    return max(MIN_LEAD_SECONDS, prepare_seconds * LEAD_FACTOR)
