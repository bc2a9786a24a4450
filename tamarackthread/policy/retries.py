"""Decide whether and when to retry a failed call, within a retry budget that
prevents retry storms.
"""

from __future__ import annotations

import abc
import random

import attrs

from tamarackthread.generated.messages import ttypes as messages
from tamarackthread.policy import calls, outcomes


@attrs.frozen(slots=True, kw_only=True)
class RetrySettings:
    """Hold the limits of retries; delays are in seconds."""

    # Retries that each call earns.
    ratio: float = 0.1
    # Retries that can be saved up.
    reserve: float = 20.0
    # Retries earned per second, without any calls.
    min_rate: float = 1.0
    # Attempts of a call, including the first one.
    attempts: int = 3
    base_delay: float = 0.005
    max_delay: float = 0.2


class RetryBudget:
    """Token bucket of the retries that calls have earned."""

    def __init__(
        self,
        settings: RetrySettings,
        now: float,
        level: float | None = None,
    ) -> None:
        """Start with ``level`` retries, by default half of the reserve."""
        self._settings = settings
        self._level: float = settings.reserve / 2 if level is None else level
        self._refilled_at = now

    @property
    def level(self) -> float:
        """Return the number of available retries, as of the last update."""
        return self._level

    def set_reserve(self, reserve: float) -> None:
        """Change the number of retries that can be saved up."""
        self._settings = attrs.evolve(self._settings, reserve=reserve)
        self._level = min(self._level, reserve)

    def earn(self, now: float) -> None:
        """Count a first attempt, which earns a share of a retry."""
        self._refill(now, self._settings.ratio)

    def spend(self, now: float) -> bool:
        """Take a retry from the budget; tell whether there was one."""
        self._refill(now, 0)
        if self._level < 1:
            return False
        self._level -= 1
        return True

    def _refill(self, now: float, earned: float) -> None:
        elapsed = max(0, now - self._refilled_at)
        self._refilled_at = now
        earned += elapsed * self._settings.min_rate
        self._level = min(self._settings.reserve, self._level + earned)


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
        """Return the seconds until the next attempt, or ``None`` for no retry;
        ``attempt`` is the number of the failed attempt, from 1.
        """


class BudgetedRetry(RetryPolicy):
    """Retry calls that may repeat, within budget, attempts and deadline."""

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
        """Return a jittered exponential backoff, or ``None`` for no retry."""
        settings = self._settings
        if attempt >= settings.attempts:
            return None
        if not outcomes.may_repeat(ran, call.idempotent):
            return None
        backoff = settings.base_delay * 2 ** (attempt - 1)
        jittered = self._random.uniform(0, min(backoff, settings.max_delay))
        if now + jittered >= call.deadline:
            return None
        return jittered if self._budget.spend(now) else None
