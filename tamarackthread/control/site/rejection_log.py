"""Count and log those who write what no target writes."""

from __future__ import annotations

import collections
import logging

from tamarackthread.shared.site import figures

# Writers that are remembered, so that each is logged once.  A thousand is more
# than the hosts of a site; beyond, the one that was heard of first is forgotten
# and may be logged again.
MOST_WRITERS = 1000
_log = logging.getLogger('tamarackthread.control')


class RejectionLog:
    """Remember who was refused.

    A writer that repeats itself several times a second would else fill the log
    in which an operator looks for why its word does not count.
    """

    def __init__(self) -> None:
        """Begin without any."""
        self._known: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )

    def note(self, writer: str, why: str) -> None:
        """Note that a word of a writer was refused."""
        figures.ANNOUNCEMENTS_REFUSED.inc()
        if writer in self._known:
            return
        self._known[writer] = None
        if len(self._known) > MOST_WRITERS:
            self._known.popitem(last=False)
        _log.warning('control: refuses announcements of %s, %s', writer, why)
