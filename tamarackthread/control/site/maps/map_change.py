"""Change a group's map: copies, then the step at which all ranks switch."""

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
from tamarackthread.shared.site import figures

# Time from the order to hold a step to the step: the way there, and the arms.
# Preparing took as many answers, and three times as long for the maps to get
# there.  Where an order was lost, which shows by its limit, an arm will be too,
# and a step that comes before all ranks are armed is waited for by all callers.
LEAST_AHEAD_SECONDS = 0.05
AHEAD_SHARE = 0.6
LOST_ORDER_SECONDS = 0.15
LOST_AHEAD_SHARE = 1.2
MOST_AHEAD_SECONDS = 0.8
# A step that has begun can't be held; a later one is tried, so many times.
HOLD_TRIES = 4
MILLISECONDS = 1000
_log = logging.getLogger('tamarackthread.control')


class MapChange:
    """One change of a group's map."""

    def __init__(
        self,
        asked: ranks.Ranks,
        switcher: switching.Switcher,
        known: group_state.GroupState,
        group: switching.Group,
    ) -> None:
        """Order with ``switcher``; what becomes of it is noted in ``known``."""
        self._ranks = asked
        self._switcher = switcher
        self._known = known
        self._group = group

    async def run(self, version: int, wanted: ranks.GroupMap) -> bool:
        """Make the change; ``False`` if the group may be left held.

        A change that comes to nothing before the group is held is no failure.
        """
        loop = asyncio.get_running_loop()
        known = self._known
        began = loop.time()
        await time_step(self._ranks, known, self._group)
        if not await self._switcher.prepare(self._group, version, wanted):
            return True
        took = loop.time() - began
        copies = group_maps.max_copies(known.placement, wanted)
        await asyncio.sleep(
            copies * known.shape.copy_seconds * known.copy_slack
        )
        step = await self._hold(took)
        if step is None:
            return True
        held_at = loop.time()
        if not await self._switcher.finish(
            self._group, ranks.Armed(version, step), self._group.members[:1]
        ):
            known.back_off(loop.time())
            return False
        known.record_switch(version, wanted, step, loop.time())
        self._tell(version, step, took, loop.time() - held_at)
        return True

    async def _hold(self, took: float) -> int | None:
        """Hold the group at a step soon to come, and return the step."""
        loop = asyncio.get_running_loop()
        await time_step(self._ranks, self._known, self._group)
        ahead = _ahead(took)
        for tries in range(HOLD_TRIES):
            begun = self._known.estimate_step(loop.time() + ahead)
            step = begun + 1 + tries * 2
            if await self._switcher.hold(self._group, step):
                return step
        _log.info(
            'control: group %s could not be held, it was past step %d',
            self._group.name,
            step,
        )
        return None

    def _tell(
        self,
        version: int,
        step: int,
        prepared: float,
        armed: float,
    ) -> None:
        figures.MAP_SWITCHES.inc()
        log_events.tell(
            _log,
            log_events.Event.MAP,
            'control: group %s switches to map %d at step %d',
            self._group.name,
            version,
            step,
            group=self._group.name,
            map_version=version,
            step=step,
            step_ms=round(self._known.step_seconds * MILLISECONDS),
            prepare_ms=round(prepared * MILLISECONDS),
            arm_ms=round(armed * MILLISECONDS),
        )


async def time_step(
    asked: ranks.Ranks,
    known: group_state.GroupState,
    group: switching.Group,
) -> None:
    """Time steps anew: since a shift they may take three times as long."""
    report = await asked.report(group.serving[0])
    if report is None or report.epoch != group.epoch:
        return
    known.update_from(report, asyncio.get_running_loop().time())


def _ahead(took: float) -> float:
    """Return how far ahead the step of a switch lies, in seconds.

    ``took`` is how long it took until all ranks had a map.
    """
    if took >= LOST_ORDER_SECONDS:
        return min(MOST_AHEAD_SECONDS, took * LOST_AHEAD_SHARE)
    return max(LEAST_AHEAD_SECONDS, took * AHEAD_SHARE)
