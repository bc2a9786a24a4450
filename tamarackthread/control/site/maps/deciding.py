"""Decide whether another map pays for a group, and which."""

from __future__ import annotations

import asyncio
import logging

from tamarackthread.control.site.maps import (
    planning,
    ranks,
    switching,
    watched,
)
from tamarackthread.policy import group_planning, rebalancing
from tamarackthread.shared import log_events, offload
from tamarackthread.shared.site import figures

# A switch pays where the busiest rank has this much more than the mean; below,
# the copies cost more than the steps they shorten.
LEAST_SKEW = 1.45
LEAST_GAIN = 0.25
# It must also take so much off each step, an eighth of the pause that callers of
# a stream take, unless the group is full: each switch costs copies and an order
# to every rank twice over, and callers notice no less.
LEAST_SAVED_SECONDS = 0.015
# Steps that are expected to take less than this are short enough: less than half
# of the pause that callers of a stream take, so that one that reads a prompt and
# has a tenth of the group's work more is short of it too.
SHORT_STEP_SECONDS = 0.05
MILLISECONDS = 1000
_log = logging.getLogger('tamarackthread.control')


class Decider:
    """Plan maps that serve callers better, each by as few copies as do."""

    def __init__(self, work: offload.Offload) -> None:
        """Plan by ``work``, so that heartbeats go on meanwhile."""
        self._work = work

    async def plan(
        self,
        known: watched.Watched,
        group: switching.Group,
    ) -> ranks.GroupMap | None:
        """Return a better map, ``None`` where none pays."""
        if not known.demand.is_settled:
            return None
        # Made from choices of two demands, a map whose copies take long keeps the
        # group from the one that it needs until that is nearly over.
        if known.awaits_demand:
            return None
        tokens = known.demand.tokens
        paces = [report.pace for report in group.reports]
        now = planning.skew(known.placement, tokens, paces)
        figures.GROUP_SKEW.labels(group.name).set(now)
        if now < LEAST_SKEW:
            return None
        wanted, planned = await self._even(known, tokens, paces, now)
        copies = planning.copies(known.placement, wanted)
        most = planning.most_copies(known.placement, wanted)
        log_events.tell(
            _log,
            log_events.Event.PLAN,
            'control: group %s is uneven by %.2f, a map of %d copies has %.2f',
            group.name,
            now,
            copies,
            planned,
            group=group.name,
            skew=round(now, 2),
            planned=round(planned, 2),
            copies=copies,
            most_copies=most,
            step_ms=round(known.step_seconds * MILLISECONDS),
        )
        saved = known.step_seconds * (1 - planned / now)
        is_felt = known.is_full or saved >= LEAST_SAVED_SECONDS
        return wanted if is_felt and now - planned >= LEAST_GAIN else None

    async def _even(
        self,
        known: watched.Watched,
        tokens: planning.Tokens,
        paces: planning.Paces,
        now: float,
    ) -> tuple[ranks.GroupMap, float]:
        """Plan a map that makes steps short, with few copies if these do.

        Returns the map and its skew.

        Past the capacity steps are long with any map, and the last tenth of
        evenness is felt by every caller; else half of the copies are enough.
        """
        if known.has_long_copies:
            return await self._stage(known, tokens, paces)
        for least in (rebalancing.COARSE_MIN_GAIN, rebalancing.MIN_GAIN):
            bounds = rebalancing.Bounds(
                known.shape.places, known.shape.spare, least
            )
            wanted = await self._work.run(
                planning.plan, known.placement, tokens, bounds, paces
            )
            planned = planning.skew(wanted, tokens, paces)
            is_short = known.step_seconds * planned / now < SHORT_STEP_SECONDS
            if is_short and not known.is_full:
                break
        return wanted, planned

    async def _stage(
        self,
        known: watched.Watched,
        tokens: planning.Tokens,
        paces: planning.Paces,
    ) -> tuple[ranks.GroupMap, float]:
        """Plan a map whose copies take less time than it saves."""
        bounds = rebalancing.Bounds(known.shape.places, known.shape.spare)
        wanted = await self._work.run(
            group_planning.plan,
            known.placement,
            tokens,
            bounds,
            paces,
            known.cost(asyncio.get_running_loop().time()),
        )
        return wanted, planning.skew(wanted, tokens, paces)
