"""The configuration of a site, and the interface of its readers."""

from __future__ import annotations

import abc
import enum

import attrs

from tamarackthread.shared import connection_table


class RouteKind(enum.Enum):
    """Whether the calls of a route may be retried."""

    IDEMPOTENT = 'idempotent'
    ONCE = 'once'
    STREAM = 'stream'


@attrs.frozen
class TrafficShare:
    """Share of a route's calls that goes to a service."""

    service: str
    weight: float


@attrs.frozen(kw_only=True)
class Route:
    """Route of a host and a path prefix; priority 0 goes first.  Seconds:
    ``latency_goal`` to the first byte, ``gap`` between parts of a stream.
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    shares: tuple[TrafficShare, ...]
    timeout: float
    latency_goal: float
    attempts: int = 1
    priority: int = 0
    allows_anonymous: bool = False
    is_resumable: bool = False
    gap: float = 0

    @property
    def is_retryable(self) -> bool:
        """Return whether a call may run more than once; a resumed stream may,
        because it continues where it broke.
        """
        if self.kind is RouteKind.STREAM:
            return self.is_resumable
        return self.kind is RouteKind.IDEMPOTENT


@attrs.frozen(kw_only=True)
class ExpertLayout:
    """Bounds of an expert map: ``placements`` on a rank for each of its
    ``sets`` of layers, ``max_new`` of them new; ``slots`` calls, 0 if unknown.
    """

    sets: int
    experts: int
    placements: int
    max_new: int
    copy_seconds: float = 0
    slots: int = 0


@attrs.frozen(kw_only=True)
class StepTiming:
    """Step time of a service; ``empty`` is in seconds, without any call."""

    empty_seconds: float


@attrs.frozen(kw_only=True)
class Service:
    """Interchangeable targets; ``gap`` is a stream's longest pause in seconds,
    ``cold_rate`` the calls a second to one cold target; 0 is no limit.
    """

    name: str
    experts: ExpertLayout | None = None
    step_timing: StepTiming | None = None
    gap: float = 0
    cold_rate: float = 0


@attrs.frozen(kw_only=True)
class Organisation:
    """One organisation and its secret keys; priority 0 goes first."""

    name: str
    keys: frozenset[str]
    priority: int | None = None


@attrs.frozen(kw_only=True)
class Limits:
    """Limits of a request."""

    body_bytes: int = 4 << 20
    clients: connection_table.ClientLimits = connection_table.ClientLimits()


@attrs.frozen(kw_only=True)
class Configuration:
    """One version of the whole configuration."""

    version: int
    routes: tuple[Route, ...]
    services: tuple[Service, ...]
    organisations: tuple[Organisation, ...] = ()
    limits: Limits = Limits()

    def min_gap(self, service: str) -> float:
        """Return the shortest ``gap`` of a service's routes, 0 without any:
        ranks of a group step together, so the strictest route bounds all.
        """
        gaps = [
            route.gap
            for route in self.routes
            if route.gap
            and any(part.service == service for part in route.shares)
        ]
        return min(gaps, default=0)


class Reader(abc.ABC):
    """Parser of the format in which operators send a configuration."""

    @abc.abstractmethod
    def read(self, body: bytes) -> Configuration:
        """Parse a body; raise ``InvalidError`` with all findings."""
