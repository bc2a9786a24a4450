"""Read the platform's configuration."""

from __future__ import annotations

import collections.abc
import contextlib
import json
import types
import typing

from tamarackthread.shared import findings
from tamarackthread.shared.site import checks
from tamarackthread.shared.site import configuration as site

MILLISECONDS = 1000
BITS_OF_BYTE = 8
_Row = dict[str, typing.Any]
_Item = typing.TypeVar('_Item')
_KINDS = types.MappingProxyType(
    {
        'idempotent': site.Kind.IDEMPOTENT,
        'non_idempotent': site.Kind.ONCE,
        'streaming': site.Kind.STREAM,
    },
)
_UNREADABLE = (KeyError, TypeError, ValueError, AttributeError)


class PlatformReader(site.Reader):
    """Read a configuration as the platform's operators send it."""

    def read(self, body: bytes) -> site.Configuration:
        """Read all of it; raise ``InvalidError`` with all findings."""
        found: list[findings.Finding] = []
        held = _read(body, found)
        if held is not None and not found:
            found.extend(checks.check(held))
        if held is None or found:
            raise findings.InvalidError(found)
        return held


def _read(
    body: bytes,
    found: list[findings.Finding],
) -> site.Configuration | None:
    with _finding('$', findings.SyntaxInvalid.code, found):
        document = json.loads(body)
        version = document['version']
        if isinstance(version, bool) or not isinstance(version, int):
            raise ValueError('version is not a whole number')
        return site.Configuration(
            version=version,
            routes=_each('routes', document['routes'], _route, found),
            services=_each('services', document['services'], _service, found),
            organisations=_each(
                'tenants', document.get('tenants') or (), _organisation, found
            ),
            limits=_limits(document.get('limits') or {}),
        )
    return None


def _each(
    name: str,
    rows: collections.abc.Iterable[_Row],
    read: collections.abc.Callable[[_Row], _Item],
    found: list[findings.Finding],
) -> tuple[_Item, ...]:
    """Read a list; a bad row is a finding and the others are read on."""
    taken = []
    for number, row in enumerate(rows):
        place = f'$.{name}.{number}'
        with _finding(place, findings.ValueInvalid.code, found):
            taken.append(read(row))
    return tuple(taken)


def _route(row: _Row) -> site.Route:
    return site.Route(
        name=_text(row['name']),
        host=_text(row['host']).lower(),
        prefix=_text(row['path-prefix']),
        kind=_KINDS[row['kind']],
        shares=_shares(row),
        timeout=float(row['timeout-ms']) / MILLISECONDS,
        aim=float(row.get('target-latency-ms') or 0) / MILLISECONDS,
        attempts=max(1, int(row.get('attempts') or 1)),
        priority=int(row.get('priority') or 0),
        is_open=bool(row.get('allow-anonymous')),
        is_resumable=bool(row.get('stream-resumption')),
        gap=float(row.get('gap-target-ms') or 0) / MILLISECONDS,
    )


def _shares(row: _Row) -> tuple[site.Share, ...]:
    """Read where calls go: one service, or several with weights."""
    parts = row.get('traffic-split')
    if not parts:
        return (site.Share(_text(row['service']), 1),)
    return tuple(
        site.Share(_text(part['service']), float(part['weight']))
        for part in parts
    )


def _service(row: _Row) -> site.Service:
    engine = row.get('engine') or {}
    return site.Service(
        name=_text(row['name']),
        experts=_experts(engine),
        passes=_passes(engine),
        cold_rate=float(row.get('cold-per-s') or 0),
    )


def _passes(engine: _Row) -> site.Passes | None:
    """Read how long a pass takes, which is so many steps one after another."""
    if not engine.get('step_ms'):
        return None
    steps = int(engine.get('stride') or 1)
    return site.Passes(empty=steps * float(engine['step_ms']) / MILLISECONDS)


def _experts(engine: _Row) -> site.Experts | None:
    if not engine.get('experts') or not engine.get('sets'):
        return None
    return site.Experts(
        sets=int(engine['sets']),
        experts=int(engine['experts']),
        places=int(engine['placements']),
        spare=int(engine['spare']),
        copy_seconds=_copy_seconds(engine),
        slots=int(engine.get('slots') or 0),
    )


def _copy_seconds(engine: _Row) -> float:
    """Work out how long one expert takes over a rank's link."""
    megabits = float(engine.get('expert-mb') or 0) * BITS_OF_BYTE
    rate = float(engine.get('link-mbps') or 0)
    return megabits / rate if rate else 0


def _organisation(row: _Row) -> site.Organisation:
    return site.Organisation(
        name=_text(row['name']),
        keys=frozenset(_text(key) for key in row.get('api-keys') or ()),
        priority=row.get('priority'),
    )


def _limits(row: _Row) -> site.Limits:
    usual = site.Limits()
    return site.Limits(
        body_bytes=int(row.get('max-body-bytes') or usual.body_bytes),
    )


def _text(value: typing.Any) -> str:
    if not isinstance(value, str):
        raise TypeError(f'{value!r} is not a text')
    return value


@contextlib.contextmanager
def _finding(
    place: str,
    code: str,
    found: list[findings.Finding],
) -> collections.abc.Iterator[None]:
    """Note what cannot be read at a place, in place of raising it."""
    try:
        yield
    except _UNREADABLE as exc:
        found.append(findings.Finding(place, code, f'unreadable, {exc!r}'))
