"""Check how the parts of a site's configuration fit together."""

from __future__ import annotations

import collections.abc

from tamarackthread.shared import findings
from tamarackthread.shared.site import configuration

_Findings = collections.abc.Iterator[findings.Finding]


def check(held: configuration.Configuration) -> list[findings.Finding]:
    """Return everything that keeps a configuration from being accepted."""
    found: list[findings.Finding] = []
    services = {service.name for service in held.services}
    for number, route in enumerate(held.routes):
        found.extend(_route(f'$.routes.{number}', route, services))
    found.extend(_places(held.routes))
    found.extend(_keys(held.organisations))
    return found


def _route(
    place: str,
    route: configuration.Route,
    services: set[str],
) -> _Findings:
    if route.timeout <= 0:
        yield _invalid(place, 'time-out must be more than 0')
    if not route.prefix.startswith('/') or not route.prefix.endswith('/'):
        yield _invalid(place, 'prefix must begin and end with a slash')
    for share in route.shares:
        if share.service not in services:
            yield _invalid(place, f'service "{share.service}" is unknown')
        if share.weight < 0:
            yield _invalid(place, 'weight must not be negative')
    if sum(part.weight for part in route.shares) <= 0:
        yield _invalid(place, 'weights add up to 0')


def _places(routes: tuple[configuration.Route, ...]) -> _Findings:
    seen: set[tuple[str, str]] = set()
    for number, route in enumerate(routes):
        place = (route.host, route.prefix)
        if place in seen:
            yield _invalid(
                f'$.routes.{number}',
                f'"{route.host}{route.prefix}" has a route already',
            )
        seen.add(place)


def _keys(
    organisations: tuple[configuration.Organisation, ...],
) -> _Findings:
    owners: dict[str, str] = {}
    for number, organisation in enumerate(organisations):
        for key in organisation.keys:
            other = owners.setdefault(key, organisation.name)
            if other != organisation.name:
                # The key is a secret and stays out of the report.
                yield _invalid(
                    f'$.organisations.{number}',
                    f'"{organisation.name}" shares a key with "{other}"',
                )


def _invalid(place: str, text: str) -> findings.Finding:
    return findings.Finding(place, findings.ValueInvalid.code, text)
