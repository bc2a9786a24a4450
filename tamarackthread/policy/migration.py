"""Decide whether a running stream should resume on another target, for example
when a stalled rank would make all streams of its group miss their deadlines.
"""

from __future__ import annotations

import abc

import attrs

from tamarackthread.policy import calls, retries


@attrs.define(slots=True, eq=False)
class Progress:
    """Track one stream at its entry; ``pace`` is the mean seconds per event."""

    sent_at: float
    last_at: float
    events: int = 0
    pace: float = 0

    def advance(self, events: int, now: float) -> None:
        """Record that ``events`` more arrived."""
        gap = (now - self.last_at) / events
        if self.events:
            self.pace = ((self.pace or gap) + gap) / 2
        self.events += events
        self.last_at = now


@attrs.frozen(slots=True, kw_only=True)
class MigrationSettings:
    """Hold the conditions of a migration."""

    # Seconds before its deadline by which a stream should end.
    deadline_margin: float = 0.05
    # Time needed on the other target, as a share of the remaining time here.
    max_time_share: float = 0.5
    # Share of the expected answer that is always assumed to be left.
    min_left_share: float = 0.25


@attrs.frozen(slots=True)
class MigrationEstimate:
    """The step time here, and the time to the end on another target."""

    step_seconds: float
    elsewhere_seconds: float


class MigrationPolicy(abc.ABC):
    """Decide on migrations."""

    @abc.abstractmethod
    def admitted(self, now: float) -> None:
        """Count a new call, which earns a share of a migration."""

    @abc.abstractmethod
    def should_migrate(
        self,
        call: calls.CallFacts,
        progress: Progress,
        estimate: MigrationEstimate,
        now: float,
    ) -> bool:
        """Tell whether to migrate a call, which must be idempotent."""


class NeverMigrate(MigrationPolicy):
    """Keep every stream on its target."""

    def admitted(self, now: float) -> None:
        """Do nothing."""

    def should_migrate(
        self,
        call: calls.CallFacts,
        progress: Progress,
        estimate: MigrationEstimate,
        now: float,
    ) -> bool:
        """Return false."""
        return False


class MigrateLateStreams(MigrationPolicy):
    """Migrate streams that would end late here and in time elsewhere; a budget
    limits migrations while the whole service is slow.
    """

    def __init__(
        self,
        budget: retries.RetryBudget,
        settings: MigrationSettings | None = None,
    ) -> None:
        """Spend ``budget`` on each migration of a call that is not urgent."""
        self._budget = budget
        self._settings = settings or MigrationSettings()

    def admitted(self, now: float) -> None:
        """Earn a share of a migration."""
        self._budget.earn(now)

    def should_migrate(
        self,
        call: calls.CallFacts,
        progress: Progress,
        estimate: MigrationEstimate,
        now: float,
    ) -> bool:
        """Compare the remaining time on both targets with the deadline."""
        settings = self._settings
        remaining = self._remaining_seconds(
            call, progress, estimate.step_seconds, now
        )
        available = call.deadline - settings.deadline_margin - now
        if remaining <= available or estimate.elsewhere_seconds > available:
            return False
        if estimate.elsewhere_seconds > remaining * settings.max_time_share:
            return False
        # Urgent calls are few and worthless when late, so they need no budget.
        if call.priority == calls.Priority.URGENT:
            return True
        return self._budget.spend(now)

    def _remaining_seconds(
        self,
        call: calls.CallFacts,
        progress: Progress,
        step_seconds: float,
        now: float,
    ) -> float:
        """Estimate the seconds to the end of the stream."""
        # Expects a stall to last as long again as it has lasted already.
        min_left = call.answer_tokens * self._settings.min_left_share
        left_tokens = max(min_left, call.answer_tokens - progress.events)
        idle_seconds = now - progress.last_at
        return idle_seconds + left_tokens * max(step_seconds, progress.pace)
