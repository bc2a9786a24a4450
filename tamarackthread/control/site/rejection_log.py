"""Count and log rejected announcements."""

from __future__ import annotations

import collections
import logging

from tamarackthread.shared.site import site_metrics

# Writers remembered, so that each is logged once; beyond, the oldest is evicted and
# may be logged again.
MAX_WRITERS = 1000
_log = logging.getLogger('tamarackthread.control')


class RejectionLog:
    """Log each writer of invalid announcements once, to not flood the log."""

    def __init__(self) -> None:
        """Start without writers."""
        self._writers: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )

    def record(self, writer: str, reason: str) -> None:
        """Count a rejected announcement and log its writer once."""
        site_metrics.ANNOUNCEMENTS_REFUSED.inc()
        if writer in self._writers:
            return
        self._writers[writer] = None
        if len(self._writers) > MAX_WRITERS:
            self._writers.popitem(last=False)
        _log.warning('control: refuses announcements of %s, %s', writer, reason)
