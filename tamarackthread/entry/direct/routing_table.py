"""Find the route and the organisation of a call."""

from __future__ import annotations

import asyncio
import contextlib
import random

import attrs

from tamarackthread.entry.direct import failures
from tamarackthread.shared.site import configuration

NO_CONFIGURATION_RETRY_AFTER_SECONDS = 0.5


@attrs.frozen
class RouteMatch:
    """The route, organisation and priority of a call."""

    route: configuration.Route
    organisation: str
    priority: int


class RoutingTable:
    """Index the routes and keys of one configuration."""

    def __init__(self, config: configuration.Configuration) -> None:
        """Build the indexes."""
        self._config = config
        self._routes: dict[tuple[str, str], configuration.Route] = {}
        self._owners: dict[str, configuration.Organisation] = {}
        for route in config.routes:
            self._routes[route.host, route.prefix] = route
        for organisation in config.organisations:
            for key in organisation.keys:
                self._owners[key] = organisation

    @property
    def version(self) -> int:
        """Return the configuration's version."""
        return self._config.version

    @property
    def config(self) -> configuration.Configuration:
        """Return the configuration."""
        return self._config

    def find(self, host: str, path: str, key: str) -> RouteMatch:
        """Match a call; raise ``RouteUnknown`` or ``KeyUnknown``."""
        route = self._route(host, path)
        if route is None:
            raise failures.RouteUnknown(f'{host}{path}')
        owner = self._owners.get(key)
        if owner is None:
            if self._config.organisations and not route.allows_anonymous:
                raise failures.KeyUnknown
            return RouteMatch(route, '', route.priority)
        priority = route.priority
        if owner.priority is not None:
            priority = owner.priority
        return RouteMatch(route, owner.name, priority)

    def _route(self, host: str, path: str) -> configuration.Route | None:
        """Return the route with the longest prefix that matches a path."""
        # Prefixes begin and end with a slash.
        end = path.rfind('/')
        while end >= 0:
            route = self._routes.get((host, path[: end + 1]))
            if route is not None:
                return route
            end = path.rfind('/', 0, end)
        return None


class CurrentTable:
    """Hold the routing table in force; calls can wait for the first one."""

    def __init__(self) -> None:
        """Start without a table."""
        self._current: RoutingTable | None = None
        self._first = asyncio.Event()

    @property
    def current(self) -> RoutingTable | None:
        """Return the table in force, ``None`` before the first."""
        return self._current

    def put(self, table: RoutingTable) -> None:
        """Put a table in force."""
        self._current = table
        self._first.set()

    async def wait(self, seconds: float) -> RoutingTable:
        """Return the table; raise ``NoConfiguration`` if it does not arrive."""
        if self._current is None:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(seconds):
                    await self._first.wait()
        if self._current is None:
            raise failures.NoConfiguration(
                retry_after=NO_CONFIGURATION_RETRY_AFTER_SECONDS
            )
        return self._current


def pick_service(
    route: configuration.Route,
    generator: random.Random,
) -> str:
    """Choose one of the route's services at random, by their weights."""
    if len(route.shares) == 1:
        return route.shares[0].service
    names = [share.service for share in route.shares]
    weights = [share.weight for share in route.shares]
    return generator.choices(names, weights)[0]
