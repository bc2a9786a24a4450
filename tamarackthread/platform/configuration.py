"""Parse the platform's configuration."""

from __future__ import annotations

import collections.abc
import contextlib
import types
import typing

from tamarackthread.shared import (
    bounded_json,
    connection_table,
    fields,
    findings,
)
from tamarackthread.shared.site import checks
from tamarackthread.shared.site import configuration as site

MILLISECONDS = 1000
BITS_PER_BYTE = 8
_Row = dict[str, typing.Any]
_Item = typing.TypeVar('_Item')
_KINDS = types.MappingProxyType(
    {
        'idempotent': site.RouteKind.IDEMPOTENT,
        'non_idempotent': site.RouteKind.ONCE,
        'streaming': site.RouteKind.STREAM,
    },
)


class PlatformReader(site.Reader):
    """Parse a configuration in the platform's JSON format."""

    def read(self, body: bytes) -> site.Configuration:
        """Parse and check it; raise ``InvalidError`` with all findings."""
        found: list[findings.Finding] = []
        parsed = _parse(body, found)
        if parsed is not None and not found:
            found.extend(checks.check(parsed))
        if parsed is None or found:
            raise findings.InvalidError(found)
        return parsed


def _parse(
    body: bytes,
    found: list[findings.Finding],
) -> site.Configuration | None:
    with _collect_errors('$', findings.SyntaxInvalid.code, found):
        document = bounded_json.loads(body)
        version = document['version']
        if isinstance(version, bool) or not isinstance(version, int):
            raise ValueError('version is not an integer')
        return site.Configuration(
            version=version,
            routes=_parse_rows('routes', document['routes'], _route, found),
            services=_parse_rows(
                'services', document['services'], _service, found
            ),
            organisations=_parse_rows(
                'tenants', document.get('tenants') or (), _organisation, found
            ),
            limits=_limits(document.get('limits') or {}),
        )
    return None


def _parse_rows(
    name: str,
    rows: collections.abc.Iterable[_Row],
    read: collections.abc.Callable[[_Row], _Item],
    found: list[findings.Finding],
) -> tuple[_Item, ...]:
    """Parse a list; an invalid row becomes a finding and is skipped."""
    parsed = []
    for number, row in enumerate(rows):
        place = f'$.{name}.{number}'
        with _collect_errors(place, findings.ValueInvalid.code, found):
            parsed.append(read(row))
    return tuple(parsed)


def _route(row: _Row) -> site.Route:
    return site.Route(
        name=_string(row['name']),
        host=_string(row['host']).lower(),
        prefix=_string(row['path-prefix']),
        kind=_KINDS[row['kind']],
        shares=_shares(row),
        timeout=float(row['timeout-ms']) / MILLISECONDS,
        latency_goal=float(row.get('target-latency-ms') or 0) / MILLISECONDS,
        attempts=max(1, int(row.get('attempts') or 1)),
        priority=int(row.get('priority') or 0),
        allows_anonymous=bool(row.get('allow-anonymous')),
        is_resumable=bool(row.get('stream-resumption')),
        gap=float(row.get('gap-target-ms') or 0) / MILLISECONDS,
    )


def _shares(row: _Row) -> tuple[site.TrafficShare, ...]:
    """Parse the traffic split: one service, or several with weights."""
    parts = row.get('traffic-split')
    if not parts:
        return (site.TrafficShare(_string(row['service']), 1),)
    return tuple(
        site.TrafficShare(_string(part['service']), float(part['weight']))
        for part in parts
    )


def _service(row: _Row) -> site.Service:
    engine = row.get('engine') or {}
    return site.Service(
        name=_string(row['name']),
        experts=_experts(engine),
        step_timing=_step_timing(engine),
        cold_rate=float(row.get('cold-per-s') or 0),
    )


def _step_timing(engine: _Row) -> site.StepTiming | None:
    """Parse the duration of a pass, ``stride`` times that of a step."""
    if not engine.get('step_ms'):
        return None
    steps = int(engine.get('stride') or 1)
    return site.StepTiming(
        empty_seconds=steps * float(engine['step_ms']) / MILLISECONDS
    )


def _experts(engine: _Row) -> site.ExpertLayout | None:
    if not engine.get('experts') or not engine.get('sets'):
        return None
    return site.ExpertLayout(
        sets=int(engine['sets']),
        experts=int(engine['experts']),
        placements=int(engine['placements']),
        max_new=int(engine['spare']),
        copy_seconds=_copy_seconds(engine),
        slots=int(engine.get('slots') or 0),
    )


def _copy_seconds(engine: _Row) -> float:
    """Return the seconds to copy one expert over a rank's link."""
    megabits = float(engine.get('expert-mb') or 0) * BITS_PER_BYTE
    rate = float(engine.get('link-mbps') or 0)
    return megabits / rate if rate else 0


def _organisation(row: _Row) -> site.Organisation:
    priority = row.get('priority')
    return site.Organisation(
        name=_string(row['name']),
        keys=frozenset(_string(key) for key in row.get('api-keys') or ()),
        priority=None if priority is None else int(priority),
    )


def _limits(row: _Row) -> site.Limits:
    defaults = site.Limits()
    known = defaults.clients
    return site.Limits(
        body_bytes=int(row.get('max-body-bytes') or defaults.body_bytes),
        clients=connection_table.ClientLimits(
            header_bytes=int(row.get('max-header-bytes') or known.header_bytes),
            header_seconds=_seconds(
                row, 'header-timeout-ms', known.header_seconds
            ),
            idle_seconds=_seconds(row, 'idle-timeout-ms', known.idle_seconds),
        ),
    )


def _seconds(row: _Row, name: str, default: float) -> float:
    """Return a time limit, the default if it is missing or not positive."""
    milliseconds = float(row.get(name) or 0)
    return milliseconds / MILLISECONDS if milliseconds > 0 else default


def _string(value: typing.Any) -> str:
    if not isinstance(value, str):
        raise TypeError(f'{value!r} is not a string')
    return value


@contextlib.contextmanager
def _collect_errors(
    place: str,
    code: str,
    found: list[findings.Finding],
) -> collections.abc.Iterator[None]:
    """Turn a parse error into a finding at ``place``."""
    try:
        yield
    except fields.MISREAD_ERRORS as exc:
        found.append(findings.Finding(place, code, f'invalid, {exc!r}'))
