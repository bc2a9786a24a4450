"""Decide which running call gives way to an urgent one."""

from __future__ import annotations

import abc
import collections.abc

import attrs

from tamarackthread.policy import calls


@attrs.frozen(slots=True, kw_only=True)
class RunningCall:
    """A running call as far as pre-emption needs to know it."""

    key: int
    target: str
    organisation: str
    priority: calls.Priority
    started_at: float


class PreemptionPolicy(abc.ABC):
    """Choose the running call that gives way."""

    @abc.abstractmethod
    def choose(
        self,
        urgent: calls.CallFacts,
        running: collections.abc.Iterable[RunningCall],
        now: float,
    ) -> RunningCall | None:
        """Return the call to pre-empt, or ``None`` to let all go on."""


class LowestPriorityFirst(PreemptionPolicy):
    """Pre-empt the least urgent call, and of those the newest.

    The newest has the least work to lose or to resume.
    """

    def __init__(
        self,
        least: calls.Priority = calls.Priority.BACKGROUND,
    ) -> None:
        """Spare all calls more urgent than ``least``."""
        self._least = least

    def choose(
        self,
        urgent: calls.CallFacts,
        running: collections.abc.Iterable[RunningCall],
        now: float,
    ) -> RunningCall | None:
        """Return the newest call of the lowest priority."""
        found = None
        for candidate in running:
            if candidate.priority < self._least:
                continue
            if candidate.target in urgent.excluded:
                continue
            if found is None or _rank(candidate) > _rank(found):
                found = candidate
        return found


class NoPreemption(PreemptionPolicy):
    """Let every running call go on."""

    def choose(
        self,
        urgent: calls.CallFacts,
        running: collections.abc.Iterable[RunningCall],
        now: float,
    ) -> RunningCall | None:
        """Return ``None``."""


def _rank(candidate: RunningCall) -> tuple[int, float]:
    return candidate.priority, candidate.started_at
