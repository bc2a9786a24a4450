"""Apply what the feed of the control hosts brings to this entry."""

from __future__ import annotations

import logging

from tamarackthread.entry.direct import (
    admission_control,
    routing_table,
    targets,
)
from tamarackthread.policy import cold_start
from tamarackthread.shared import errors, log_events
from tamarackthread.shared.site import (
    announcements,
    configuration,
    document,
    site_metrics,
    feed_client,
    groups,
    zones,
)

_log = logging.getLogger('tamarackthread.entry')


class FeedHandler(feed_client.Subscriber):
    """Apply the newest configuration, targets, zones and groups."""

    def __init__(
        self,
        all_targets: targets.Targets,
        reader: configuration.Reader,
        tables: routing_table.CurrentTable,
        admission: admission_control.AdmissionControl,
        cold_limits: cold_start.ColdStartLimits,
    ) -> None:
        """Take the parts of the entry that updates are applied to."""
        self._cold_limits = cold_limits
        self._admission = admission
        self._targets = all_targets
        self._reader = reader
        self._tables = tables

    @property
    def version(self) -> int:
        """Return the version in force, 0 before the first."""
        current = self._tables.current
        return 0 if current is None else current.version

    @property
    def zone_changes(self) -> int:
        """Return the number of zone changes that were applied."""
        return self._targets.zone_changes

    def learn_zones(self, rows: list[zones.Zone]) -> None:
        """Evacuate and restore zones as operators asked."""
        self._targets.learn_zones(rows)

    def learn_target(self, announcement: announcements.Announcement) -> None:
        """Apply a target's announcement."""
        self._targets.take(announcement)

    def learn_groups(self, term: int, rows: list[groups.Group]) -> None:
        """Replace the members of the groups."""
        self._targets.learn_groups(term, rows)

    def learn_paces(self, source: str, paces: dict[str, float]) -> None:
        """Replace the slow targets reported by a control host."""
        self._targets.set_paces(source, paces)

    def learn_document(self, stored: document.Document) -> None:
        """Put a configuration in force if it can be read."""
        try:
            parsed = self._reader.read(stored.body)
        except errors.CodedError as exc:
            # Control accepted it, so this entry runs an older release.  It
            # keeps the configuration that it has.
            _log.error(
                'entry: cannot read configuration version %d, %s',
                stored.version,
                exc,
            )
            return
        self._tables.put(routing_table.RoutingTable(parsed))
        self._admission.learn(parsed)
        self._cold_limits.set_rates(
            {one.name: one.cold_rate for one in parsed.services}
        )
        site_metrics.VERSION.set(stored.version)
        log_events.emit(
            _log,
            log_events.Event.CONFIGURATION,
            'entry: configuration version %d is in force',
            stored.version,
            version=stored.version,
        )
