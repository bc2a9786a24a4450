"""Let go groups that an earlier owner, or a late order, has left held."""

from __future__ import annotations

import asyncio
import logging

from tamarackthread.control.site.maps import group_discovery, ranks, switching
from tamarackthread.shared import log_events

# A term has this many fences, one more for each switch that is taken back, and as
# many versions of maps: at one switch a second, those of eleven days.
FENCES_PER_TERM = 1_000_000
_log = logging.getLogger('tamarackthread.control')


class OwnerFences:
    """Give out the fences of one owner: higher with each term and taking back."""

    def __init__(self) -> None:
        """Begin with nothing taken back."""
        self._taken_back = 0
        self._is_outdated = False

    @property
    def is_outdated(self) -> bool:
        """Tell whether a rank has seen the orders of a later owner."""
        return self._is_outdated

    def current(self, term: int) -> int:
        """Return the fence in use."""
        return term * FENCES_PER_TERM + self._taken_back

    def advance(self) -> None:
        """Have all that is ordered from now on shut out what was before."""
        self._taken_back += 1

    def observe(self, switcher: switching.Switcher) -> None:
        """Take what the ranks have said to a switcher."""
        self._is_outdated |= switcher.is_outdated


async def complete_switch(
    asked: ranks.Ranks,
    fences: OwnerFences,
    term: int,
    group: switching.Group,
    step: int,
) -> bool:
    """Bring a switch to its end, or take it back, at a step that is held.

    Returns whether the group was let go.
    """
    log_events.tell(
        _log,
        log_events.Event.HELD,
        'control: group %s is held at %d',
        group.name,
        step,
        level=logging.WARNING,
        group=group.name,
        step=step,
    )
    switcher = switching.Switcher(asked, fences.current(term))
    is_fenced = await switcher.fence(group, step)
    fences.observe(switcher)
    if not is_fenced:
        return False
    await asyncio.sleep(switching.LAG_SECONDS)
    fenced = await group_discovery.refresh(asked, group)
    if fenced is None:
        return False
    if fenced.armed is None:
        return await switcher.release(fenced, step, fenced.members)
    if await switcher.finish(fenced, fenced.armed, fenced.members):
        return True
    fences.advance()
    higher = switching.Switcher(asked, fences.current(term))
    is_back = await higher.roll_back(fenced, fenced.armed)
    _log.warning(
        'control: the switch of group %s at step %d was %s',
        group.name,
        step,
        'taken back' if is_back else 'left to the next look',
    )
    return is_back
