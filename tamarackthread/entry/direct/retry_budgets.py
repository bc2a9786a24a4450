"""Limit the retries of each service across all entries."""

from __future__ import annotations

import asyncio
import collections
import collections.abc
import logging

import attrs

from tamarackthread.generated import settings as generated
from tamarackthread.policy import retries
from tamarackthread.shared import log_events
from tamarackthread.shared.site import site_metrics

SUMMARY_SECONDS = 10.0
_log = logging.getLogger('tamarackthread.entry')

Clock = collections.abc.Callable[[], float]
EntryCount = collections.abc.Callable[[], int]


@attrs.define(eq=False)
class _ServiceBudget:
    """Budget of one service, and what happened since the last summary."""

    budget: retries.RetryBudget
    # The number of entries by which the reserve was divided last.
    entries: int
    calls: int = 0
    denied: int = 0
    repeats: collections.Counter[str] = attrs.field(factory=collections.Counter)


class RetryBudgets:
    """Hold this entry's equal part of each service's retry budget."""

    def __init__(
        self,
        site: generated.Site,
        entries: EntryCount,
        now: Clock,
    ) -> None:
        """Divide the reserve by ``entries``, the most that were ever known."""
        self._site = site
        self._entries = entries
        self._now = now
        self._by_service: dict[str, _ServiceBudget] = {}

    def earn(self, service: str) -> None:
        """Credit the budget for a first attempt."""
        held = self._held(service)
        held.calls += 1
        held.budget.earn(self._now())

    def spend(self, service: str) -> bool:
        """Pay for a retry; tell whether the budget allowed it."""
        held = self._held(service)
        is_allowed = held.budget.spend(self._now())
        held.denied += not is_allowed
        return is_allowed

    def has_room(self, service: str) -> bool:
        """Tell whether the budget allows a retry."""
        return self._held(service).budget.level >= 1

    def count_repeat(self, service: str, reason: str) -> None:
        """Count a try after the first; ``reason`` is why the last one failed."""
        self._held(service).repeats[reason] += 1
        site_metrics.REPEATS.labels(service, reason).inc()

    async def run(self) -> None:
        """Log periodically what was repeated."""
        while True:
            await asyncio.sleep(SUMMARY_SECONDS)
            for service, held in self._by_service.items():
                site_metrics.RETRY_LEVEL.labels(service).set(held.budget.level)
                if held.repeats or held.denied:
                    self._log_repeats(service, held)
                held.calls = 0
                held.denied = 0
                held.repeats.clear()

    def _held(self, service: str) -> _ServiceBudget:
        entries = self._entries()
        reserve = self._site.retry_reserve / max(1, entries)
        held = self._by_service.get(service)
        if held is None:
            settings = retries.RetrySettings(
                ratio=self._site.retry_share, reserve=reserve, min_rate=0
            )
            # What the last start of this entry has spent counts in the same
            # window, so a start begins with nothing but what calls earn.
            budget = retries.RetryBudget(settings, self._now(), level=0)
            held = _ServiceBudget(budget, entries)
            self._by_service[service] = held
            _log_budget(service, held, reserve)
        held.budget.set_reserve(reserve)
        if entries != held.entries:
            held.entries = entries
            _log_budget(service, held, reserve)
        return held

    def _log_repeats(self, service: str, held: _ServiceBudget) -> None:
        log_events.emit(
            _log,
            log_events.Event.REPEATS_SUMMED,
            'entry: %d repeats of %d calls of %s in %d s',
            held.repeats.total(),
            held.calls,
            service,
            SUMMARY_SECONDS,
            service=service,
            calls=held.calls,
            repeats=dict(held.repeats),
            denied=held.denied,
            left=round(held.budget.level, 2),
            entries=held.entries,
        )


def _log_budget(service: str, held: _ServiceBudget, reserve: float) -> None:
    log_events.emit(
        _log,
        log_events.Event.RETRY_BUDGET,
        'entry: %.1f retries of %s left, reserve of %.1f by %d entries',
        held.budget.level,
        service,
        reserve,
        held.entries,
        service=service,
        left=round(held.budget.level, 2),
        reserve=round(reserve, 2),
        entries=held.entries,
    )
