"""Release groups that an earlier owner or a late order has left held."""

from __future__ import annotations

import asyncio
import logging

from tamarackthread.control.site.maps import group_discovery, ranks, switching
from tamarackthread.shared import log_events

# Fences and map versions available to one term.  A fence is used for each rolled
# back switch, a version for each map.
FENCES_PER_TERM = 1_000_000
_log = logging.getLogger('tamarackthread.control')


class OwnerFences:
    """Issue the owner's fences, which rise with each term and rollback."""

    def __init__(self) -> None:
        """Start without rollbacks."""
        self._rollbacks = 0
        self._is_outdated = False

    @property
    def is_outdated(self) -> bool:
        """Return whether a rank has seen a later owner's orders."""
        return self._is_outdated

    def current(self, term: int) -> int:
        """Return the current fence."""
        return term * FENCES_PER_TERM + self._rollbacks

    def advance(self) -> None:
        """Raise the fence, so that ranks refuse all earlier orders."""
        self._rollbacks += 1

    def observe(self, switcher: switching.Switcher) -> None:
        """Record whether a rank refused the switcher's fence as outdated."""
        self._is_outdated |= switcher.is_outdated


async def complete_switch(
    client: ranks.Ranks,
    fences: OwnerFences,
    term: int,
    group: switching.Group,
    step: int,
) -> bool:
    """Complete or roll back a held switch; return whether it was released."""
    log_events.emit(
        _log,
        log_events.Event.HELD,
        'control: group %s is held at %d',
        group.name,
        step,
        level=logging.WARNING,
        group=group.name,
        step=step,
    )
    switcher = switching.Switcher(client, fences.current(term))
    is_fenced = await switcher.fence(group, step)
    fences.observe(switcher)
    if not is_fenced:
        return False
    await asyncio.sleep(switching.REPORT_LAG_SECONDS)
    fenced = await group_discovery.refresh(client, group)
    if fenced is None:
        return False
    if fenced.armed is None:
        return await switcher.release(fenced, step, fenced.members)
    if await switcher.finish(fenced, fenced.armed, fenced.members):
        return True
    fences.advance()
    rollback = switching.Switcher(client, fences.current(term))
    is_rolled_back = await rollback.roll_back(fenced, fenced.armed)
    _log.warning(
        'control: the switch of group %s at step %d was %s',
        group.name,
        step,
        'rolled back' if is_rolled_back else 'left to the next discovery',
    )
    return is_rolled_back
