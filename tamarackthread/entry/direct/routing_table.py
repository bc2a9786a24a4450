"""Find the route and the organisation of a call."""

from __future__ import annotations

import asyncio
import contextlib
import random

import attrs

from tamarackthread.entry.direct import failures
from tamarackthread.shared.site import configuration

# A process that has just started has a configuration soon, if at all.
NOT_YET_SECONDS = 0.5


@attrs.frozen
class RouteMatch:
    """Where a call goes, and for whom."""

    route: configuration.Route
    organisation: str
    priority: int


class RoutingTable:
    """Answer from one configuration, with an index for each question."""

    def __init__(self, held: configuration.Configuration) -> None:
        """Index a configuration."""
        self._held = held
        self._routes: dict[tuple[str, str], configuration.Route] = {}
        self._owners: dict[str, configuration.Organisation] = {}
        for route in held.routes:
            self._routes[route.host, route.prefix] = route
        for organisation in held.organisations:
            for key in organisation.keys:
                self._owners[key] = organisation

    @property
    def version(self) -> int:
        """Return the configuration's version."""
        return self._held.version

    @property
    def held(self) -> configuration.Configuration:
        """Return the configuration."""
        return self._held

    def find(self, host: str, path: str, key: str) -> RouteMatch:
        """Find a call's place; raise ``RouteUnknown`` or ``KeyUnknown``."""
        route = self._route(host, path)
        if route is None:
            raise failures.RouteUnknown(f'{host}{path}')
        owner = self._owners.get(key)
        if owner is None:
            if self._held.organisations and not route.is_open:
                raise failures.KeyUnknown
            return RouteMatch(route, '', route.priority)
        priority = route.priority
        if owner.priority is not None:
            priority = owner.priority
        return RouteMatch(route, owner.name, priority)

    def _route(self, host: str, path: str) -> configuration.Route | None:
        """Take the longest prefix; each begins and ends with a slash."""
        end = path.rfind('/')
        while end >= 0:
            found = self._routes.get((host, path[: end + 1]))
            if found is not None:
                return found
            end = path.rfind('/', 0, end)
        return None


class CurrentTable:
    """Hold the table in force, and let calls wait for the first one."""

    def __init__(self) -> None:
        """Begin without a table."""
        self._current: RoutingTable | None = None
        self._first = asyncio.Event()

    @property
    def current(self) -> RoutingTable | None:
        """Return the table in force, ``None`` before the first."""
        return self._current

    def put(self, fresh: RoutingTable) -> None:
        """Put a table in force."""
        self._current = fresh
        self._first.set()

    async def wait(self, seconds: float) -> RoutingTable:
        """Return the table; raise ``NoConfiguration`` if there is none yet."""
        if self._current is None:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(seconds):
                    await self._first.wait()
        if self._current is None:
            raise failures.NoConfiguration(retry_after=NOT_YET_SECONDS)
        return self._current


def pick_service(
    route: configuration.Route,
    generator: random.Random,
) -> str:
    """Draw one of the route's services by their weights."""
    if len(route.shares) == 1:
        return route.shares[0].service
    names = [share.service for share in route.shares]
    weights = [share.weight for share in route.shares]
    return generator.choices(names, weights)[0]
