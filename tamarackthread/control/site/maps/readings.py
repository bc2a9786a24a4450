"""Learn a group's map and the demand for its experts from its ranks."""

from __future__ import annotations

import asyncio
import collections.abc
import math

from tamarackthread.control.site.maps import (
    group_discovery,
    group_state,
    ranks,
    switching,
)

# Ranks whose counts are read.  Calls are spread evenly, so what one rank chooses
# in a second is like the choices of the rest, and a few show that nothing has
# shifted.  Reading is charged for and rests the group, so more
# are read only while demand is not known well.  A large group needs more: its
# even maps are made for more experts, each of which is chosen less often.
CALM_SHARE = 0.03
ALERT_SHARE = 0.08
LEAST_ALERT = 3


async def read_placement(
    asked: ranks.Ranks,
    known: group_state.GroupState,
    group: switching.Group,
) -> bool:
    """Read the map in force unless the owner has put it there.

    Returns whether it is known.
    """
    if known.epoch == group.epoch and known.version >= group.version:
        return True
    found = await _placements(asked, known, group)
    if None in found or len({row[0] for row in found}) != 1:
        return False
    known.epoch = group.epoch
    known.version = found[0][0]
    by_rank = [row[1] for row in found]
    known.placement = tuple(
        tuple(experts) for experts in zip(*by_rank, strict=True)
    )
    return True


async def read_demand(
    asked: ranks.Ranks,
    known: group_state.GroupState,
    group: switching.Group,
) -> None:
    """Read the counts of some ranks into what is known of the demand."""
    sample = group.serving[: _sample_size(asked, known, group)]
    found = await asyncio.gather(
        *(asked.counts(member, len(known.placement)) for member in sample)
    )
    known.demand.add_counts(
        {
            member.target: counts
            for member, counts in zip(sample, found, strict=True)
            if counts is not None
        },
        asyncio.get_running_loop().time(),
    )


async def _placements(
    asked: ranks.Ranks,
    known: group_state.GroupState,
    group: switching.Group,
) -> list[ranks.Placement | None]:
    """Read what each rank holds, a few ranks at a time."""
    numbers = known.shape.sets * known.shape.places
    at_once = known.max_parallel_reads(asked.stall_seconds(numbers))
    found: list[ranks.Placement | None] = []
    for members in _batches(group.members, at_once):
        if found:
            await asyncio.sleep(known.read_spacing)
        found.extend(await group_discovery.ask_all(asked.placement, members))
    return found


def _batches(
    members: tuple[ranks.Rank, ...],
    at_once: int | None,
) -> collections.abc.Iterator[tuple[ranks.Rank, ...]]:
    size = at_once or len(members)
    for first in range(0, len(members), size):
        yield members[first : first + size]


def _sample_size(
    asked: ranks.Ranks,
    known: group_state.GroupState,
    group: switching.Group,
) -> int:
    """Return how many ranks to read."""
    size = len(group.members)
    wanted = max(LEAST_ALERT, math.ceil(size * ALERT_SHARE))
    if known.demand.is_settled:
        wanted = math.ceil(size * CALM_SHARE)
    numbers = known.shape.sets * known.shape.experts
    return min(
        wanted, known.max_parallel_reads(asked.stall_seconds(numbers)) or size
    )
