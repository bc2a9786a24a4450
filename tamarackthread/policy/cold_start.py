"""Limit the rate of calls to cold targets, split among all entries."""

from __future__ import annotations

import collections.abc

from tamarackthread.policy import known_entries

# Sliding window: the second over which targets count, plus the time to
# connect.
WINDOW_SECONDS = 1.4
# Known entries share one of this many parts of the limit, which leaves the
# rest to entries not discovered yet.
LIMIT_PARTS = 2


class ColdStartLimits:
    """Compute how many calls this entry may send to a cold target."""

    def __init__(
        self,
        entries: known_entries.KnownEntries,
        allowance: float = 1,
        slack: float = 0,
    ) -> None:
        """Share limits of ``allowance`` times the rate plus ``slack``."""
        self._entries = entries
        self._allowance = allowance
        self._slack = slack
        self._rates: dict[str, float] = {}

    def set_rates(self, rates: collections.abc.Mapping[str, float]) -> None:
        """Set the calls a second per cold target by service, 0 if unlimited."""
        self._rates = dict(rates)

    def limit(self, service: str) -> float:
        """Return the calls a second of all entries, 0 if unlimited."""
        rate = self._rates.get(service, 0)
        return rate * self._allowance + self._slack if rate else 0

    def max_calls(self, service: str, target: str) -> int | None:
        """Return this entry's calls in a window, ``None`` if unlimited."""
        limit = self.limit(service)
        if not limit:
            return None
        share = int(limit / LIMIT_PARTS / self._entries.count())
        return share or int(self._is_selected(target, int(limit / LIMIT_PARTS)))

    def _is_selected(self, target: str, selected: int) -> bool:
        """Tell whether this entry is among the few that use a target."""
        rank = self._entries.position(target)
        return rank is not None and rank < selected
