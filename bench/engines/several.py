"""Several emulated groups of one service, which one owner asks and orders."""

from __future__ import annotations

import collections.abc

import attrs

from tamarackthread.control.site.maps import ranks


class Several(ranks.Ranks):
    """Pass on what is asked of a rank to its group.

    An address is the group's number and the rank's address in it.
    """

    def __init__(self, groups: collections.abc.Sequence[ranks.Ranks]) -> None:
        """Take groups that are emulated by themselves."""
        self.groups = groups

    def members(self, service: str) -> list[ranks.Rank]:
        """List the ranks of all groups."""
        return [
            ranks.Rank(f'{number}-{rank.target}', f'{number}-{rank.address}')
            for number, group in enumerate(self.groups)
            for rank in group.members(service)
        ]

    def record_pace(self, target: str, pace: float) -> None:
        """Take how fast a target is, which nobody looks at here."""

    async def report(self, rank: ranks.Rank) -> ranks.RankReport | None:
        """Ask a rank of itself."""
        number, there = _place(rank)
        found = await self.groups[number].report(there)
        return found and attrs.evolve(found, group=f'g{number}')

    async def counts(self, rank: ranks.Rank, sets: int) -> ranks.Counts | None:
        """Ask for the choices."""
        number, there = _place(rank)
        return await self.groups[number].counts(there, sets)

    async def placement(self, rank: ranks.Rank) -> ranks.Placement | None:
        """Ask for the map."""
        number, there = _place(rank)
        return await self.groups[number].placement(there)

    async def order(
        self,
        rank: ranks.Rank,
        asked: ranks.Order,
    ) -> ranks.Outcome:
        """Send an order."""
        number, there = _place(rank)
        return await self.groups[number].order(there, asked)

    def stall_seconds(self, numbers: int) -> float:
        """Return how long a group rests while numbers are read."""
        return self.groups[0].stall_seconds(numbers)

    async def close(self) -> None:
        """Close all groups."""
        for group in self.groups:
            await group.close()


def _place(rank: ranks.Rank) -> tuple[int, ranks.Rank]:
    number, _, address = rank.address.partition('-')
    _, _, target = rank.target.partition('-')
    return int(number), ranks.Rank(target, address)
