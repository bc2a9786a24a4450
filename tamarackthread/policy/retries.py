"""Decide whether and when a failed call is tried again.

Retries multiply a failure into an overload.  So they are paid from a budget
that grows with the traffic that went well.
"""

from __future__ import annotations

import abc
import random

import attrs

from tamarackthread.generated.messages import ttypes as messages
from tamarackthread.policy import calls, outcomes


@attrs.frozen(slots=True, kw_only=True)
class RetrySettings:
    """Hold the bounds of retries, times in seconds.

    ``ratio`` is how many retries each call pays for, and ``reserve`` how many
    may be saved up; a quiet service gets ``min_rate`` a second besides.
    """

    ratio: float = 0.1
    reserve: float = 20.0
    min_rate: float = 1.0
    attempts: int = 3
    first_delay: float = 0.005
    max_delay: float = 0.2


class RetryBudget:
    """Count what is left for retries."""

    def __init__(
        self,
        settings: RetrySettings,
        now: float,
        level: float | None = None,
    ) -> None:
        """Start with ``level`` saved up, by default half of the reserve."""
        self._settings = settings
        self._level: float = settings.reserve / 2 if level is None else level
        self._filled_at = now

    @property
    def level(self) -> float:
        """Return how many retries are paid for, as of the last call."""
        return self._level

    def set_reserve(self, reserve: float) -> None:
        """Let no more than a reserve be saved up from now on."""
        self._settings = attrs.evolve(self._settings, reserve=reserve)
        self._level = min(self._level, reserve)

    def earn(self, now: float) -> None:
        """Count a first attempt, which pays for a share of a retry."""
        self._fill(now, self._settings.ratio)

    def spend(self, now: float) -> bool:
        """Pay for a retry; tell whether the budget allowed it."""
        self._fill(now, 0)
        if self._level < 1:
            return False
        self._level -= 1
        return True

    def _fill(self, now: float, more: float) -> None:
        passed = max(0, now - self._filled_at)
        self._filled_at = now
        more += passed * self._settings.min_rate
        self._level = min(self._settings.reserve, self._level + more)


class RetryPolicy(abc.ABC):
    """Decide on the next attempt of a failed call."""

    @abc.abstractmethod
    def delay(
        self,
        call: calls.CallFacts,
        ran: messages.Ran,
        attempt: int,
        now: float,
    ) -> float | None:
        """Return seconds until the next attempt, or ``None`` for none.

        ``attempt`` counts from 1, the attempt that failed.
        """


class BudgetedRetry(RetryPolicy):
    """Retry what may repeat, within the budget, the attempts and the deadline."""

    def __init__(
        self,
        budget: RetryBudget,
        generator: random.Random,
        settings: RetrySettings | None = None,
    ) -> None:
        """Share ``budget`` with all calls of the service."""
        self._budget = budget
        self._random = generator
        self._settings = settings or RetrySettings()

    def delay(
        self,
        call: calls.CallFacts,
        ran: messages.Ran,
        attempt: int,
        now: float,
    ) -> float | None:
        """Return a jittered, doubling delay while a retry makes sense."""
        settings = self._settings
        if attempt >= settings.attempts:
            return None
        if not outcomes.may_repeat(ran, call.idempotent):
            return None
        longest = settings.first_delay * 2 ** (attempt - 1)
        pause = self._random.uniform(0, min(longest, settings.max_delay))
        if now + pause >= call.deadline:
            return None
        return pause if self._budget.spend(now) else None
