"""Check the values of a site's configuration and their references."""

from __future__ import annotations

import collections.abc
import math

from tamarackthread.shared import fields, findings
from tamarackthread.shared.site import configuration

_Findings = collections.abc.Iterator[findings.Finding]


def check(config: configuration.Configuration) -> list[findings.Finding]:
    """Return all findings for which a configuration is rejected."""
    found: list[findings.Finding] = []
    if config.version > fields.MAX_INT64:
        found.append(_invalid('$.version', 'does not fit into 64 bits'))
    services = {service.name for service in config.services}
    for number, route in enumerate(config.routes):
        found.extend(_check_route(f'$.routes.{number}', route, services))
    for number, service in enumerate(config.services):
        found.extend(_check_service(f'$.services.{number}', service))
    for number, organisation in enumerate(config.organisations):
        found.extend(
            _check_organisation(f'$.organisations.{number}', organisation)
        )
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
    yield from _check_numbers(
        path, route.timeout, route.latency_goal, route.gap
    )
    yield from _check_texts(path, route.name, route.host, route.prefix)
    if not route.prefix.startswith('/') or not route.prefix.endswith('/'):
        yield _invalid(path, 'prefix must begin and end with a slash')
    for share in route.shares:
        if share.service not in services:
            yield _invalid(path, f'service "{share.service}" is unknown')
        if share.weight < 0:
            yield _invalid(path, 'weight must not be negative')
        yield from _check_numbers(path, share.weight)
    if sum(part.weight for part in route.shares) <= 0:
        yield _invalid(path, 'weights add up to 0')


def _check_service(path: str, service: configuration.Service) -> _Findings:
    yield from _check_texts(path, service.name)
    yield from _check_numbers(path, service.cold_rate)
    if service.experts is not None:
        yield from _check_numbers(path, service.experts.copy_seconds)
    if service.step_timing is not None:
        yield from _check_numbers(path, service.step_timing.empty_seconds)


def _check_organisation(
    path: str, organisation: configuration.Organisation
) -> _Findings:
    yield from _check_texts(path, *organisation.keys)
    # Targets get the name in a header.
    if not fields.is_sendable(organisation.name):
        yield _invalid(path, 'name has characters that can not be sent')


def _check_numbers(path: str, *numbers: float) -> _Findings:
    if not all(math.isfinite(number) for number in numbers):
        yield _invalid(path, 'number must be finite')


def _check_texts(path: str, *texts: str) -> _Findings:
    # The text itself is left out: it may be a secret.
    if not all(fields.is_encodable(text) for text in texts):
        yield _invalid(path, 'text has half a pair of surrogates')


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
