"""Bound second tries of each service over all entries."""

from __future__ import annotations

import collections.abc

from tamarackthread.generated import settings as generated
from tamarackthread.policy import retries

Now = collections.abc.Callable[[], float]
Entries = collections.abc.Callable[[], int]


class RetryBudgets:
    """Hold this entry's part of each service's budget.

    The bound holds for the sum over all entries.  Each lives within an equal
    part of the reserve and within a share of its own calls, so the sum holds
    without a word between them.

    The failure: all entries start at once and know nothing of each other, each
    takes the whole reserve for its own, and while targets start as well they
    send three times as many second tries as all of them may.  So an entry that
    knows of none has nothing saved, and its part shrinks with each one that it
    learns of: the first of many to be known has a whole part for a moment, the
    next a half, the third a third, which adds up to about twice the reserve.
    """

    def __init__(
        self,
        site: generated.Site,
        entries: Entries,
        now: Now,
    ) -> None:
        """Divide the reserve by ``entries``, as they become known."""
        self._site = site
        self._entries = entries
        self._now = now
        self._by_service: dict[str, retries.RetryBudget] = {}

    def earn(self, service: str) -> None:
        """Count a caller's call, which pays for a part of a second try."""
        self._of(service).earn(self._now())

    def spend(self, service: str) -> bool:
        """Pay for a second try; tell whether the budget allowed it."""
        return self._of(service).spend(self._now())

    def has_room(self, service: str) -> bool:
        """Tell whether a second try could be paid for."""
        return self._of(service).level >= 1

    def _of(self, service: str) -> retries.RetryBudget:
        entries = self._entries()
        reserve = self._site.retry_reserve / max(1, entries)
        found = self._by_service.get(service)
        if found is None:
            settings = retries.RetrySettings(
                ratio=self._site.retry_share, reserve=reserve, min_rate=0
            )
            level = reserve / 2 if entries else 0
            found = retries.RetryBudget(settings, self._now(), level)
            self._by_service[service] = found
        found.set_reserve(reserve)
        return found
