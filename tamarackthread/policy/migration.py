"""Decide whether a running stream is better off on another target.

A rank that stalls slows every stream of its group at once.  Calls that were
admitted in good time would then all end late, though the engines can resume
a stream at its position elsewhere.
"""

from __future__ import annotations

import abc

import attrs

from tamarackthread.policy import calls, retries


@attrs.define(slots=True, eq=False)
class Progress:
    """Follow one stream as its entry sees it; ``pace`` is seconds an event."""

    sent_at: float
    last_at: float
    events: int = 0
    pace: float = 0

    def advance(self, events: int, now: float) -> None:
        """Note that ``events`` more arrived."""
        gap = (now - self.last_at) / events
        if self.events:
            self.pace = ((self.pace or gap) + gap) / 2
        self.events += events
        self.last_at = now


@attrs.frozen(slots=True, kw_only=True)
class MigrationSettings:
    """Hold when a move pays, times in seconds.

    A stream is moved if it would end later than ``margin`` before its
    deadline, and would take at most ``gain`` of that time elsewhere.
    ``least_left`` is the part of the expected answer that is always left.
    """

    margin: float = 0.05
    gain: float = 0.5
    least_left: float = 0.25


@attrs.frozen(slots=True)
class MigrationEstimate:
    """The target's seconds a step, and the time needed ``elsewhere_seconds``."""

    step_seconds: float
    elsewhere_seconds: float


class MigrationPolicy(abc.ABC):
    """Decide on moves."""

    @abc.abstractmethod
    def admitted(self, now: float) -> None:
        """Note a new call, which pays for a share of a move."""

    @abc.abstractmethod
    def should_migrate(
        self,
        call: calls.CallFacts,
        progress: Progress,
        place: MigrationEstimate,
        now: float,
    ) -> bool:
        """Tell whether to move; only idempotent calls are asked about."""


class NeverMigrate(MigrationPolicy):
    """Leave every stream where it is."""

    def admitted(self, now: float) -> None:
        """Note nothing."""

    def should_migrate(
        self,
        call: calls.CallFacts,
        progress: Progress,
        place: MigrationEstimate,
        now: float,
    ) -> bool:
        """Return false."""
        return False


class MigrateLateStreams(MigrationPolicy):
    """Move streams that would end late and in time elsewhere.

    The budget keeps a slow moment of the whole service, where elsewhere only
    looks better, from moving everything at once.
    """

    def __init__(
        self,
        budget: retries.RetryBudget,
        settings: MigrationSettings | None = None,
    ) -> None:
        """Pay for each move from ``budget``."""
        self._budget = budget
        self._settings = settings or MigrationSettings()

    def admitted(self, now: float) -> None:
        """Pay a share of a move into the budget."""
        self._budget.earn(now)

    def should_migrate(
        self,
        call: calls.CallFacts,
        progress: Progress,
        place: MigrationEstimate,
        now: float,
    ) -> bool:
        """Compare the time left here, there and until the deadline."""
        settings = self._settings
        here = self._time_left(call, progress, place.step_seconds, now)
        until = call.deadline - settings.margin - now
        if here <= until or place.elsewhere_seconds > until:
            return False
        if place.elsewhere_seconds > here * settings.gain:
            return False
        # Urgent calls are few, and one that ends late is lost work.
        if call.priority == calls.Priority.URGENT:
            return True
        return self._budget.spend(now)

    def _time_left(
        self,
        call: calls.CallFacts,
        progress: Progress,
        step_seconds: float,
        now: float,
    ) -> float:
        """Estimate seconds to the end.

        The answer's length is a guess, so some is always left.  A silence is
        expected to last as long again as it has lasted.
        """
        least = call.answer_tokens * self._settings.least_left
        left = max(least, call.answer_tokens - progress.events)
        silence = now - progress.last_at
        return silence + left * max(step_seconds, progress.pace)
