"""Bound second tries of each service over all entries."""

from __future__ import annotations

import collections.abc

from tamarackthread.generated import settings as generated
from tamarackthread.policy import retries

Now = collections.abc.Callable[[], float]
Entries = collections.abc.Callable[[], int]


class Budgets:
    """Hold this entry's part of each service's budget.

    The bound holds for the sum over all entries.  Each lives within an equal
    part of the reserve and within a share of its own calls, so the sum holds
    without a word between them.
    """

    def __init__(
        self,
        site: generated.Site,
        entries: Entries,
        now: Now,
    ) -> None:
        """Divide the reserve by ``entries`` when a service is first called."""
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
        found = self._by_service.get(service)
        if found is None:
            reserve = self._site.retry_reserve / max(1, self._entries())
            found = retries.RetryBudget(
                retries.RetrySettings(
                    share=self._site.retry_share,
                    reserve=reserve,
                    least_rate=0,
                ),
                self._now(),
            )
            self._by_service[service] = found
        return found
