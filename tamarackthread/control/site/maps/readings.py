"""Read a group's map and its experts' demand from the ranks."""

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

# Fraction of ranks sampled while demand is stable and otherwise.  Reading stalls
# the group, and calls spread evenly, so a small sample is representative.
SETTLED_FRACTION = 0.03
UNSETTLED_FRACTION = 0.08
MIN_UNSETTLED_RANKS = 3


async def read_placement(
    client: ranks.Ranks,
    state: group_state.GroupState,
    group: switching.Group,
) -> bool:
    """Read the map in force if it is unknown; return whether it is known."""
    if state.epoch == group.epoch and state.version >= group.version:
        return True
    found = await _placements(client, state, group)
    if None in found or len({row[0] for row in found}) != 1:
        return False
    state.epoch = group.epoch
    state.version = found[0][0]
    by_rank = [row[1] for row in found]
    state.placement = tuple(
        tuple(experts) for experts in zip(*by_rank, strict=True)
    )
    return True


async def read_demand(
    client: ranks.Ranks,
    state: group_state.GroupState,
    group: switching.Group,
) -> None:
    """Add the counts of a sample of ranks to the group's demand."""
    sample = group.serving[: _rank_count(client, state, group)]
    found = await asyncio.gather(
        *(client.counts(member, len(state.placement)) for member in sample)
    )
    state.demand.add_counts(
        {
            member.target: counts
            for member, counts in zip(sample, found, strict=True)
            if counts is not None
        },
        asyncio.get_running_loop().time(),
    )


async def _placements(
    client: ranks.Ranks,
    state: group_state.GroupState,
    group: switching.Group,
) -> list[ranks.Placement | None]:
    """Read the experts of each rank, in batches that bound the stall."""
    numbers = state.shape.sets * state.shape.placements
    batch_size = state.max_parallel_reads(client.stall_seconds(numbers))
    found: list[ranks.Placement | None] = []
    for members in _batches(group.members, batch_size):
        if found:
            await asyncio.sleep(state.read_spacing)
        found.extend(await group_discovery.ask_all(client.placement, members))
    return found


def _batches(
    members: tuple[ranks.Rank, ...],
    batch_size: int | None,
) -> collections.abc.Iterator[tuple[ranks.Rank, ...]]:
    size = batch_size or len(members)
    for first in range(0, len(members), size):
        yield members[first : first + size]


def _rank_count(
    client: ranks.Ranks,
    state: group_state.GroupState,
    group: switching.Group,
) -> int:
    """Return the size of the sample."""
    size = len(group.members)
    sample_size = max(MIN_UNSETTLED_RANKS, math.ceil(size * UNSETTLED_FRACTION))
    if state.demand.is_settled:
        sample_size = math.ceil(size * SETTLED_FRACTION)
    numbers = state.shape.sets * state.shape.experts
    return min(
        sample_size,
        state.max_parallel_reads(client.stall_seconds(numbers)) or size,
    )
