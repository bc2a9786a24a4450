"""Log the state of targets as this entry sees it."""

from __future__ import annotations

import collections
import collections.abc
import logging

from tamarackthread.entry.direct import instances
from tamarackthread.shared import log_events
from tamarackthread.shared.site import (
    announcements,
    site_metrics,
    groups,
    zones,
)

State = announcements.State
_log = logging.getLogger('tamarackthread.entry')


def log_new(
    new: collections.abc.Iterable[announcements.Announcement],
) -> None:
    """Log the new targets of each service in one line."""
    # A line for each would be thousands when an entry of a large site starts.
    by_service: dict[str, list[str]] = collections.defaultdict(list)
    for announcement in new:
        by_service[announcement.service].append(announcement.target)
    for service, names in by_service.items():
        log_events.emit(
            _log,
            log_events.Event.TARGET,
            'entry: %d targets of %s are new and ready',
            len(names),
            service,
            targets=names,
            service=service,
            state=State.READY.name.lower(),
        )


def log_ejected(service: str, names: list[str]) -> None:
    """Log which targets are ejected as outliers."""
    log_events.emit(
        _log,
        log_events.Event.TARGET,
        'entry: ejected %d targets of %s that fail more than others',
        len(names),
        service,
        targets=names,
        service=service,
        state='failing',
    )


def log_backpressure(target: instances.TargetInstance, now: float) -> None:
    """Log the kinds of backpressure of a target, when they change."""
    active = target.active_backpressure(now)
    log_events.emit(
        _log,
        log_events.Event.TARGET,
        'entry: backpressure of target %s of %s: %s',
        target.name,
        target.announcement.service,
        ', '.join(active) or 'none',
        target=target.name,
        service=target.announcement.service,
        state='asking',
        rest_ms=round(target.cooldown.remaining(now) * 1000),
        rate=target.limit.rate,
    )


def log_foreign(address: str) -> None:
    """Log that a target sends what belongs to no call."""
    log_events.emit(
        _log,
        log_events.Event.TARGET,
        'entry: target at %s sends what belongs to no call',
        address,
        level=logging.WARNING,
        address=address,
        state='foreign',
    )


def log_zones(known: zones.Zones) -> None:
    """Log the evacuated zones, and set their metric."""
    evacuated = [row.name for row in known.rows if row.is_evacuated]
    site_metrics.ZONES_EVACUATED.set(len(evacuated))
    revisions = {row.name: row.revision for row in known.rows}
    for zone, revision in revisions.items():
        site_metrics.ZONE_REVISION.labels(zone).set(revision)
    log_events.emit(
        _log,
        log_events.Event.ZONE,
        'entry: evacuated zones are now: %s',
        ', '.join(evacuated) or 'none',
        zones=evacuated,
        changes=known.changes,
        revisions=revisions,
    )


def log_groups(known: groups.Groups) -> None:
    """Log the number of groups, and which of them make no passes."""
    closed = [row.name for row in known.rows if not row.is_open]
    log_events.emit(
        _log,
        log_events.Event.GROUPS,
        'entry: %d groups are known, %d closed',
        len(known.rows),
        len(closed),
        groups={row.name: len(row.members) for row in known.rows},
        closed=closed,
        term=known.term,
    )


def log_state(announcement: announcements.Announcement) -> None:
    """Log the state of a target."""
    log_events.emit(
        _log,
        log_events.Event.TARGET,
        'entry: target %s of %s at %s is %s',
        announcement.target,
        announcement.service,
        announcement.address,
        announcement.state.name.lower(),
        target=announcement.target,
        service=announcement.service,
        state=announcement.state.name.lower(),
        sequence=announcement.sequence,
    )
