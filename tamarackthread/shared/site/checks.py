"""Check the references between parts of a site's configuration."""

from __future__ import annotations

import collections.abc

from tamarackthread.shared import findings
from tamarackthread.shared.site import configuration

_Findings = collections.abc.Iterator[findings.Finding]


def check(config: configuration.Configuration) -> list[findings.Finding]:
    """Return all findings for which a configuration is rejected."""
    found: list[findings.Finding] = []
    services = {service.name for service in config.services}
    for number, route in enumerate(config.routes):
        found.extend(_check_route(f'$.routes.{number}', route, services))
    found.extend(_duplicate_routes(config.routes))
    found.extend(_shared_keys(config.organisations))
    return found


def _check_route(
    path: str,
    route: configuration.Route,
    services: set[str],
) -> _Findings:
    if route.timeout <= 0:
        yield _invalid(path, 'timeout must be more than 0')
    if not route.prefix.startswith('/') or not route.prefix.endswith('/'):
        yield _invalid(path, 'prefix must begin and end with a slash')
    for share in route.shares:
        if share.service not in services:
            yield _invalid(path, f'service "{share.service}" is unknown')
        if share.weight < 0:
            yield _invalid(path, 'weight must not be negative')
    if sum(part.weight for part in route.shares) <= 0:
        yield _invalid(path, 'weights add up to 0')


def _duplicate_routes(routes: tuple[configuration.Route, ...]) -> _Findings:
    seen: set[tuple[str, str]] = set()
    for number, route in enumerate(routes):
        pattern = (route.host, route.prefix)
        if pattern in seen:
            yield _invalid(
                f'$.routes.{number}',
                f'"{route.host}{route.prefix}" has a route already',
            )
        seen.add(pattern)


def _shared_keys(
    organisations: tuple[configuration.Organisation, ...],
) -> _Findings:
    owners: dict[str, str] = {}
    for number, organisation in enumerate(organisations):
        for key in organisation.keys:
            other = owners.setdefault(key, organisation.name)
            if other != organisation.name:
                # The key is a secret, so it is left out of the finding.
                yield _invalid(
                    f'$.organisations.{number}',
                    f'"{organisation.name}" shares a key with "{other}"',
                )


def _invalid(path: str, text: str) -> findings.Finding:
    return findings.Finding(path, findings.ValueInvalid.code, text)
