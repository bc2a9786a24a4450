"""Define the interface for querying the ranks of a group and ordering them."""

from __future__ import annotations

import abc
import enum

import attrs

from tamarackthread.policy import rebalancing

GroupMap = tuple[rebalancing.SetMap, ...]
# The version in force and a rank's experts by set.
Placement = tuple[int, tuple[tuple[int, ...], ...]]
# A rank answers within milliseconds; after a lost packet it takes longer, and the
# request is sent again.
ANSWER_TIMEOUT_SECONDS = 0.15


class Outcome(enum.Enum):
    """Result of an order.

    ``DONE``: carried out, begun, or in effect already.  ``REFUSED``: rejected
    without effect.  ``OUTDATED``: rejected, as the rank has seen a higher fence.
    ``UNKNOWN``: no response; the rank may still carry it out later.
    """

    DONE = 'done'
    REFUSED = 'refused'
    OUTDATED = 'outdated'
    UNKNOWN = 'unknown'


@attrs.frozen
class Armed:
    """A switch that a rank makes at the start of a step."""

    version: int
    step: int


@attrs.frozen(kw_only=True)
class RankReport:
    """Status of a rank, some hundred milliseconds old.

    ``prepared`` is the version whose experts are all copied, and ``held`` the
    step that the group must not begin.  A ``pace`` of 2 means twice the usual
    time.  ``born`` identifies the start of the target, 0 if unknown.
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
    """Number of choices of each expert, by set, since a rank's start."""

    epoch: int
    by_set: tuple[tuple[int, ...], ...]
    born: int = 0

    def is_same_start(self, other: Counts) -> bool:
        """Return whether both readings are of the same start and epoch."""
        return self.epoch == other.epoch and self.born == other.born


@attrs.frozen
class Rank:
    """Address of a rank, which takes no calls while its zone is evacuated."""

    target: str
    address: str
    takes_calls: bool = True


@attrs.frozen(kw_only=True)
class Order:
    """An order to a rank, valid only under the highest ``fence`` seen."""

    operation: str
    epoch: int
    fence: int
    version: int = 0
    step: int = 0
    placement: GroupMap = ()
    timeout_seconds: float = ANSWER_TIMEOUT_SECONDS


PREPARE = 'prepare'
ARM = 'arm'
DISARM = 'disarm'
HOLD = 'hold'
GO = 'go'


class Ranks(abc.ABC):
    """Query ranks and send orders; a silent rank raises no exception."""

    @abc.abstractmethod
    async def report(self, rank: Rank) -> RankReport | None:
        """Return the rank's report, ``None`` without a response."""

    async def read_back(self, rank: Rank) -> RankReport | None:
        """Return a report that can't be an earlier one, sent again late."""
        return await self.report(rank)

    @abc.abstractmethod
    async def counts(self, rank: Rank, sets: int) -> Counts | None:
        """Return the choices in ``sets`` sets, ``None`` without a response."""

    @abc.abstractmethod
    async def placement(self, rank: Rank) -> Placement | None:
        """Return the version in force and the rank's experts by set."""

    @abc.abstractmethod
    def stall_seconds(self, numbers: int) -> float:
        """Return how long reading ``numbers`` values of a rank stalls its group."""

    @abc.abstractmethod
    async def order(self, rank: Rank, order: Order) -> Outcome:
        """Send an order once and return what is known of its outcome."""

    @abc.abstractmethod
    async def close(self) -> None:
        """Close all connections."""
