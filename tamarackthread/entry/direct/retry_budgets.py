"""Limit the retries of each service across all entries."""

from __future__ import annotations

import collections.abc

from tamarackthread.generated import settings as generated
from tamarackthread.policy import retries

Clock = collections.abc.Callable[[], float]
EntryCount = collections.abc.Callable[[], int]


class RetryBudgets:
    """Hold this entry's equal part of each service's retry budget."""

    def __init__(
        self,
        site: generated.Site,
        entries: EntryCount,
        now: Clock,
    ) -> None:
        """Divide the reserve by ``entries``, as they become known."""
        self._site = site
        self._entries = entries
        self._now = now
        self._by_service: dict[str, retries.RetryBudget] = {}

    def earn(self, service: str) -> None:
        """Credit the budget for a first attempt."""
        self._budget_of(service).earn(self._now())

    def spend(self, service: str) -> bool:
        """Pay for a retry; tell whether the budget allowed it."""
        return self._budget_of(service).spend(self._now())

    def has_room(self, service: str) -> bool:
        """Tell whether the budget allows a retry."""
        return self._budget_of(service).level >= 1

    def _budget_of(self, service: str) -> retries.RetryBudget:
        entries = self._entries()
        reserve = self._site.retry_reserve / max(1, entries)
        budget = self._by_service.get(service)
        if budget is None:
            settings = retries.RetrySettings(
                ratio=self._site.retry_share, reserve=reserve, min_rate=0
            )
            # Entries that start together and don't know each other yet would
            # each spend the whole reserve.
            # At a common start that was three times as many retries as allowed.
            level = reserve / 2 if entries else 0
            budget = retries.RetryBudget(settings, self._now(), level)
            self._by_service[service] = budget
        budget.set_reserve(reserve)
        return budget
