"""Find the route and the organisation of a call."""

from __future__ import annotations

import random

import attrs

from tamarackthread.entry.direct import failures
from tamarackthread.shared.site import configuration


@attrs.frozen
class Found:
    """Be where a call goes, and for whom."""

    route: configuration.Route
    organisation: str
    priority: int


class Table:
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

    def find(self, host: str, path: str, key: str) -> Found:
        """Find a call's place; raise ``RouteUnknown`` or ``KeyUnknown``."""
        route = self._route(host, path)
        if route is None:
            raise failures.RouteUnknown(f'{host}{path}')
        owner = self._owners.get(key)
        if owner is None:
            if self._held.organisations and not route.is_open:
                raise failures.KeyUnknown
            return Found(route, '', route.priority)
        priority = route.priority
        if owner.priority is not None:
            priority = owner.priority
        return Found(route, owner.name, priority)

    def _route(self, host: str, path: str) -> configuration.Route | None:
        """Take the longest prefix; each begins and ends with a slash."""
        end = path.rfind('/')
        while end >= 0:
            found = self._routes.get((host, path[: end + 1]))
            if found is not None:
                return found
            end = path.rfind('/', 0, end)
        return None


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
