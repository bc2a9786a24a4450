"""Hold the configuration and the targets that control hosts told of."""

from __future__ import annotations

import logging

from tamarackthread.entry.direct import admitting, table, targets
from tamarackthread.policy import cold_start
from tamarackthread.shared import errors, log_events
from tamarackthread.shared.site import (
    announcements,
    configuration,
    document,
    figures,
    following,
    groups,
    zones,
)

_log = logging.getLogger('tamarackthread.entry')


class Learned(following.Pupil):
    """Put each newer configuration in force, whatever its source."""

    def __init__(
        self,
        known: targets.Targets,
        reader: configuration.Reader,
        tables: table.Holder,
        admission: admitting.Admission,
        shares: cold_start.ColdStartLimits,
    ) -> None:
        """Put what is learned into the parts that need it."""
        self._shares = shares
        self._admission = admission
        self._known = known
        self._reader = reader
        self._tables = tables

    @property
    def version(self) -> int:
        """Return the version in force, 0 before the first."""
        current = self._tables.current
        return 0 if current is None else current.version

    @property
    def zone_changes(self) -> int:
        """Return how many changes of zones are held."""
        return self._known.zone_changes

    def learn_zones(self, rows: list[zones.Zone]) -> None:
        """Obey what operators asked for zones."""
        self._known.learn_zones(rows)

    def learn_target(self, said: announcements.Announcement) -> None:
        """Take an announcement."""
        self._known.take(said)

    def learn_groups(self, term: int, rows: list[groups.Group]) -> None:
        """Take which targets make a group."""
        self._known.learn_groups(term, rows)

    def learn_paces(self, source: str, paces: dict[str, float]) -> None:
        """Take the slow targets that a control host knows of."""
        self._known.slow(source, paces)

    def learn_document(self, held: document.Document) -> None:
        """Put a configuration in force if it can be read."""
        try:
            read = self._reader.read(held.body)
        except errors.CodedError as exc:
            # Control accepted it, so this entry runs an older program.  It
            # goes on with what it has, which is better than nothing.
            _log.error('entry: cannot read version %d, %s', held.version, exc)
            return
        self._tables.put(table.Table(read))
        self._admission.learn(read)
        self._shares.set_rates(
            {one.name: one.cold_rate for one in read.services}
        )
        figures.VERSION.set(held.version)
        log_events.tell(
            _log,
            log_events.Event.CONFIGURATION,
            'entry: version %d is in force',
            held.version,
            version=held.version,
        )
