"""Define what an adapter asks and orders of the ranks of a group."""

from __future__ import annotations

import abc
import enum

import attrs

from tamarackthread.policy import rebalancing

GroupMap = tuple[rebalancing.SetMap, ...]
# The version in force and a rank's experts by set.
Placement = tuple[int, tuple[tuple[int, ...], ...]]
# A rank answers within some milliseconds, and one whose link has lost a packet
# after a fifth of a second.
PATIENCE_SECONDS = 0.15


class Outcome(enum.Enum):
    """Say what became of an order.

    ``DONE``: carried out, begun or the state holds already.  ``REFUSED``: the
    rank said no and does nothing.  ``OUTDATED``: the same, because it has
    seen a later owner's fence.  ``UNKNOWN``: no answer, so the rank may
    carry it out now, seconds later, or never.
    """

    DONE = 'done'
    REFUSED = 'refused'
    OUTDATED = 'outdated'
    UNKNOWN = 'unknown'


@attrs.frozen
class Armed:
    """A switch that a rank makes as a step begins."""

    version: int
    step: int


@attrs.frozen(kw_only=True)
class RankReport:
    """What a rank tells of itself, as of some hundred milliseconds ago.

    ``prepared`` is the version whose experts it has whole, ``held`` the step
    that its group does not begin, both ``None`` if there is none.  A ``pace``
    of 2 means that it takes twice as long as usual.  ``born`` tells its starts
    apart, 0 where it does not say.
    """

    group: str
    epoch: int
    rank: int
    size: int
    is_open: bool
    step: int
    version: int
    prepared: int | None = None
    armed: Armed | None = None
    held: int | None = None
    pace: float = 1
    running: int = 0
    waiting: int = 0
    born: int = 0


@attrs.frozen
class Counts:
    """How often a rank's calls chose each expert, by set, since a start."""

    epoch: int
    by_set: tuple[tuple[int, ...], ...]
    born: int = 0

    def is_of_start(self, other: Counts) -> bool:
        """Tell whether two readings are of one start, so that they differ."""
        return self.epoch == other.epoch and self.born == other.born


@attrs.frozen
class Rank:
    """Where a rank is reached, and which start of it is meant.

    A rank whose zone is evacuated goes on in its group, which needs its experts,
    but ``takes_calls`` no longer.
    """

    target: str
    address: str
    takes_calls: bool = True


@attrs.frozen(kw_only=True)
class Order:
    """One order; ``fence`` grows with each owner.

    ``operation`` is one of the constants below.  An answer is waited for up to
    ``patience`` seconds.
    """

    operation: str
    epoch: int
    fence: int
    version: int = 0
    step: int = 0
    placement: GroupMap = ()
    patience: float = PATIENCE_SECONDS


PREPARE = 'prepare'
ARM = 'arm'
DISARM = 'disarm'
HOLD = 'hold'
GO = 'go'


class Ranks(abc.ABC):
    """Ask and order ranks; no method raises for a rank that is silent."""

    @abc.abstractmethod
    async def report(self, rank: Rank) -> RankReport | None:
        """Ask a rank of itself, ``None`` without an answer."""

    @abc.abstractmethod
    async def counts(self, rank: Rank, sets: int) -> Counts | None:
        """Ask for the choices in so many sets, ``None`` without an answer."""

    @abc.abstractmethod
    async def placement(self, rank: Rank) -> Placement | None:
        """Ask for the version in force and the rank's experts by set."""

    @abc.abstractmethod
    def rest_seconds(self, numbers: int) -> float:
        """Return how long a group rests while so many numbers are read.

        All its ranks rest for each rank that is read, one after the other.
        """

    @abc.abstractmethod
    async def order(self, rank: Rank, asked: Order) -> Outcome:
        """Send an order once and tell what is known of it."""

    @abc.abstractmethod
    async def close(self) -> None:
        """Close all connections."""
