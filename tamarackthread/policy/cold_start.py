"""Bound the calls that a cold target gets in a second, over all entries.

Answers the load in which a zone's targets come back at once, cold and empty:
the least loaded targets of all would get every call, more than they can begin
before they are warm, and crash.
"""

from __future__ import annotations

import collections.abc

from tamarackthread.policy import known_entries

# Calls are counted over the second that a target counts, and what they may be
# held up on their way there: the time in which a connection is made.
WINDOW_SECONDS = 1.4
# One part of a target's limit is shared by the entries that are known, the other
# is left for those that nobody has told of.
PARTS = 2


class ColdStartLimits:
    """Work out how many calls this entry may send to a cold target.

    A share does not grow when other entries fall silent: they may be cut off
    from this one and not from the target.
    """

    def __init__(
        self,
        fleet: known_entries.KnownEntries,
        allowance: float = 1,
        slack: float = 0,
    ) -> None:
        """Share with all entries of the ``fleet``.

        A target takes ``allowance`` times its service's rate and ``slack`` calls
        more in a second.
        """
        self._fleet = fleet
        self._allowance = allowance
        self._slack = slack
        self._rates: dict[str, float] = {}

    def set_rates(self, rates: collections.abc.Mapping[str, float]) -> None:
        """Take the calls a second at a cold target by service, 0 for any."""
        self._rates = dict(rates)

    def limit(self, service: str) -> float:
        """Return what all entries together may send in a second, 0 for any."""
        rate = self._rates.get(service, 0)
        return rate * self._allowance + self._slack if rate else 0

    def max_calls(self, service: str, target: str) -> int | None:
        """Return this entry's calls in a span, ``None`` without a limit."""
        limit = self.limit(service)
        if not limit:
            return None
        each = int(limit / PARTS / self._fleet.count())
        return each or int(self._is_drawn(target, int(limit / PARTS)))

    def _is_drawn(self, target: str, places: int) -> bool:
        """Tell whether this entry is one of the few that a target is left to."""
        place = self._fleet.position(target)
        return place is not None and place < places
