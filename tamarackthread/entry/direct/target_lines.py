"""Log what an entry believes of targets."""

from __future__ import annotations

import collections
import collections.abc
import logging

from tamarackthread.entry.direct import starts
from tamarackthread.shared import log_events
from tamarackthread.shared.site import announcements, figures, groups, zones

State = announcements.State
_log = logging.getLogger('tamarackthread.entry')


def tell_new(
    untold: collections.abc.Iterable[announcements.Announcement],
) -> None:
    """Log the new targets of each service in one line.

    Each entry learns of each target when it starts; a line for each pair is
    thousands on a large site, in which other lines are lost.
    """
    by_service: dict[str, list[str]] = collections.defaultdict(list)
    for said in untold:
        by_service[said.service].append(said.target)
    for service, names in by_service.items():
        log_events.tell(
            _log,
            log_events.Event.TARGET,
            'entry: %d targets of %s are new and ready',
            len(names),
            service,
            targets=names,
            service=service,
            state=State.READY.name.lower(),
        )


def tell_failing(service: str, names: list[str]) -> None:
    """Log which targets are left out for a while."""
    log_events.tell(
        _log,
        log_events.Event.TARGET,
        'entry: %d targets of %s fail what others answer',
        len(names),
        service,
        targets=names,
        service=service,
        state='failing',
    )


def tell_asking(target: starts.Start, now: float) -> None:
    """Log what a target's answers ask for, as it begins or ends."""
    asking = target.asking(now)
    log_events.tell(
        _log,
        log_events.Event.TARGET,
        'entry: target %s of %s asks for: %s',
        target.name,
        target.said.service,
        ', '.join(asking) or 'nothing more',
        target=target.name,
        service=target.said.service,
        state='asking',
        rest_ms=round(target.rest.remaining(now) * 1000),
        rate=target.limit.rate,
    )


def tell_zones(held: zones.Zones) -> None:
    """Log which zones get no work, and count them."""
    evacuated = [row.name for row in held.rows if row.is_evacuated]
    figures.ZONES_EVACUATED.set(len(evacuated))
    log_events.tell(
        _log,
        log_events.Event.ZONE,
        'entry: evacuated zones are now: %s',
        ', '.join(evacuated) or 'none',
        zones=evacuated,
        changes=held.changes,
    )


def tell_groups(held: groups.Groups) -> None:
    """Log which groups there are, and which of them make no passes."""
    closed = [row.name for row in held.rows if not row.is_open]
    log_events.tell(
        _log,
        log_events.Event.GROUPS,
        'entry: knows %d groups, %d closed',
        len(held.rows),
        len(closed),
        groups={row.name: len(row.members) for row in held.rows},
        closed=closed,
        term=held.term,
    )


def tell(said: announcements.Announcement) -> None:
    """Log the state of a target."""
    log_events.tell(
        _log,
        log_events.Event.TARGET,
        'entry: target %s of %s at %s is %s',
        said.target,
        said.service,
        said.address,
        said.state.name.lower(),
        target=said.target,
        service=said.service,
        state=said.state.name.lower(),
        sequence=said.sequence,
    )
