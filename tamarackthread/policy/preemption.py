"""Choose the running call that an urgent one preempts."""

from __future__ import annotations

import abc
import collections.abc

import attrs

from tamarackthread.policy import calls


@attrs.frozen(slots=True, kw_only=True)
class RunningCall:
    """The facts of a running call that preemption needs."""

    key: int
    target: str
    organisation: str
    priority: calls.Priority
    started_at: float


class PreemptionPolicy(abc.ABC):
    """Choose the running call to preempt."""

    @abc.abstractmethod
    def choose(
        self,
        urgent: calls.CallFacts,
        running: collections.abc.Iterable[RunningCall],
        now: float,
    ) -> RunningCall | None:
        """Return the call to preempt, or ``None`` for no preemption."""


class LowestPriorityFirst(PreemptionPolicy):
    """Preempt the newest call of the lowest priority, which has the least work
    to lose or to resume.
    """

    def __init__(
        self,
        most_urgent: calls.Priority = calls.Priority.BACKGROUND,
    ) -> None:
        """Preempt no call that is more urgent than ``most_urgent``."""
        self._most_urgent = most_urgent

    def choose(
        self,
        urgent: calls.CallFacts,
        running: collections.abc.Iterable[RunningCall],
        now: float,
    ) -> RunningCall | None:
        """Return the newest call of the lowest priority, if preemptible."""
        chosen = None
        for candidate in running:
            if candidate.priority < self._most_urgent:
                continue
            if candidate.target in urgent.excluded:
                continue
            if chosen is None or _preemption_key(candidate) > _preemption_key(
                chosen
            ):
                chosen = candidate
        return chosen


class NoPreemption(PreemptionPolicy):
    """Preempt no running call."""

    def choose(
        self,
        urgent: calls.CallFacts,
        running: collections.abc.Iterable[RunningCall],
        now: float,
    ) -> RunningCall | None:
        """Return ``None``."""


def _preemption_key(candidate: RunningCall) -> tuple[int, float]:
    return candidate.priority, candidate.started_at
