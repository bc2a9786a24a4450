"""Hold one whole configuration of a site, and how it is read."""

from __future__ import annotations

import abc
import enum

import attrs


class Kind(enum.Enum):
    """Say what of a route's calls may be repeated."""

    IDEMPOTENT = 'idempotent'
    ONCE = 'once'
    STREAM = 'stream'


@attrs.frozen
class TrafficShare:
    """One service's part of a route's calls."""

    service: str
    weight: float


@attrs.frozen(kw_only=True)
class Route:
    """Say where calls for a host and a path prefix go.

    ``attempts`` is how many targets one call may be sent to, ``timeout`` how
    long it is kept waiting and ``aim`` the time to its first byte that its
    caller hopes for, both in seconds.  A lower ``priority`` goes first.
    """

    name: str
    host: str
    prefix: str
    kind: Kind
    shares: tuple[TrafficShare, ...]
    timeout: float
    latency_goal: float
    attempts: int = 1
    priority: int = 0
    is_open: bool = False
    is_resumable: bool = False
    gap: float = 0

    @property
    def may_repeat(self) -> bool:
        """Tell whether a call may run more than once.

        A stream that can be resumed continues its answer elsewhere, so a
        second run gives the caller nothing twice.
        """
        if self.kind is Kind.STREAM:
            return self.is_resumable
        return self.kind is Kind.IDEMPOTENT


@attrs.frozen(kw_only=True)
class ExpertLayout:
    """Say what an expert map of a service's groups may look like.

    ``places`` is how many experts a rank holds in each of ``sets`` sets of
    layers, ``spare`` how many of them one map may bring new to it, and
    ``copy_seconds`` how long a rank takes to copy one.  ``slots`` is how many
    calls a rank runs at once, 0 where nobody says so.
    """

    sets: int
    experts: int
    places: int
    spare: int
    copy_seconds: float = 0
    slots: int = 0


@attrs.frozen(kw_only=True)
class StepTiming:
    """Say how long the targets of a service take to make a piece of a stream.

    ``empty`` is how long a pass takes without any call's work, in seconds.
    """

    empty: float


@attrs.frozen(kw_only=True)
class Service:
    """A set of targets that answer alike.

    ``experts`` is there where its targets are ranks of groups, and ``passes``
    where they say how long they take.  ``gap`` is the longest pause in seconds
    that the callers of any of its streams take without harm, 0 where none says
    so.  ``cold_rate`` is how many calls a second one of its targets takes from
    all entries together while it is cold, 0 without a limit.
    """

    name: str
    experts: ExpertLayout | None = None
    passes: StepTiming | None = None
    gap: float = 0
    cold_rate: float = 0


@attrs.frozen(kw_only=True)
class Organisation:
    """One organisation, its secret keys and its rank; 0 goes first."""

    name: str
    keys: frozenset[str]
    priority: int | None = None


@attrs.frozen(kw_only=True)
class Limits:
    """Bound what a caller may send."""

    body_bytes: int = 4 << 20


@attrs.frozen(kw_only=True)
class Configuration:
    """Everything that is in force under one version."""

    version: int
    routes: tuple[Route, ...]
    services: tuple[Service, ...]
    organisations: tuple[Organisation, ...] = ()
    limits: Limits = Limits()

    def min_gap(self, service: str) -> float:
        """Return the shortest pause that a stream at a service may have.

        The ranks of a group advance together, so the most impatient callers
        bound what any of them may do to the rest; 0 without any bound.
        """
        gaps = [
            route.gap
            for route in self.routes
            if route.gap
            and any(part.service == service for part in route.shares)
        ]
        return min(gaps, default=0)


class Reader(abc.ABC):
    """Read a configuration in the form in which operators send it."""

    @abc.abstractmethod
    def read(self, body: bytes) -> Configuration:
        """Read all of it; raise ``InvalidError`` with all findings."""
